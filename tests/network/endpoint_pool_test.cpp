// Calls over loopback sockets: each row of the protocol's table of outcomes, and the pool of connections.
#include "network/endpoint_pool.h"

#include <boost/asio/io_context.hpp>
#include <optional>

#include "support/loopback.h"

namespace delivery {
namespace {

using loopback::Act;
using loopback::answer;
using loopback::Seen;
using loopback::Server;

Deadline within(Micros span) {
  return Deadline::after(monotonicNow(), span);
}

struct Pool {
  explicit Pool(Micros conn_idle = 60'000'000, Micros dial = 5'000'000)
      : connections(budget()), endpoints(io, {dial, conn_idle}, connections, [this](AttemptOutcome o) {
          outcomes.push_back(std::move(o));
        }) {}

  static DescriptorBudget budget() {
    DescriptorBudget b = computeDescriptorBudget({256, 32'000'000, 8}, false);
    b.max_handshakes_per_endpoint = 2;
    return b;
  }
  AcceptedMessage message(const std::string& id) {
    AcceptedMessage m;
    m.id = id;
    m.idempotency_key = "5c0f6e1a2b3d4c59";
    m.body = std::string("any\0bytes\r\n", 11);
    return m;
  }
  // Makes a call and waits for its outcome.
  AttemptOutcome call(const std::string& id, Micros timeout = 60'000'000) {
    const std::size_t before = outcomes.size();
    endpoints.startCall(message(id), 0, "e", within(timeout));
    return waitFor(before + 1);
  }
  AttemptOutcome waitFor(std::size_t count) {
    const auto until = std::chrono::steady_clock::now() + loopback::kLong;
    while (outcomes.size() < count && std::chrono::steady_clock::now() < until) {
      io.restart();
      io.run_one_for(std::chrono::seconds(1));
    }
    EXPECT_EQ(count, outcomes.size());
    return outcomes.empty() ? AttemptOutcome{} : outcomes.back();
  }

