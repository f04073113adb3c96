// Tests of calls over loopback sockets: the outcome for each kind of response in the protocol, and the pool
// of connections.
#include "network/endpoint_pool.h"

#include <boost/asio/io_context.hpp>

#include "support/loopback.h"

namespace delivery {
namespace {

using loopback::httpResponse;
using loopback::HttpServer;
using loopback::ReceivedRequest;
using loopback::ServerAction;

Deadline deadlineIn(Micros time_span) {
  return Deadline::after(monotonicNow(), time_span);
}

// A pool whose event loop the test runs. Not more than two connections to an endpoint are opened at the same
// time.
struct TestPool {
  explicit TestPool(Micros idle_timeout = 60'000'000, Micros connect_timeout = 5'000'000)
      : connections(budget()),
        endpoints(io, {connect_timeout, idle_timeout}, connections,
                  [this](AttemptOutcome outcome) { outcomes.push_back(std::move(outcome)); }) {}

  static DescriptorBudget budget() {
    DescriptorBudget budget = computeDescriptorBudget({256, 32'000'000, 8}, false);
    budget.max_handshakes_per_endpoint = 2;
    return budget;
  }
  SubmittedMessage message(const std::string& id) {
    SubmittedMessage message;
    message.id = id;
    message.idempotency_key = "5c0f6e1a2b3d4c59";
    message.body = std::string("any\0bytes\r\n", 11);
    return message;
  }
  // Makes a call and waits for its outcome.
  AttemptOutcome call(const std::string& id, Micros timeout = 60'000'000) {
    const std::size_t before = outcomes.size();
    endpoints.startCall(message(id), 0, "e", deadlineIn(timeout));
    return waitFor(before + 1);
  }
  // Runs the event loop until there are `count` outcomes, and returns the last one.
  AttemptOutcome waitFor(std::size_t count) {
    const auto deadline = std::chrono::steady_clock::now() + loopback::kWaitLimit;
    while (outcomes.size() < count && std::chrono::steady_clock::now() < deadline) {
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

// An endpoint whose backlog is full, so that no connection to it is established.
struct FullBacklogEndpoint {
  FullBacklogEndpoint() {
    EXPECT_EQ(0, ::listen(listener.fd, 0));
    for (int i = 0; i < 8; ++i) {
      connections.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
      sockaddr_in address{};
      address.sin_family = AF_INET;
      address.sin_port = htons(static_cast<std::uint16_t>(listener.port));
      address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
      (void)::connect(connections.back(), reinterpret_cast<sockaddr*>(&address), sizeof address);
    }
  }
  ~FullBacklogEndpoint() {
    for (const int fd : connections) {
      ::close(fd);
    }
  }
  loopback::Listener listener;
  std::vector<int> connections;
};

// Makes one call to an endpoint that responds with `action`.
AttemptOutcome outcomeOf(const ServerAction& action, Micros timeout = 60'000'000) {
  HttpServer server([&](const ReceivedRequest&) { return action; });
  TestPool pool;
  pool.endpoints.setEndpoint("e", server.address());
  return pool.call("m", timeout);
}

// Informational response heads, as sent before a response.
std::string earlyHints(int count) {
  std::string heads;
  while (count-- > 0) {
    heads += "HTTP/1.1 103 Early Hints\r\n\r\n";
  }
  return heads;
}

struct OutcomeCase {
  const char* name;
  ServerAction action;
  AttemptResult result;
  bool finished;
  Micros retry_after;
  // NOLINTNEXTLINE(readability-identifier-naming): the name that GoogleTest looks for
  friend void PrintTo(const OutcomeCase& test_case, std::ostream* out) { *out << test_case.name; }
};
class EndpointPoolOutcome : public ::testing::TestWithParam<OutcomeCase> {};

TEST_P(EndpointPoolOutcome, FollowsFromTheResponse) {
  const OutcomeCase& test_case = GetParam();
  const AttemptOutcome outcome = outcomeOf(test_case.action);
  EXPECT_EQ(test_case.result, outcome.result);
  EXPECT_EQ(test_case.finished, outcome.finished);
  EXPECT_EQ(test_case.retry_after, outcome.retry_after);
}

INSTANTIATE_TEST_SUITE_P(
    Responses, EndpointPoolOutcome,
    ::testing::Values(
        OutcomeCase{"delivered", {httpResponse("200 OK", "", "fine")}, AttemptResult::ok, true, 0},
        OutcomeCase{"delivered_body_lost",
                    {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", true},
                    AttemptResult::ok,
                    true,
                    0},
        OutcomeCase{"error", {httpResponse("500 Oops")}, AttemptResult::error, false, 0},
        OutcomeCase{"retry_after",
                    {httpResponse("429 Slow", "Retry-After: 0.25\r\n")},
                    AttemptResult::throttled,
                    false,
                    250'000},
        OutcomeCase{"malformed_retry_after",
                    {httpResponse("429 Slow", "Retry-After: soon\r\n")},
                    AttemptResult::throttled,
                    false,
                    0},
        OutcomeCase{"rejected", {httpResponse("503 Full")}, AttemptResult::throttled, false, 0},
        OutcomeCase{"no_egress_slot",
                    {httpResponse("503 Full", "X-Egress-Full: 1\r\n")},
                    AttemptResult::not_sent,
                    false,
                    0},
        OutcomeCase{"time_used_up", {httpResponse("504 Used")}, AttemptResult::not_sent, false, 0},
        OutcomeCase{"gone", {httpResponse("410 Gone")}, AttemptResult::not_sent, true, 0},
        OutcomeCase{"unknown_status", {httpResponse("418 Tea")}, AttemptResult::error, false, 0},
        OutcomeCase{"garbled", {"no http at all\r\n\r\n", true}, AttemptResult::reset, false, 0},
        OutcomeCase{"ended", {"", true}, AttemptResult::reset, false, 0},
        OutcomeCase{"reset", {"", false, true}, AttemptResult::reset, false, 0},
        OutcomeCase{"delivered_rest_garbled",
                    {"HTTP/1.1 200 OK\r\n\x01 no field\r\n\r\n", true},
                    AttemptResult::ok,
                    true,
                    0},
        OutcomeCase{"delivered_rest_lost",
                    {"HTTP/1.1 200 OK\r\nContent-Le", false, true},
                    AttemptResult::ok,
                    true,
                    0},
        OutcomeCase{"rejected_truncated",
                    {"HTTP/1.1 503 Full\r\nContent-Length: 10\r\n\r\nhalf", true},
                    AttemptResult::error,
                    false,
                    0},
        OutcomeCase{"hints_then_rejected",
                    {"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" +
                     httpResponse("429 Full", "Retry-After: 0.5\r\n")},
                    AttemptResult::throttled,
                    false,
                    500000},
        OutcomeCase{"hints_then_delivered",
                    {"HTTP/1.1 103 Early Hints\r\n\r\n" + httpResponse("200 OK")},
                    AttemptResult::ok,
                    true,
                    0},
        OutcomeCase{
            "too_many_hints", {earlyHints(40) + httpResponse("200 OK")}, AttemptResult::error, false, 0},
        OutcomeCase{"half_a_head", {"HTTP/1.1 200", true}, AttemptResult::reset, false, 0}),
    [](const auto& i) { return std::string(i.param.name); });

TEST(EndpointPool, SilenceEndsInATimeoutAndClosesTheConnection) {
  HttpServer server([](const ReceivedRequest&) { return ServerAction{}; });
  TestPool pool;
  pool.endpoints.setEndpoint("e", server.address());
  const AttemptOutcome outcome = pool.call("m", 200'000);
  EXPECT_EQ(AttemptResult::timeout, outcome.result);
  EXPECT_FALSE(outcome.finished);
  EXPECT_EQ(0u, pool.endpoints.idleCount());
}

TEST(EndpointPool, ACallWhoseConnectionIsRefusedNeverRan) {
  TestPool pool;
  pool.endpoints.setEndpoint("e", loopback::closedAddress());
  EXPECT_EQ(AttemptResult::connect_failed, pool.call("m").result);
  pool.endpoints.setEndpoint("e", "nonsense");
  EXPECT_EQ(AttemptResult::connect_failed, pool.call("n").result);
}

// A call carries the message's id, idempotency key and body unchanged, and the time for which the sender will
// wait.
TEST(EndpointPool, ACallCarriesTheMessageUnchanged) {
  HttpServer server([](const ReceivedRequest&) {
    return ServerAction{httpResponse("200 OK", "X-Pressure: x0=0.4,x1=25\r\n")};
  });
  TestPool pool;
  pool.endpoints.setEndpoint("e", server.address());
  const AttemptOutcome outcome = pool.call("9b1f03aa5c7e2d41", 1'500'000);
  ASSERT_EQ(1u, server.requests().size());
  const ReceivedRequest request = server.requests()[0];
  EXPECT_EQ(0u, request.head.find("POST /hook HTTP/1.1\r\n"));
  EXPECT_EQ("9b1f03aa5c7e2d41", request.field("X-Txn"));
  EXPECT_EQ("5c0f6e1a2b3d4c59", request.field("Idempotency-Key"));
  const int remaining_ms = std::stoi(request.field("X-Remaining-Ms"));  // less the time until it was written
  EXPECT_GT(remaining_ms, 0);
  EXPECT_LE(remaining_ms, 1500);
  EXPECT_EQ(pool.message("").body, request.body);
  ASSERT_TRUE(outcome.load_report);
  EXPECT_DOUBLE_EQ(0.4, outcome.load_report->remaining_share);
  EXPECT_DOUBLE_EQ(25, outcome.load_report->limit_per_second);
}

TEST(EndpointPool, ConnectionsAreReusedAndClosedOnDemand) {
  HttpServer server([](const ReceivedRequest&) { return ServerAction{httpResponse("200 OK")}; });
  TestPool pool;
  pool.endpoints.setEndpoint("e", server.address());
  pool.call("a");
  pool.call("b");
  EXPECT_EQ(server.requests()[0].connection, server.requests()[1].connection);
  pool.endpoints.closeIdle("e");
  EXPECT_EQ(0u, pool.endpoints.idleCount());
  pool.call("c");
  EXPECT_NE(server.requests()[1].connection, server.requests()[2].connection);
}

// The endpoint closes an idle connection. A request written to it would end with a reset, and a message that
// is not idempotent would be lost, because it may have run.
TEST(EndpointPool, AConnectionClosedByTheEndpointIsNotWrittenTo) {
  HttpServer server([](const ReceivedRequest&) {
    return ServerAction{httpResponse("200 OK"), true};
  });  // closes the connection without a "Connection: close" field
  TestPool pool;
  pool.endpoints.setEndpoint("e", server.address());
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(AttemptResult::ok, pool.call("m" + std::to_string(i)).result);
    pool.io.restart();
    pool.io.run_for(std::chrono::milliseconds(50));  // time for the end of the connection to arrive
  }
}

// The endpoint closes an idle connection after the pool has selected it for a call and before the first byte
// is written. The call must be made on another connection.
TEST(EndpointPool, AConnectionClosedAfterItWasSelectedIsNotWrittenTo) {
  loopback::Listener endpoint;
  TestPool pool;
  pool.endpoints.setEndpoint("e", endpoint.address());
  pool.endpoints.startCall(pool.message("first"), 0, "e", deadlineIn(60'000'000));
  const int fd = ::accept4(endpoint.fd, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
  char piece[4096];
  while (::recv(fd, piece, sizeof piece, 0) <= 0) {
    pool.io.run_one_for(std::chrono::milliseconds(1));
  }
  const std::string ok_response = httpResponse("200 OK");
  EXPECT_EQ(static_cast<ssize_t>(ok_response.size()),
            ::send(fd, ok_response.data(), ok_response.size(), MSG_NOSIGNAL));
  EXPECT_EQ(AttemptResult::ok, pool.waitFor(1).result);
  EXPECT_EQ(1u, pool.endpoints.idleCount());
  // A connection is selected now; the call will be written in the next iteration of the event loop.
  pool.endpoints.startCall(pool.message("second"), 0, "e", deadlineIn(60'000'000));
  EXPECT_EQ(0u, pool.endpoints.idleCount());
  ::close(fd);  // on loopback the end arrives at once
  ::fcntl(endpoint.fd, F_SETFL, O_NONBLOCK);
  int next = -1;
  while (next < 0 && pool.outcomes.size() == 1) {
    next = ::accept4(endpoint.fd, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
    pool.io.run_one_for(std::chrono::milliseconds(1));
  }
  ASSERT_GE(next, 0) << "the call ended as " << static_cast<int>(pool.outcomes.back().result);
  while (::recv(next, piece, sizeof piece, 0) <= 0) {
    pool.io.run_one_for(std::chrono::milliseconds(1));
  }
  EXPECT_EQ(static_cast<ssize_t>(ok_response.size()),
            ::send(next, ok_response.data(), ok_response.size(), MSG_NOSIGNAL));
  EXPECT_EQ(AttemptResult::ok, pool.waitFor(2).result);
  ::close(next);
}

TEST(EndpointPool, AnIdleConnectionIsClosedBeforeTheEndpointWould) {
  HttpServer server([](const ReceivedRequest&) { return ServerAction{httpResponse("200 OK")}; });
  TestPool pool(100'000);
  pool.endpoints.setEndpoint("e", server.address());
  pool.call("a");
  EXPECT_EQ(1u, pool.endpoints.idleCount());
  const auto deadline = std::chrono::steady_clock::now() + loopback::kWaitLimit;
  while (pool.endpoints.idleCount() > 0 && std::chrono::steady_clock::now() < deadline) {
    pool.io.restart();
    pool.io.run_one_for(std::chrono::seconds(1));
  }
  EXPECT_EQ(0u, pool.endpoints.idleCount());
}

TEST(EndpointPool, ACancelledCallIsClosedAndHasOneOutcome) {
  HttpServer server([](const ReceivedRequest&) { return ServerAction{}; });
  TestPool pool;
  pool.endpoints.setEndpoint("e", server.address());
  pool.endpoints.startCall(pool.message("m"), 3, "e", deadlineIn(60'000'000));
  while (server.requests().empty()) {
    pool.io.restart();
    pool.io.run_one_for(std::chrono::milliseconds(20));
  }
  pool.endpoints.cancel({"m", 3});
  pool.endpoints.cancel({"m", 3});
  const AttemptOutcome outcome = pool.waitFor(1);
  EXPECT_EQ(AttemptResult::cancelled, outcome.result);
  EXPECT_EQ(3, outcome.attempt);
  EXPECT_EQ(0u, pool.endpoints.inFlightCount());
  pool.io.restart();
  pool.io.run_for(std::chrono::milliseconds(50));
  EXPECT_EQ(1u, pool.outcomes.size());
}

// A burst of calls to an endpoint that accepts no connection must open only two connections at the same time.
// The other calls are queued, and end like calls that failed to connect.
TEST(EndpointPool, ABurstOpensFewConnectionsAtOnce) {
  FullBacklogEndpoint full_backlog;
  TestPool pool(60'000'000, 300'000);
  pool.endpoints.setEndpoint("e", full_backlog.listener.address());
  for (int i = 0; i < 8; ++i) {
    pool.endpoints.startCall(pool.message("m" + std::to_string(i)), 0, "e", deadlineIn(60'000'000));
  }
  EXPECT_EQ(8u, pool.endpoints.inFlightCount());
  EXPECT_EQ(2, pool.connections.connectionCount());
  pool.waitFor(8);
  for (const AttemptOutcome& outcome : pool.outcomes) {
    EXPECT_EQ(AttemptResult::connect_failed, outcome.result);
  }
  EXPECT_EQ(0, pool.connections.connectionCount());
}

// Queued calls must be sent in order on the connections that become free, and each must be written once.
TEST(EndpointPool, ABurstIsDeliveredOnTheConnectionsThatBecomeFree) {
  HttpServer server([](const ReceivedRequest&) { return ServerAction{httpResponse("200 OK")}; });
  TestPool pool;
  pool.endpoints.setEndpoint("e", server.address());
  for (int i = 0; i < 8; ++i) {
    pool.endpoints.startCall(pool.message("m" + std::to_string(i)), 0, "e", deadlineIn(60'000'000));
  }
  pool.waitFor(8);
  std::set<std::string> ids;
  for (const ReceivedRequest& request : server.requests()) {
    ids.insert(request.field("X-Txn"));
  }
  EXPECT_EQ(8u, ids.size());
  EXPECT_EQ(8u, server.requests().size());
  for (const AttemptOutcome& outcome : pool.outcomes) {
    EXPECT_EQ(AttemptResult::ok, outcome.result);
  }
  EXPECT_EQ(static_cast<std::int64_t>(pool.endpoints.idleCount()), pool.connections.connectionCount());
}

// A Retry-After or a drain must also apply to calls that are queued for a connection or connecting. Otherwise
// they would be written before the Retry-After has passed, or to a draining endpoint.
TEST(EndpointPool, ACallWithoutAConnectionIsWithdrawnByARetryAfterAndADrain) {
  HttpServer server(
      [](const ReceivedRequest&) { return ServerAction{httpResponse("429 Slow", "Retry-After: 9\r\n")}; });
  FullBacklogEndpoint full_backlog;
  for (const bool drain : {false, true}) {
    TestPool pool;
    pool.endpoints.setEndpoint("e", full_backlog.listener.address());
    pool.endpoints.setEndpoint("throttled", server.address());
    for (int i = 0; i < 3; ++i) {  // two are connecting, one is queued
      pool.endpoints.startCall(pool.message("m" + std::to_string(i)), 0, "e", deadlineIn(60'000'000));
    }
    if (drain) {
      pool.endpoints.onEndpointDraining("e");
    } else {
      pool.endpoints.startCall(pool.message("throttled"), 0, "throttled", deadlineIn(60'000'000));
    }
    pool.waitFor(drain ? 3 : 4);
    for (const AttemptOutcome& outcome : pool.outcomes) {
      EXPECT_EQ(outcome.id == "throttled" ? AttemptResult::throttled : AttemptResult::not_sent,
                outcome.result)
          << outcome.id;
    }
    EXPECT_EQ(0u, pool.endpoints.inFlightCount());
    EXPECT_EQ(drain ? 0 : 1, pool.connections.connectionCount());
  }
}

// A Retry-After in the head of a response whose body is late, endless or truncated must take effect at once,
// also for calls that are about to be written, and independently of how the call itself ends.
TEST(EndpointPool, ARetryAfterIsReportedWithTheResponseHead) {
  const std::string head = "HTTP/1.1 429 Slow\r\nRetry-After: 9\r\nContent-Length: 10\r\n\r\nhalf";
  for (const bool cut : {false, true}) {
    HttpServer server([&](const ReceivedRequest&) { return ServerAction{head, cut}; });
    FullBacklogEndpoint full_backlog;
    TestPool pool;
    pool.endpoints.setEndpoint("e", full_backlog.listener.address());
    pool.endpoints.setEndpoint("throttled", server.address());
    pool.endpoints.startCall(pool.message("m"), 0, "e", deadlineIn(60'000'000));
    pool.endpoints.startCall(pool.message("throttled"), 0, "throttled", deadlineIn(60'000'000));
    pool.waitFor(2);
    std::map<std::string, AttemptOutcome> outcomes;
    for (const AttemptOutcome& outcome : pool.outcomes) {
      outcomes[outcome.id] = outcome;
    }
    EXPECT_EQ(AttemptResult::not_sent, outcomes["m"].result);
    EXPECT_TRUE(outcomes["throttled"].still_in_flight);
    EXPECT_EQ(9'000'000, outcomes["throttled"].retry_after);
    if (!cut) {
      pool.endpoints.cancel({"throttled", 0});
    }
    const AttemptOutcome end = pool.waitFor(pool.outcomes.size() + 1);
    EXPECT_FALSE(end.still_in_flight);
    EXPECT_EQ(AttemptResult::error, end.result);  // a call whose response can't be read may have run
  }
}

// The response is in the socket, unread, when the call is cancelled. The outcome must be that of the
// response.
TEST(EndpointPool, AResponseThatArrivesBeforeTheCancellationCounts) {
  HttpServer server(
      [](const ReceivedRequest&) { return ServerAction{httpResponse("429 Slow", "Retry-After: 9\r\n")}; });
  TestPool pool;
  pool.endpoints.setEndpoint("e", server.address());
  pool.endpoints.startCall(pool.message("m"), 0, "e", deadlineIn(60'000'000));
  while (server.requests().empty()) {
    pool.io.run_one_for(std::chrono::milliseconds(1));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(100));  // time for the response to arrive, unread
  pool.endpoints.cancel({"m", 0});
  const AttemptOutcome outcome = pool.waitFor(1);
  EXPECT_EQ(AttemptResult::throttled, outcome.result);
  EXPECT_EQ(9'000'000, outcome.retry_after);
}

// A call that was never written can't have run, so its outcome must be not_sent even if it is cancelled.
TEST(EndpointPool, ACancelledCallWithoutAConnectionNeverRan) {
  FullBacklogEndpoint full_backlog;
  TestPool pool;
  pool.endpoints.setEndpoint("e", full_backlog.listener.address());
  pool.endpoints.startCall(pool.message("m"), 0, "e", deadlineIn(60'000'000));
  EXPECT_TRUE(pool.endpoints.cancel({"m", 0}));
  EXPECT_EQ(1u, pool.endpoints.inFlightCount());  // its outcome is still to be reported
  EXPECT_EQ(1u, pool.endpoints.callsInFlight().size());
  EXPECT_EQ(AttemptResult::not_sent, pool.waitFor(1).result);
  EXPECT_EQ(0u, pool.endpoints.inFlightCount());
}

// If endpoints have their own routes, a Retry-After must apply only to the endpoint that sent it.
TEST(EndpointPool, ARetryAfterOfAnEndpointWithItsOwnRouteAppliesToThatEndpointOnly) {
  HttpServer server(
      [](const ReceivedRequest&) { return ServerAction{httpResponse("429 Slow", "Retry-After: 9\r\n")}; });
  FullBacklogEndpoint other;
  TestPool pool;
  pool.endpoints.setEndpoint("other", other.listener.address(), true);
  pool.endpoints.setEndpoint("throttled", server.address(), true);
  pool.endpoints.startCall(pool.message("m"), 0, "other", deadlineIn(60'000'000));
  pool.endpoints.startCall(pool.message("throttled"), 0, "throttled", deadlineIn(60'000'000));
  pool.waitFor(1);
  EXPECT_EQ("throttled", pool.outcomes[0].id);
  EXPECT_EQ(1u, pool.endpoints.inFlightCount());
}

// A drain starts after a call has got a connection and before it is written. The call must not be written.
TEST(EndpointPool, ACallAboutToBeWrittenIsWithdrawnByADrain) {
  HttpServer server([](const ReceivedRequest&) { return ServerAction{httpResponse("200 OK")}; });
  TestPool pool;
  pool.endpoints.setEndpoint("e", server.address());
  pool.call("first");
  pool.endpoints.startCall(pool.message("second"), 0, "e", deadlineIn(60'000'000));
  pool.endpoints.onEndpointDraining("e");
  EXPECT_EQ(AttemptResult::not_sent, pool.waitFor(2).result);
  EXPECT_TRUE(loopback::eventually([&] { return server.connectionsClosedByPeer() == 1; }));
  EXPECT_EQ(1u, server.requests().size());
}

// An endpoint has stopped reading and has received a part of a call when a drain starts. The call can't run,
// so the rest must not be sent, and the outcome must be not_sent.
TEST(EndpointPool, APartlyWrittenCallIsWithdrawnByADrainAndNeverRan) {
  loopback::Listener unread;
  TestPool pool;
  pool.endpoints.setEndpoint("e", unread.address());
  SubmittedMessage message = pool.message("m");
  message.body.assign(64u << 20, 'x');  // more than a socket's buffers hold
  pool.endpoints.startCall(message, 0, "e", deadlineIn(60'000'000));
  const int fd = ::accept4(unread.fd, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
  char piece = 0;
  while (::recv(fd, &piece, 1, MSG_PEEK) <= 0) {
    pool.io.run_one_for(std::chrono::milliseconds(1));
  }
  pool.endpoints.onEndpointDraining("e");
  EXPECT_EQ(AttemptResult::not_sent, pool.waitFor(1).result);
  EXPECT_EQ(0, pool.connections.connectionCount());
  ::close(fd);
}

// The remaining time that a call carries must be computed when it is written, after queueing and connecting.
TEST(EndpointPool, ConnectingCountsAgainstTheRemainingTime) {
  HttpServer server([](const ReceivedRequest&) { return ServerAction{httpResponse("200 OK")}; });
  TestPool pool;
  pool.endpoints.setEndpoint("e", server.address());
  const Deadline deadline = deadlineIn(5'000'000);
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  pool.endpoints.startCall(pool.message("fresh"), 0, "e", deadline);
  pool.waitFor(1);
  pool.endpoints.startCall(pool.message("reused"), 0, "e", deadline);
  pool.waitFor(2);
  ASSERT_EQ(2u, server.requests().size());
  EXPECT_LE(std::stoi(server.requests()[0].field("X-Remaining-Ms")), 4950);
  EXPECT_LE(std::stoi(server.requests()[1].field("X-Remaining-Ms")),
            std::stoi(server.requests()[0].field("X-Remaining-Ms")));
}

// A call without time left must not be written: it might run, and its outcome would never be known.
TEST(EndpointPool, ACallWithNoTimeLeftIsNotWritten) {
  HttpServer server([](const ReceivedRequest&) { return ServerAction{httpResponse("200 OK")}; });
  TestPool pool;
  pool.endpoints.setEndpoint("e", server.address());
  EXPECT_EQ(AttemptResult::ok, pool.call("first").result);
  for (const Micros time_left : {Micros{-5'000'000}, Micros{0}}) {
    EXPECT_EQ(AttemptResult::connect_failed, pool.call("late" + std::to_string(time_left), time_left).result)
        << time_left;
  }
  pool.endpoints.closeAllIdle();
  EXPECT_EQ(AttemptResult::connect_failed, pool.call("on_a_new_connection", 0).result);
  EXPECT_EQ(1u, server.requests().size());
}

// One endpoint has all idle connections that the budget allows. It must make room for an idle connection to
// another endpoint.
TEST(EndpointPool, TheEndpointWithTheMostIdleConnectionsMakesRoom) {
  HttpServer server([](const ReceivedRequest&) { return ServerAction{httpResponse("200 OK")}; });
  TestPool pool;
  DescriptorBudget budget = TestPool::budget();
  budget.max_idle_connections = 3;
  pool.connections.setBudget(budget);
  pool.endpoints.setEndpoint("e", server.address());
  pool.endpoints.setEndpoint("f", server.address());
  for (int i = 0; i < 8; ++i) {
    pool.endpoints.startCall(pool.message("m" + std::to_string(i)), 0, "e", deadlineIn(60'000'000));
  }
  pool.waitFor(8);
  EXPECT_EQ(3u, pool.endpoints.idleCount());
  pool.endpoints.startCall(pool.message("first"), 0, "f", deadlineIn(60'000'000));
  pool.waitFor(9);
  EXPECT_EQ(3u, pool.endpoints.idleCount());
  pool.endpoints.startCall(pool.message("again"), 0, "f", deadlineIn(60'000'000));
  pool.waitFor(10);
  EXPECT_EQ(server.requests()[8].connection, server.requests()[9].connection);
}

}  // namespace
}  // namespace delivery
