// Tests of the client server on loopback sockets, with an event loop that the test runs: a request is unread
// in the socket when its connection would be closed.
#include "network/client_server.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <thread>

#include "common/clocks.h"
#include "network/listener.h"
#include "protocol/resp.h"
#include "support/loopback.h"

namespace delivery {
namespace {

constexpr Micros kMs = 1000;
constexpr Micros kReadingTime = 60'000 * kMs;  // of a drain
constexpr int kSmallBufferBytes = 4096;        // of a socket; the kernel doubles it

// A client server with an admission of its own. It accepts every message.
struct TestServer {
  explicit TestServer(std::int64_t max_connections, std::size_t max_open_requests = 0)
      : admission(budgetFor(max_connections, static_cast<std::int64_t>(max_open_requests))) {
    auto acceptor = listenAt(io, {boost::asio::ip::address_v4::loopback(), 0});
    // Accepted sockets inherit it. A client that does not read soon blocks the replies to it.
    acceptor.set_option(boost::asio::socket_base::send_buffer_size(kSmallBufferBytes));
    port = acceptor.local_endpoint().port();
    server = std::make_unique<ClientServer>(
        io, std::move(acceptor), admission,
        [this](SubmittedMessage message, const ClientServer::ReplyCallback& reply) {
          submitted = std::move(message);
          ++submitted_count;
          if (before_reply) {
            before_reply();
          }
          reply({SubmitStatus::accepted});
        });
  }
  // `max_open_requests`: 0 for as many as connections.
  static DescriptorBudget budgetFor(std::int64_t max_connections, std::int64_t max_open_requests = 0) {
    DescriptorBudget budget;
    budget.max_clients = max_connections;
    budget.max_open_requests = max_open_requests > 0 ? max_open_requests : max_connections;
    budget.max_pooled_bytes = kMaxRespRequestBytes;
    return budget;
  }
  void runUntil(const std::function<bool()>& condition) {
    while (!condition()) {
      io.run_one();
    }
  }