  boost::asio::io_context io;
  std::vector<AttemptOutcome> outcomes;
  EndpointConnectionAccounting connections;
  EndpointPool endpoints;
};

// The answer comes while this process is busy, and the call's timer has fired before it is looked for: a
// test's timer, due just before, sends it, and both fire in one turn of the loop.
TEST(HttpConnection, AnAnswerThatIsInTheSocketWhenTheTimerFiresIsAnAnswer) {
  boost::asio::io_context io;
  loopback::Listener listener;
  HttpConnection connection(io, parseAddress(listener.address()), "e", 65536);
  HttpRequest r;
  r.method = "POST";
  r.target = "/hook";
  std::optional<HttpAnswer> got;
  const Deadline until = within(3'000'000);
  connection.exchange(std::move(r), 3'000'000, until, [&](const HttpAnswer& a) { got = a; });
  const int fd = ::accept4(listener.fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  char piece[4096];
  while (::recv(fd, piece, sizeof piece, 0) <= 0)
    io.run_one_for(std::chrono::milliseconds(1));
  io.poll();  // the read of the answer is under way
  boost::asio::steady_timer just_before(io);
  just_before.expires_at(std::chrono::steady_clock::time_point(std::chrono::microseconds(until.at() - 1)));
  just_before.async_wait([&](const boost::system::error_code&) {
    const std::string bytes = answer("429 Too Many Requests", "Retry-After: 0.5\r\n", "later");
    EXPECT_EQ(static_cast<ssize_t>(bytes.size()), ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL));
  });
  while (until.remaining(monotonicNow()) >= -1000) {
  }  // busy: the loop does not turn
  while (!got)
    io.run_one_for(std::chrono::milliseconds(100));
  EXPECT_EQ(Exchanged::answered, got->completion);
  EXPECT_EQ(429, got->status);
  EXPECT_TRUE(got->body_complete);
  EXPECT_TRUE(connection.reusable());
  ::close(fd);
}

// The connection is up, and the timer of the connect has fired, before either is looked for: the request goes
// out, and so it may not pass for one that was never written.
TEST(HttpConnection, AConnectionThatComesUpAsItsTimerFiresIsUp) {
  Server s([](const Seen&) { return Act{answer("200 OK")}; });
  boost::asio::io_context io;
  HttpConnection connection(io, parseAddress(s.address()), "e", 65536);
  HttpRequest r;
  r.method = "POST";
  r.target = "/hook";
  std::optional<HttpAnswer> got;
  const Micros connect_limit = 20'000, from = monotonicNow();
  connection.exchange(std::move(r), connect_limit, within(60'000'000), [&](const HttpAnswer& a) { got = a; });
  while (monotonicNow() - from <= connect_limit + 1000) {
  }  // busy: the loop does not turn
  while (!got)
    io.run_one_for(std::chrono::milliseconds(100));
  EXPECT_EQ(s.seen().empty(), got->completion == Exchanged::not_written);
  EXPECT_EQ(200, got->status);
}

// An endpoint whose machine takes no connection for now: its backlog is full.
struct Stuck {
  Stuck() {
    EXPECT_EQ(0, ::listen(listener.fd, 0));
    for (int i = 0; i < 8; ++i) {
      fillers.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
      sockaddr_in a{};
      a.sin_family = AF_INET;
      a.sin_port = htons(static_cast<std::uint16_t>(listener.port));
      a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
      (void)::connect(fillers.back(), reinterpret_cast<sockaddr*>(&a), sizeof a);
    }
  }
  ~Stuck() {
    for (const int fd : fillers)
      ::close(fd);
  }
  loopback::Listener listener;
  std::vector<int> fillers;
};

AttemptOutcome outcomeOf(const Act& act, Micros timeout = 60'000'000) {
  Server s([&](const Seen&) { return act; });
  Pool p;
  p.endpoints.setAddress("e", s.address());
  return p.call("m", timeout);
}

std::string hints(int how_many) {
  std::string all;
  while (how_many-- > 0)
    all += "HTTP/1.1 103 Early Hints\r\n\r\n";
  return all;
}

struct Row {
  const char* name;
  Act act;
  AttemptResult result;
  bool finished;
  Micros wait;
  // NOLINTNEXTLINE(readability-identifier-naming): the name that GoogleTest looks for
  friend void PrintTo(const Row& r, std::ostream* out) { *out << r.name; }
};
class Outcomes : public ::testing::TestWithParam<Row> {};

TEST_P(Outcomes, AreThoseOfTheTable) {
  const Row& r = GetParam();
  const AttemptOutcome o = outcomeOf(r.act);
  EXPECT_EQ(r.result, o.result);
  EXPECT_EQ(r.finished, o.finished);
  EXPECT_EQ(r.wait, o.retry_after);
}

INSTANTIATE_TEST_SUITE_P(
    Table, Outcomes,
    ::testing::Values(
        Row{"delivered", {answer("200 OK", "", "fine")}, AttemptResult::ok, true, 0},
        Row{"delivered_body_lost",
            {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", true},
            AttemptResult::ok,
            true,
            0},
        Row{"error", {answer("500 Oops")}, AttemptResult::error, false, 0},
        Row{"told_to_wait",
            {answer("429 Slow", "Retry-After: 0.25\r\n")},
            AttemptResult::throttled,
            false,
            250'000},
        Row{"told_nonsense",
            {answer("429 Slow", "Retry-After: soon\r\n")},
            AttemptResult::throttled,
            false,
            0},
        Row{"turned_away", {answer("503 Full")}, AttemptResult::throttled, false, 0},
        Row{"no_slot", {answer("503 Full", "X-Egress-Full: 1\r\n")}, AttemptResult::not_sent, false, 0},
        Row{"used_up", {answer("504 Used")}, AttemptResult::not_sent, false, 0},
        Row{"over", {answer("410 Gone")}, AttemptResult::not_sent, true, 0},
        Row{"unknown_status", {answer("418 Tea")}, AttemptResult::error, false, 0},
        Row{"garbled", {"no http at all\r\n\r\n", true}, AttemptResult::reset, false, 0},
        Row{"ended", {"", true}, AttemptResult::reset, false, 0},
        Row{"reset", {"", false, true}, AttemptResult::reset, false, 0},
        Row{"delivered_rest_garbled",
            {"HTTP/1.1 200 OK\r\n\x01 no field\r\n\r\n", true},
            AttemptResult::ok,
            true,
            0},
        Row{"delivered_rest_lost",
            {"HTTP/1.1 200 OK\r\nContent-Le", false, true},
            AttemptResult::ok,
            true,
            0},
        Row{"turned_away_cut_off",
            {"HTTP/1.1 503 Full\r\nContent-Length: 10\r\n\r\nhalf", true},
            AttemptResult::error,
            false,
            0},
        Row{"hints_then_turned_away",
            {"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" +
             answer("429 Full", "Retry-After: 0.5\r\n")},
            AttemptResult::throttled,
            false,
            500000},
        Row{"hints_then_delivered",
            {"HTTP/1.1 103 Early Hints\r\n\r\n" + answer("200 OK")},
            AttemptResult::ok,
            true,
            0},
        Row{"hints_without_end", {hints(40) + answer("200 OK")}, AttemptResult::error, false, 0},
        Row{"half_a_head", {"HTTP/1.1 200", true}, AttemptResult::reset, false, 0}),
    [](const auto& i) { return std::string(i.param.name); });

TEST(EndpointPool, SilenceEndsInATimeOutAndClosesTheConnection) {
  Server s([](const Seen&) { return Act{}; });
  Pool p;
  p.endpoints.setAddress("e", s.address());
  const AttemptOutcome o = p.call("m", 200'000);
  EXPECT_EQ(AttemptResult::timeout, o.result);
  EXPECT_FALSE(o.finished);
  EXPECT_EQ(0u, p.endpoints.idleCount());
}

TEST(EndpointPool, ARefusedConnectionNeverRan) {
  Pool p;
  p.endpoints.setAddress("e", loopback::closedAddress());
  EXPECT_EQ(AttemptResult::connect_failed, p.call("m").result);
  p.endpoints.setAddress("e", "nonsense");
  EXPECT_EQ(AttemptResult::connect_failed, p.call("n").result);
}

// A call is written whole and once: id, key and body unchanged, and how long the sender will wait.
TEST(EndpointPool, ACallCarriesTheMessageUnchanged) {
  Server s([](const Seen&) { return Act{answer("200 OK", "X-Pressure: x0=0.4,x1=25\r\n")}; });
  Pool p;
  p.endpoints.setAddress("e", s.address());
  const AttemptOutcome o = p.call("9b1f03aa5c7e2d41", 1'500'000);
  ASSERT_EQ(1u, s.seen().size());
  const Seen seen = s.seen()[0];
  EXPECT_EQ(0u, seen.head.find("POST /hook HTTP/1.1\r\n"));
  EXPECT_EQ("9b1f03aa5c7e2d41", seen.field("X-Txn"));
  EXPECT_EQ("5c0f6e1a2b3d4c59", seen.field("Idempotency-Key"));
  const int left = std::stoi(seen.field("X-Remaining-Ms"));  // less what passed until it was written
  EXPECT_GT(left, 0);
  EXPECT_LE(left, 1500);
  EXPECT_EQ(p.message("").body, seen.body);
  ASSERT_TRUE(o.load_report);
  EXPECT_DOUBLE_EQ(0.4, o.load_report->remaining_share);
  EXPECT_DOUBLE_EQ(25, o.load_report->limit_per_second);
}

TEST(EndpointPool, ConnectionsAreReusedAndClosedOnDemand) {
  Server s([](const Seen&) { return Act{answer("200 OK")}; });
  Pool p;
  p.endpoints.setAddress("e", s.address());
  p.call("a");
  p.call("b");
  EXPECT_EQ(s.seen()[0].connection, s.seen()[1].connection);
  p.endpoints.closeIdle("e");
  EXPECT_EQ(0u, p.endpoints.idleCount());
  p.call("c");
  EXPECT_NE(s.seen()[1].connection, s.seen()[2].connection);
}

// Guards against a request that is written to a connection the endpoint has closed: it would end as a reset,
// and an unsafe message would be lost by it.
TEST(EndpointPool, AConnectionClosedByTheEndpointIsNotWrittenTo) {
  Server s([](const Seen&) { return Act{answer("200 OK"), true}; });  // closes, without saying so
  Pool p;
  p.endpoints.setAddress("e", s.address());
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(AttemptResult::ok, p.call("m" + std::to_string(i)).result);
    p.io.restart();
    p.io.run_for(std::chrono::milliseconds(50));  // time for the end to arrive
  }
}

// The endpoint closes the idle connection between its choice and the first byte: the call goes on another
// one.
TEST(EndpointPool, AConnectionClosedAfterItWasChosenIsNotWrittenTo) {
  loopback::Listener endpoint;
  Pool p;
  p.endpoints.setAddress("e", endpoint.address());
  p.endpoints.startCall(p.message("first"), 0, "e", within(60'000'000));
  const int fd = ::accept4(endpoint.fd, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
  char piece[4096];
  while (::recv(fd, piece, sizeof piece, 0) <= 0)
    p.io.run_one_for(std::chrono::milliseconds(1));
  const std::string fine = answer("200 OK");
  EXPECT_EQ(static_cast<ssize_t>(fine.size()), ::send(fd, fine.data(), fine.size(), MSG_NOSIGNAL));
  EXPECT_EQ(AttemptResult::ok, p.waitFor(1).result);
  EXPECT_EQ(1u, p.endpoints.idleCount());
  p.endpoints.startCall(p.message("second"), 0, "e",
                        within(60'000'000));  // chosen, to be written in the next turn
  EXPECT_EQ(0u, p.endpoints.idleCount());
  ::close(fd);  // on loopback its end is there at once
  ::fcntl(endpoint.fd, F_SETFL, O_NONBLOCK);
  int next = -1;
  while (next < 0 && p.outcomes.size() == 1) {
    next = ::accept4(endpoint.fd, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
    p.io.run_one_for(std::chrono::milliseconds(1));
  }
  ASSERT_GE(next, 0) << "the call ended as " << static_cast<int>(p.outcomes.back().result);
  while (::recv(next, piece, sizeof piece, 0) <= 0)
    p.io.run_one_for(std::chrono::milliseconds(1));
  EXPECT_EQ(static_cast<ssize_t>(fine.size()), ::send(next, fine.data(), fine.size(), MSG_NOSIGNAL));
  EXPECT_EQ(AttemptResult::ok, p.waitFor(2).result);
  ::close(next);
}

TEST(EndpointPool, AnIdleConnectionIsClosedBeforeTheEndpointWould) {
  Server s([](const Seen&) { return Act{answer("200 OK")}; });
  Pool p(100'000);
  p.endpoints.setAddress("e", s.address());
  p.call("a");
  EXPECT_EQ(1u, p.endpoints.idleCount());
  const auto until = std::chrono::steady_clock::now() + loopback::kLong;
  while (p.endpoints.idleCount() > 0 && std::chrono::steady_clock::now() < until) {
    p.io.restart();
    p.io.run_one_for(std::chrono::seconds(1));
  }
  EXPECT_EQ(0u, p.endpoints.idleCount());
}

TEST(EndpointPool, ACallIsCalledOffByClosingAndHasOneOutcome) {
  Server s([](const Seen&) { return Act{}; });
  Pool p;
  p.endpoints.setAddress("e", s.address());
  p.endpoints.startCall(p.message("m"), 3, "e", within(60'000'000));
  while (s.seen().empty()) {
    p.io.restart();
    p.io.run_one_for(std::chrono::milliseconds(20));
  }
  p.endpoints.cancel({"m", 3});
  p.endpoints.cancel({"m", 3});
  const AttemptOutcome o = p.waitFor(1);
  EXPECT_EQ(AttemptResult::cancelled, o.result);
  EXPECT_EQ(3, o.attempt);
  EXPECT_EQ(0u, p.endpoints.inFlightCount());
  p.io.restart();
  p.io.run_for(std::chrono::milliseconds(50));
  EXPECT_EQ(1u, p.outcomes.size());
}

// A burst for an endpoint that is slow to connect is no rush of connects: two are opened, the others wait,
// and end as those that found no connection.
TEST(EndpointPool, ABurstOpensFewConnectionsAtOnce) {
  Stuck stuck;
  Pool p(60'000'000, 300'000);
  p.endpoints.setAddress("e", stuck.listener.address());
  for (int i = 0; i < 8; ++i)
    p.endpoints.startCall(p.message("m" + std::to_string(i)), 0, "e", within(60'000'000));
  EXPECT_EQ(8u, p.endpoints.inFlightCount());
  EXPECT_EQ(2, p.connections.connectionCount());
  p.waitFor(8);
  for (const AttemptOutcome& o : p.outcomes)
    EXPECT_EQ(AttemptResult::connect_failed, o.result);
  EXPECT_EQ(0, p.connections.connectionCount());
}

// Those that wait go one after the other, on what is free by then, and each is written once.
TEST(EndpointPool, ABurstIsDeliveredOnTheConnectionsThatComeFree) {
  Server s([](const Seen&) { return Act{answer("200 OK")}; });
  Pool p;
  p.endpoints.setAddress("e", s.address());
  for (int i = 0; i < 8; ++i)
    p.endpoints.startCall(p.message("m" + std::to_string(i)), 0, "e", within(60'000'000));
  p.waitFor(8);
  std::set<std::string> ids;
  for (const Seen& seen : s.seen())
    ids.insert(seen.field("X-Txn"));
  EXPECT_EQ(8u, ids.size());
  EXPECT_EQ(8u, s.seen().size());
  for (const AttemptOutcome& o : p.outcomes)
    EXPECT_EQ(AttemptResult::ok, o.result);
  EXPECT_EQ(static_cast<std::int64_t>(p.endpoints.idleCount()), p.connections.connectionCount());
}

// A wait that a destination tells, and a drain, hold for calls that wait for a connection and for those whose
// connection is coming up: it would be up inside the wait.
TEST(EndpointPool, WhatHasNoConnectionYetHeedsAWaitAndADrain) {
  Server s([](const Seen&) { return Act{answer("429 Slow", "Retry-After: 9\r\n")}; });
  Stuck stuck;
  for (const bool drain : {false, true}) {
    Pool p;
    p.endpoints.setAddress("e", stuck.listener.address());
    p.endpoints.setAddress("told", s.address());
    for (int i = 0; i < 3; ++i)  // two are opened, one waits
      p.endpoints.startCall(p.message("m" + std::to_string(i)), 0, "e", within(60'000'000));
    if (drain)
      p.endpoints.onEndpointDraining("e");
    else
      p.endpoints.startCall(p.message("told"), 0, "told", within(60'000'000));
    p.waitFor(drain ? 3 : 4);
    for (const AttemptOutcome& o : p.outcomes)
      EXPECT_EQ(o.id == "told" ? AttemptResult::throttled : AttemptResult::not_sent, o.result) << o.id;
    EXPECT_EQ(0u, p.endpoints.inFlightCount());
    EXPECT_EQ(drain ? 0 : 1, p.connections.connectionCount());
  }
}

// An answer that told a wait in its head, and then is late, never ends or is cut off, told it all the same:
// at once, for what is about to go out, and whatever becomes of the call.
TEST(EndpointPool, AWaitIsHeardWithTheHeadOfItsAnswer) {
  const std::string head = "HTTP/1.1 429 Slow\r\nRetry-After: 9\r\nContent-Length: 10\r\n\r\nhalf";
  for (const bool cut : {false, true}) {
    Server s([&](const Seen&) { return Act{head, cut}; });
    Stuck stuck;
    Pool p;
    p.endpoints.setAddress("e", stuck.listener.address());
    p.endpoints.setAddress("told", s.address());
    p.endpoints.startCall(p.message("m"), 0, "e", within(60'000'000));
    p.endpoints.startCall(p.message("told"), 0, "told", within(60'000'000));
    p.waitFor(2);
    std::map<std::string, AttemptOutcome> by;
    for (const AttemptOutcome& o : p.outcomes)
      by[o.id] = o;
    EXPECT_EQ(AttemptResult::not_sent, by["m"].result);
    EXPECT_TRUE(by["told"].still_in_flight);
    EXPECT_EQ(9'000'000, by["told"].retry_after);
    if (!cut)
      p.endpoints.cancel({"told", 0});
    const AttemptOutcome end = p.waitFor(p.outcomes.size() + 1);
    EXPECT_FALSE(end.still_in_flight);
    EXPECT_EQ(AttemptResult::error, end.result);  // what can't be read may have run
  }
}

// The answer is in the socket as the call is called off: it is what became of the call.
TEST(EndpointPool, AnAnswerThatCrossesTheCallingOffCounts) {
  Server s([](const Seen&) { return Act{answer("429 Slow", "Retry-After: 9\r\n")}; });
  Pool p;
  p.endpoints.setAddress("e", s.address());
  p.endpoints.startCall(p.message("m"), 0, "e", within(60'000'000));
  while (s.seen().empty())
    p.io.run_one_for(std::chrono::milliseconds(1));
  std::this_thread::sleep_for(std::chrono::milliseconds(100));  // time for the answer to arrive: unread
  p.endpoints.cancel({"m", 0});
  const AttemptOutcome o = p.waitFor(1);
  EXPECT_EQ(AttemptResult::throttled, o.result);
  EXPECT_EQ(9'000'000, o.retry_after);
}

// What was never written can't have run, called off or not.
TEST(EndpointPool, ACallWithoutAConnectionThatIsCalledOffNeverRan) {
  Stuck stuck;
  Pool p;
  p.endpoints.setAddress("e", stuck.listener.address());
  p.endpoints.startCall(p.message("m"), 0, "e", within(60'000'000));
  EXPECT_TRUE(p.endpoints.cancel({"m", 0}));
  EXPECT_EQ(1u, p.endpoints.inFlightCount());  // its outcome is still to be told
  EXPECT_EQ(1u, p.endpoints.callsInFlight().size());
  EXPECT_EQ(AttemptResult::not_sent, p.waitFor(1).result);
  EXPECT_EQ(0u, p.endpoints.inFlightCount());
}

// Where routes are apart, a wait holds for the route that told it, and for no other.
TEST(EndpointPool, AWaitOfARouteApartHoldsForThatRouteAlone) {
  Server s([](const Seen&) { return Act{answer("429 Slow", "Retry-After: 9\r\n")}; });
  Stuck other;
  Pool p;
  p.endpoints.setAddress("other", other.listener.address(), true);
  p.endpoints.setAddress("told", s.address(), true);
  p.endpoints.startCall(p.message("m"), 0, "other", within(60'000'000));
  p.endpoints.startCall(p.message("told"), 0, "told", within(60'000'000));
  p.waitFor(1);
  EXPECT_EQ("told", p.outcomes[0].id);
  EXPECT_EQ(1u, p.endpoints.inFlightCount());
}

// Chosen, with its connection at hand, and not yet written: the drain is heard in between.
TEST(EndpointPool, WhatIsAboutToBeWrittenHeedsADrain) {
  Server s([](const Seen&) { return Act{answer("200 OK")}; });
  Pool p;
  p.endpoints.setAddress("e", s.address());
  p.call("first");
  p.endpoints.startCall(p.message("second"), 0, "e", within(60'000'000));
  p.endpoints.onEndpointDraining("e");
  EXPECT_EQ(AttemptResult::not_sent, p.waitFor(2).result);
  EXPECT_TRUE(loopback::eventually([&] { return s.closedByPeer() == 1; }));
  EXPECT_EQ(1u, s.seen().size());
}

// An endpoint that reads no more has the call in part: that can't run, and the rest is not sent.
TEST(EndpointPool, WhatIsHalfWrittenHeedsADrainAndNeverRan) {
  loopback::Listener unread;
  Pool p;
  p.endpoints.setAddress("e", unread.address());
  AcceptedMessage m = p.message("m");
  m.body.assign(64u << 20, 'x');  // more than a socket's buffers hold
  p.endpoints.startCall(m, 0, "e", within(60'000'000));
  const int fd = ::accept4(unread.fd, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
  char piece = 0;
  while (::recv(fd, &piece, 1, MSG_PEEK) <= 0)
    p.io.run_one_for(std::chrono::milliseconds(1));
  p.endpoints.onEndpointDraining("e");
  EXPECT_EQ(AttemptResult::not_sent, p.waitFor(1).result);
  EXPECT_EQ(0, p.connections.connectionCount());
  ::close(fd);
}

// What is left is worked out as a call is written: connecting, and waiting for a connection, come off it.
TEST(EndpointPool, ConnectingComesOffTheTimeThatIsTold) {
  Server s([](const Seen&) { return Act{answer("200 OK")}; });
  Pool p;
  p.endpoints.setAddress("e", s.address());
  const Deadline until = within(5'000'000);
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  p.endpoints.startCall(p.message("fresh"), 0, "e", until);
  p.waitFor(1);
  p.endpoints.startCall(p.message("reused"), 0, "e", until);
  p.waitFor(2);
  ASSERT_EQ(2u, s.seen().size());
  EXPECT_LE(std::stoi(s.seen()[0].field("X-Remaining-Ms")), 4950);
  EXPECT_LE(std::stoi(s.seen()[1].field("X-Remaining-Ms")), std::stoi(s.seen()[0].field("X-Remaining-Ms")));
}

// With no time left nothing is written: the call could not be heard of, and might run.
TEST(EndpointPool, ACallWithNoTimeLeftIsNotWritten) {
  Server s([](const Seen&) { return Act{answer("200 OK")}; });
  Pool p;
  p.endpoints.setAddress("e", s.address());
  EXPECT_EQ(AttemptResult::ok, p.call("first").result);
  for (const Micros span : {Micros{-5'000'000}, Micros{0}})
    EXPECT_EQ(AttemptResult::connect_failed, p.call("late" + std::to_string(span), span).result) << span;
  p.endpoints.closeAllIdle();
  EXPECT_EQ(AttemptResult::connect_failed, p.call("on a fresh one", 0).result);
  EXPECT_EQ(1u, s.seen().size());
}

// A full row of idle connections to one endpoint makes room for one to another.
TEST(EndpointPool, TheLongestRowOfIdleConnectionsMakesRoom) {
  Server s([](const Seen&) { return Act{answer("200 OK")}; });
  Pool p;
  DescriptorBudget b = Pool::budget();
  b.max_idle_connections = 3;
  p.connections.setBudget(b);
  p.endpoints.setAddress("e", s.address());
  p.endpoints.setAddress("f", s.address());
  for (int i = 0; i < 8; ++i)
    p.endpoints.startCall(p.message("m" + std::to_string(i)), 0, "e", within(60'000'000));
  p.waitFor(8);
  EXPECT_EQ(3u, p.endpoints.idleCount());
  p.endpoints.startCall(p.message("first"), 0, "f", within(60'000'000));
  p.waitFor(9);
  EXPECT_EQ(3u, p.endpoints.idleCount());
  p.endpoints.startCall(p.message("again"), 0, "f", within(60'000'000));
  p.waitFor(10);
  EXPECT_EQ(s.seen()[8].connection, s.seen()[9].connection);
}

}  // namespace
}  // namespace delivery
