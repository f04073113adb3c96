// Tests of the client server on loopback sockets, with an event loop that the test runs: a request is unread
// in the socket when its connection would be closed.
#include "network/client_server.h"

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

// A client server with an admission of its own. It accepts every message.
struct TestServer {
  explicit TestServer(std::int64_t max_connections, std::size_t max_open_requests = 0)
      : admission(budgetFor(max_connections, static_cast<std::int64_t>(max_open_requests))) {
    auto acceptor = listenAt(io, {boost::asio::ip::address_v4::loopback(), 0});
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

// Guards against clients that wait behind peers which never read their replies (issue 47, pictures (a) and
// (b)): a few hundred such peers kept all others waiting for a second, several times in a row.
TEST(ClientServer, PeersThatNeverReadTheirRepliesDoNotKeepOthersWaiting) {
  constexpr std::size_t kPeerCount = 3;
  constexpr std::size_t kManyPings = 400'000;
  TestServer test(10, kPeerCount);
  std::string pings;
  for (std::size_t i = 0; i < kManyPings; ++i) {
    pings += loopback::SenderClient::encodeRequest({"PING"});
  }
  std::vector<std::unique_ptr<loopback::SenderClient>> peers;
  std::vector<std::thread> senders;
  for (std::size_t i = 0; i < kPeerCount; ++i) {
    peers.push_back(std::make_unique<loopback::SenderClient>(test.port));
    senders.emplace_back([&peer = *peers.back(), &pings] { peer.send(pings); });
  }
  loopback::SenderClient client(test.port);
  const auto all_blocked = [&] {
    for (ConnectionId peer = 1; peer <= kPeerCount; ++peer) {
      if (test.server->connectionCount() <= kPeerCount ||
          test.admission.state(peer) != ClientState::awaiting_reply) {
        return false;
      }
    }
    return test.io.poll_one() == 0;
  };
  test.runUntil(all_blocked);
  client.send(kSubmitRequest);
  test.runUntil([&] { return test.submitted.has_value(); });
  EXPECT_EQ(kPeerCount + 1, test.server->connectionCount())
      << "a peer was closed before the client was served";
  test.server->stop();
  for (std::thread& sender : senders) {
    sender.join();
  }
}

}  // namespace
}  // namespace delivery