  boost::asio::io_context io;
  ClientAdmission admission;
  int port = 0;
  std::optional<SubmittedMessage> submitted;  // the latest one
  std::size_t submitted_count = 0;
  std::function<void()> before_reply;  // called for each message that is submitted
  std::unique_ptr<ClientServer> server;
};

const std::string kSubmitRequest =
    loopback::SenderClient::encodeRequest({"MSG.PUT", "0", "m", "c=order,d=8000,dest=7", "x"});

// The table is full, so a connection and its request wait in the kernel's accept queue. The message's time to
// live must count from when the client sent it, not from when it is read.
TEST(ClientServer, ATimeToLiveCountsFromWhenTheMessageWasSentNotRead) {
  TestServer test(1);
  auto first = std::make_unique<loopback::SenderClient>(test.port);
  test.runUntil([&] { return test.server->connectionCount() == 1; });
  loopback::SenderClient second(test.port);
  test.io.run_one();  // the server sees the connection and has no capacity for it
  ASSERT_EQ(1u, test.server->connectionCount());
  second.send(kSubmitRequest);
  const Micros sent_at = monotonicNow();
  first.reset();
  test.runUntil([&] { return test.submitted.has_value(); });
  EXPECT_LE(test.submitted->deadline.at(), sent_at + 8000 * kMs);
  EXPECT_GE(test.submitted->deadline.at(), sent_at + 8000 * kMs - kClientReplyTimeout);
}

// A connection's deadline passes while the process is busy and a complete request is in the socket. The
// request must be answered before the connection is closed. A timer of the test, due just before the
// deadline, sends the request, so that both timers fire in one iteration of the event loop.
TEST(ClientServer, ARequestInTheSocketAtTheDeadlineIsAnswered) {
  TestServer test(2);
  loopback::SenderClient client(test.port);
  test.runUntil([&] { return test.server->connectionCount() == 1; });
  test.io.poll();
  const Micros deadline = test.admission.nextDeadline();
  boost::asio::steady_timer just_before(test.io);
  just_before.expires_at(std::chrono::steady_clock::time_point(std::chrono::microseconds(deadline - 1)));
  just_before.async_wait([&](const boost::system::error_code&) { client.send(kSubmitRequest); });
  while (monotonicNow() < deadline + 5 * kMs) {
  }  // The process is busy: the event loop does not run.
  test.runUntil([&] { return test.submitted || test.server->connectionCount() == 0; });
  EXPECT_TRUE(test.submitted) << "the connection was closed with its request unread";
  test.runUntil([&] { return test.admission.nextDeadline() > deadline + 30'000 * kMs; });
  EXPECT_EQ("+OK", client.readLine());
}

// A drain starts while a complete request is in the socket. The request must be answered before the
// connection is closed.
TEST(ClientServer, ARequestInTheSocketAtTheStartOfADrainIsAnswered) {
  TestServer test(2);
  loopback::SenderClient client(test.port);
  test.runUntil([&] { return test.server->connectionCount() == 1; });
  test.io.poll();
  client.send(kSubmitRequest);
  test.server->startDraining(kReadingTime);
  test.runUntil([&] { return test.server->connectionCount() == 0; });
  EXPECT_TRUE(test.submitted);
  EXPECT_EQ("+OK", client.readLine());
  EXPECT_TRUE(client.hasNoMoreLines());
}

// The table is full, and the eviction candidate has just sent a complete request. It must not be closed to
// make room for the next connection.
TEST(ClientServer, ARequestInTheSocketOfAnEvictionCandidateIsAnswered) {
  TestServer test(1);
  loopback::SenderClient first(test.port);
  test.runUntil([&] { return test.server->connectionCount() == 1; });
  test.io.poll();
  const Micros inactive_since = monotonicNow();
  // The event loop will see this connection before the request that the first client sends below.
  loopback::SenderClient next(test.port);
  while (monotonicNow() < inactive_since + 50 * kMs) {
  }  // The process is busy: the event loop does not run.
  first.send(kSubmitRequest);
  test.runUntil([&] { return test.submitted || test.admission.isEvictionPeriodActive(); });
  EXPECT_TRUE(test.submitted) << "the connection was closed with its request unread";
  EXPECT_EQ(1u, test.server->connectionCount());
}

// New limits allow fewer connections than there are, and a request is in the socket of an idle connection.
// The request must be answered, and another connection is closed.
TEST(ClientServer, ARequestInTheSocketWhenLimitsAreHalvedIsAnswered) {
  TestServer test(2);
  loopback::SenderClient idle(test.port);
  loopback::SenderClient other(test.port);
  test.runUntil([&] { return test.server->connectionCount() == 2; });
  test.io.poll();
  const Micros inactive_since = monotonicNow();
  while (monotonicNow() < inactive_since + 50 * kMs) {
  }  // The process is busy: the event loop does not run.
  idle.send(kSubmitRequest);
  test.admission.setBudget(TestServer::budgetFor(1));
  test.server->applyBudget();
  test.runUntil([&] { return test.server->connectionCount() == 1; });
  test.runUntil([&] { return test.submitted || test.server->connectionCount() == 0; });
  EXPECT_TRUE(test.submitted) << "the connection was closed with its request unread";
  EXPECT_TRUE(other.hasNoMoreLines());
}

// A client sends two requests in one write, and a drain starts before the reply to the first. Both requests
// must be answered before the connection is closed.
TEST(ClientServer, TheSecondOfTwoPipelinedRequestsIsAnsweredInADrain) {
  TestServer test(2);
  loopback::SenderClient client(test.port);
  test.runUntil([&] { return test.server->connectionCount() == 1; });
  client.send(kSubmitRequest + kSubmitRequest);
  test.runUntil([&] { return test.submitted.has_value(); });  // its reply is being written
  test.server->startDraining(kReadingTime);
  test.runUntil([&] { return test.server->connectionCount() == 0; });
  EXPECT_EQ("+OK", client.readLine());
  EXPECT_EQ("+OK", client.readLine());
  EXPECT_TRUE(client.hasNoMoreLines());
}

// Guards against a drain that never ends, and against requests that are read and not answered: a client
// always has more requests under way. Each request that was read gets a reply, then the connection ends.
TEST(ClientServer, ADrainEndsAConnectionThatAlwaysHasMoreRequests) {
  TestServer test(2);
  loopback::SenderClient client(test.port);
  std::atomic<bool> stop{false};
  std::atomic<bool> stopped{false};
  std::thread requests([&] {
    while (!stop && client.trySend(kSubmitRequest + kSubmitRequest)) {
    }
    stopped = true;
  });
  test.runUntil([&] { return test.submitted_count > 10; });
  test.server->startDraining(0);
  test.runUntil([&] { return test.server->hasClosingConnections(); });
  EXPECT_FALSE(test.server->hasUnansweredRequests());
  stop = true;
  test.runUntil([&] { return stopped || test.server->connectionCount() == 0; });
  requests.join();
  std::size_t accepted = 0;
  std::string reply = client.readLine();
  while (reply == "+OK") {
    ++accepted;
    reply = client.readLine();
  }
  while (reply.rfind("-BUSY", 0) == 0) {
    reply = client.readLine();
  }
  EXPECT_EQ("", reply);
  EXPECT_EQ(test.submitted_count, accepted);
}

// Guards against messages that are accepted from a client that has left (issue 47, picture (c)): it closed
// its connection behind many requests, and those that were read with the first one were submitted all the
// same.
TEST(ClientServer, RequestsOfAClientThatHasLeftAreNotSubmitted) {
  constexpr int kPipelinedRequests = 20;
  TestServer test(10);
  auto client = std::make_unique<loopback::SenderClient>(test.port);
  std::string requests;
  for (int i = 0; i < kPipelinedRequests; ++i) {
    requests += kSubmitRequest;
  }
  client->send(requests);
  test.before_reply = [&] { client.reset(); };
  test.runUntil([&] { return test.submitted_count > 0 && test.server->connectionCount() == 0; });
  EXPECT_EQ(1u, test.submitted_count);
}

// Returns the descriptor of a connection that soon takes no more replies unless they are read.
int connectWithSmallReceiveBuffer(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kSmallBufferBytes, sizeof kSmallBufferBytes);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  EXPECT_EQ(0, ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address));
  return fd;
}

// A peer that sends PING without a pause and never reads the replies fills the only place for open requests.
// Returns whether a client is served while that peer is still connected. The peer is closed after a second,
// so that on a busy machine this may be false for want of time.
bool isServedBesideAPeerThatNeverReads() {
  constexpr std::size_t kManyPings = 50'000;
  TestServer test(10, 1);
  std::string pings;
  for (std::size_t i = 0; i < kManyPings; ++i) {
    pings += loopback::SenderClient::encodeRequest({"PING"});
  }
  const int peer = connectWithSmallReceiveBuffer(test.port);
  std::thread sender([&] { (void)!::send(peer, pings.data(), pings.size(), MSG_NOSIGNAL); });
  test.runUntil([&] { return test.server->connectionCount() == 1; });
  constexpr ConnectionId kPeer = 1;
  // The kernel may take some more replies after the first one that it did not take at once.
  constexpr std::chrono::milliseconds kQuietTime{200};
  test.runUntil([&] {
    return test.server->connectionCount() == 0 ||
           (test.admission.state(kPeer) == ClientState::awaiting_reply && test.io.run_for(kQuietTime) == 0);
  });
  loopback::SenderClient client(test.port);
  client.send(kSubmitRequest);
  test.runUntil([&] { return test.submitted.has_value(); });
  const bool peer_is_connected = test.server->connectionCount() == 2;
  test.server->stop();
  sender.join();
  ::close(peer);
  return peer_is_connected;
}

// Guards against clients that wait behind peers which never read their replies (issue 47, pictures (a) and
// (b)): a few hundred such peers kept all others waiting until they were closed.
TEST(ClientServer, PeersThatNeverReadTheirRepliesDoNotKeepOthersWaiting) {
  constexpr int kMaxTries = 20;
  bool is_served = false;
  for (int i = 0; i < kMaxTries && !is_served; ++i) {
    is_served = isServedBesideAPeerThatNeverReads();
  }
  EXPECT_TRUE(is_served) << "the client was served only after the peer was closed";
}

}  // namespace
}  // namespace delivery
