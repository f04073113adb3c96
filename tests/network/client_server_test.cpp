// The server for clients on loopback sockets, the loop turned by the test: requests that wait unread while
// something else happens to their connection.
#include "network/client_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "network/listener.h"
#include "protocol/resp.h"
#include "support/loopback.h"

namespace delivery {
namespace {

constexpr Micros kMs = 1000;

// The server for clients with a table of its own; the test turns the loop.
struct Served {
  explicit Served(std::int64_t places) : admission(budgetFor(places)) {
    auto acceptor = listenAt(io, {boost::asio::ip::address_v4::loopback(), 0});
    port = acceptor.local_endpoint().port();
    clients = std::make_unique<ClientServer>(io, std::move(acceptor), admission,
                                             [this](AcceptedMessage m, ClientServer::Reply reply) {
                                               taken = std::move(m);
                                               reply("+OK");
                                             });
  }
  static DescriptorBudget budgetFor(std::int64_t places) {
    DescriptorBudget budget;
    budget.max_clients = budget.max_open_requests = places;
    budget.max_pooled_bytes = kLongestRequest;
    return budget;
  }
  void turnUntil(const std::function<bool()>& holds) {
    while (!holds())
      io.run_one();
  }

  boost::asio::io_context io;
  ClientAdmission admission;
  int port = 0;
  std::optional<AcceptedMessage> taken;
  std::unique_ptr<ClientServer> clients;
};

const std::string kPut = loopback::Client::request({"MSG.PUT", "0", "m", "c=order,d=8000,dest=7", "x"});

// The table is full, so a connection waits in the kernel's queue, and what its client sends with it.
TEST(ClientsSockets, AMessagesTimeRunsFromWhenItWasSentNotFromWhenItWasRead) {
  Served s(1);
  auto first = std::make_unique<loopback::Client>(s.port);
  s.turnUntil([&] { return s.clients->connectionCount() == 1; });
  loopback::Client second(s.port);
  s.io.run_one();  // it is seen, and there is no room for it
  ASSERT_EQ(1u, s.clients->connectionCount());
  second.send(kPut);
  const Micros sent = monotonicNow();
  first.reset();
  s.turnUntil([&] { return s.taken.has_value(); });
  EXPECT_LE(s.taken->deadline.at(), sent + 8000 * kMs);
  EXPECT_GE(s.taken->deadline.at(), sent + 8000 * kMs - kClientWaits);
}

// A connection's deadline comes while this process is busy, with a whole request in the socket: a test's
// timer, due just before, sends it, and both fire in one turn of the loop.
TEST(ClientsSockets, ARequestThatIsInTheSocketAtTheDeadlineIsServed) {
  Served s(2);
  loopback::Client client(s.port);
  s.turnUntil([&] { return s.clients->connectionCount() == 1; });
  s.io.poll();
  const Micros deadline = s.admission.nextDeadline();
  boost::asio::steady_timer just_before(s.io);
  just_before.expires_at(std::chrono::steady_clock::time_point(std::chrono::microseconds(deadline - 1)));
  just_before.async_wait([&](const boost::system::error_code&) { client.send(kPut); });
  while (monotonicNow() < deadline + 5 * kMs) {
  }  // busy: the loop does not turn
  s.turnUntil([&] { return s.taken || s.clients->connectionCount() == 0; });
  EXPECT_TRUE(s.taken) << "closed with its request unread";
  s.turnUntil([&] { return s.admission.nextDeadline() > deadline + 30'000 * kMs; });
  EXPECT_EQ("+OK", client.line());
}

// A drain comes while a whole request is in the socket: it is answered, then the connection ends.
TEST(ClientsSockets, ARequestThatIsInTheSocketAtADrainIsServed) {
  Served s(2);
  loopback::Client client(s.port);
  s.turnUntil([&] { return s.clients->connectionCount() == 1; });
  s.io.poll();
  client.send(kPut);
  s.clients->startDraining();
  s.turnUntil([&] { return s.clients->connectionCount() == 0; });
  EXPECT_TRUE(s.taken);
  EXPECT_EQ("+OK", client.line());
  EXPECT_TRUE(client.ended());
}

// The table is full, and who would make room has just sent a whole request: it is not closed for the next.
TEST(ClientsSockets, ARequestThatIsInTheSocketOfWhoWouldMakeRoomIsServed) {
  Served s(1);
  loopback::Client first(s.port);
  s.turnUntil([&] { return s.clients->connectionCount() == 1; });
  s.io.poll();
  const Micros silent_from = monotonicNow();
  loopback::Client next(s.port);  // seen in the loop's next turn, before what the first sends now
  while (monotonicNow() < silent_from + 50 * kMs) {
  }  // busy: the loop does not turn
  first.send(kPut);
  s.turnUntil([&] { return s.taken || s.admission.isUnderPressure(); });
  EXPECT_TRUE(s.taken) << "closed with its request unread";
  EXPECT_EQ(1u, s.clients->connectionCount());
}

// New limits have fewer places than there are connections, and a request is in the socket of one that rests.
TEST(ClientsSockets, ARequestThatIsInTheSocketWhenLimitsAreHalvedIsServed) {
  Served s(2);
  loopback::Client rests(s.port), asks(s.port);
  s.turnUntil([&] { return s.clients->connectionCount() == 2; });
  s.io.poll();
  const Micros silent_from = monotonicNow();
  while (monotonicNow() < silent_from + 50 * kMs) {
  }  // busy: the loop does not turn
  rests.send(kPut);
  s.admission.setBudget(Served::budgetFor(1));
  s.clients->applyBudget();
  s.turnUntil([&] { return s.clients->connectionCount() == 1; });
  s.turnUntil([&] { return s.taken || s.clients->connectionCount() == 0; });
  EXPECT_TRUE(s.taken) << "closed with its request unread";
  EXPECT_TRUE(asks.ended());
}

// Two requests in one write, and a drain before the answer to the first: both are answered, then it ends.
TEST(ClientsSockets, TheSecondOfTwoPipelinedRequestsIsAnsweredInADrain) {
  Served s(2);
  loopback::Client client(s.port);
  s.turnUntil([&] { return s.clients->connectionCount() == 1; });
  client.send(kPut + kPut);
  s.turnUntil([&] { return s.taken.has_value(); });  // carried out, its answer on the way
  s.clients->startDraining();
  s.turnUntil([&] { return s.clients->connectionCount() == 0; });
  EXPECT_EQ("+OK", client.line());
  EXPECT_EQ("+OK", client.line());
  EXPECT_TRUE(client.ended());
}

}  // namespace
}  // namespace delivery
