// Connection reuse: which idle connections are closed because they may be stale or are unlikely to be used
// again.
#include "support/scheduler_fixture.h"

using namespace delivery;

namespace {

// Idle connections became stale at every destination: each call on a reused connection was lost, and the
// next call, on a new connection, was answered. After a few such pairs of calls, idle connections are closed
// before a call.
// Incident: i98b5a8.
TEST(ConnectionReuse, StaleIdleConnectionsAreClosedBeforeTheNextCall) {
  Settings settings = makeSettings();
  settings.connection_idle_timeout = 60 * kSecond;
  SchedulerDriver driver(settings);
  std::vector<EndpointInfo> endpoints;
  for (int destination = 1; destination <= 6; ++destination) {
    endpoints.emplace_back(makeEndpoint("e" + std::to_string(destination), destination));
  }
  driver.updateEndpoints(endpoints);
  Micros moment = 0;
  int message_count = 0;
  auto call = [&](int destination, AttemptResult result, Micros round_trip_time) {
    const std::string id = "m" + std::to_string(message_count++);
    driver.advanceTo(moment).submit(id, "idempotent", destination);
    // An overdue call is detected while it is in flight.
    driver.advanceTo(moment + round_trip_time).fireTimer();
    driver.advanceTo(moment + round_trip_time + 1).reportOutcome(id, 0, result, round_trip_time);
    moment += round_trip_time + 10 * kMillisecond;
  };
  for (int i = 0; i < 10; ++i) {
    for (int destination = 1; destination <= 6; ++destination) {
      call(destination, AttemptResult::ok, 100 * kMillisecond);
    }
  }
  EXPECT_TRUE(driver.actionsOfType<CloseIdleConnections>().empty());
  for (int destination = 1; destination <= 5; ++destination) {
    moment += kSecond;
    call(destination, AttemptResult::timeout, 900 * kMillisecond);  // lost on a reused connection
    std::vector<std::string> sent;
    while (sent.empty()) {
      sent = driver.advanceTo(moment += 50 * kMillisecond).fireTimer();
    }
    // The retry uses a new connection.
    driver.advanceTo(moment += 100 * kMillisecond).reportOutcome(sent[0], 1, AttemptResult::ok);
  }
  moment = driver.now + kSecond;
  EXPECT_EQ(driver.advanceTo(moment).submit("last", "idempotent", 6).size(), 1u);
  ASSERT_EQ(driver.actionsOfType<CloseIdleConnections>().size(), 1u);
  EXPECT_EQ(driver.actionsOfType<CloseIdleConnections>()[0].endpoint, "e6");
}

// Slow calls that were cancelled or timed out on recently used connections were taken as signs of stale
// connections, and all idle connections were closed before each call. Answers on connections that had been
// idle as long or longer show that idling does not make connections stale.
// Incident: ticket5282.
TEST(ConnectionReuse, LostCallsAreNoSignOfStaleConnectionsWhereLongerIdleOnesAreAnswered) {
  Settings settings = makeSettings();
  settings.connection_idle_timeout = 60 * kSecond;
  SchedulerDriver driver(settings);
  std::vector<EndpointInfo> endpoints;
  for (int destination = 1; destination <= 6; ++destination) {
    endpoints.emplace_back(makeEndpoint("e" + std::to_string(destination), destination));
  }
  driver.updateEndpoints(endpoints);
  Micros moment = 0;
  int message_count = 0;
  std::size_t closed = 0;
  auto call = [&](int destination, AttemptResult result, Micros round_trip_time) {
    const std::string id = "m" + std::to_string(message_count++);
    driver.advanceTo(moment).submit(id, "idempotent", destination);
    closed += driver.actionsOfType<CloseIdleConnections>().size();
    driver.advanceTo(moment + round_trip_time).fireTimer();
    driver.advanceTo(moment + round_trip_time + 1).reportOutcome(id, 0, result, round_trip_time);
    moment += round_trip_time + 10 * kMillisecond;
  };
  for (int round = 0; round < 8; ++round) {
    for (int destination = 1; destination <= 6; ++destination) {
      call(destination, AttemptResult::ok, 100 * kMillisecond);
    }
    if (round < 3) {
      continue;
    }
    call(6, AttemptResult::timeout, 900 * kMillisecond);  // on a connection that was used 10 ms ago
    std::vector<std::string> sent;
    while (sent.empty()) {
      sent = driver.advanceTo(moment += 50 * kMillisecond).fireTimer();
    }
    // The retry uses a new connection.
    driver.advanceTo(moment += 100 * kMillisecond).reportOutcome(sent[0], 1, AttemptResult::ok);
    moment += 10 * kMillisecond;
  }
  call(5, AttemptResult::ok, 100 * kMillisecond);
  EXPECT_EQ(closed, 0u);
}

// With many senders, each sender called an endpoint too rarely for both halves of a sign, a lost call and an
// answered one, to occur there. Stale connections were not detected. A lost call on a reused connection to
// one endpoint is therefore also a sign if the next call, on a new connection to another endpoint of the
// destination, is answered.
// Incident: i0e42b8.
TEST(ConnectionReuse, SignsOfStaleConnectionsAreMatchedByDestination) {
  Settings settings = makeSettings();
  settings.sender_count = 200;
  settings.connection_idle_timeout = 60 * kSecond;
  settings.max_attempts = 3;
  SchedulerDriver driver(settings);
  std::vector<EndpointInfo> endpoints;
  for (int destination = 1; destination <= 3; ++destination) {
    for (const char* id_prefix : {"a", "b"}) {
      endpoints.emplace_back(makeEndpoint(id_prefix + std::to_string(destination), destination));
    }
  }
  driver.updateEndpoints(endpoints);
  int message_count = 0;
  auto call = [&](int destination, AttemptResult result, Micros round_trip_time) {
    std::string id = "m" + std::to_string(message_count++);
    driver.advanceTo(driver.now + 10 * kMillisecond).submit(id, "idempotent", destination);
    driver.advanceTo(driver.now + round_trip_time).fireTimer();
    driver.reportOutcome(id, 0, result, round_trip_time);
    return id;
  };
  // The destinations are called often enough that idle connections are kept.
  for (int i = 0; i < 200; ++i) {
    for (int destination = 1; destination <= 3; ++destination) {
      call(destination, AttemptResult::ok, 20 * kMillisecond);
    }
  }
  for (int destination = 1; destination <= 2; ++destination) {
    driver.advanceTo(driver.now + 2 * kSecond);
    const std::string lost_message = call(destination, AttemptResult::timeout, 900 * kMillisecond);
    const std::string first_endpoint = driver.last_endpoint[lost_message];
    std::vector<std::string> sent;
    while (sent.empty()) {
      sent = driver.advanceTo(driver.now + 50 * kMillisecond).fireTimer();
    }
    EXPECT_NE(driver.last_endpoint[lost_message], first_endpoint);
    driver.advanceTo(driver.now + 50 * kMillisecond)
        .reportOutcome(sent[0], 1, AttemptResult::ok, 50 * kMillisecond);
  }
  driver.advanceTo(driver.now + 3 * kSecond).submit("last", "idempotent", 3);
  EXPECT_EQ(driver.actionsOfType<CloseIdleConnections>().size(), 1u);
}

// 66% of the attempts got no connection, because each of 67 senders kept an idle one. A sender
// closes a connection that it is unlikely to use again.
// Incident: quiet of gyor-nyugat-later.
TEST(ConnectionReuse, WithManySendersConnectionsWithoutExpectedUsesAreClosed) {
  auto closed_connections = [](int sender_count, Micros interval) {
    Settings settings = makeSettings();
    settings.sender_count = sender_count;
    SchedulerDriver driver(settings);
    driver.updateEndpoints({makeEndpoint("e1", 1)});
    std::size_t closed = 0;
    for (int i = 0; i < 40; ++i) {
      const std::string id = "m" + std::to_string(i);
      driver.advanceTo(driver.now + interval).submit(id, "idempotent", 1);
      driver.advanceTo(driver.now + 50 * kMillisecond)
          .reportOutcome(id, 0, AttemptResult::ok, 50 * kMillisecond);
      if (i >= 20) {
        closed += driver.actionsOfType<CloseIdleConnections>().size();
      }
    }
    return closed;
  };
  EXPECT_EQ(closed_connections(200, 30 * kSecond), 20u);  // called too rarely
  EXPECT_EQ(closed_connections(200, kSecond), 0u);        // the connection will be used again
}

// Endpoints accept few connections, and the idle connections of many senders filled the endpoints'
// connection tables. To all other senders that looked like an outage. After a connect failure no idle
// connection to the endpoint is kept.
// Incident: overload of budapest-kozpont-later.
TEST(ConnectionReuse, WithManySendersNoIdleConnectionIsKeptAfterAConnectFailure) {
  auto keeps_connection_after_failure = [](int sender_count) {
    Settings settings = makeSettings();
    settings.sender_count = sender_count;
    settings.connection_idle_timeout = 15 * kSecond;
    settings.classes[0].deadline = 100 * kSecond;
    SchedulerDriver driver(settings);
    driver.updateEndpoints({makeEndpoint("e1", 1)});
    int message_count = 0;
    auto call = [&](AttemptResult result) {
      const std::string id = "m" + std::to_string(message_count++);
      driver.advanceTo(driver.now + 100 * kMillisecond).submit(id, "idempotent", 1);
      driver.advanceTo(driver.now + 50 * kMillisecond).reportOutcome(id, 0, result, 50 * kMillisecond);
      return driver.actionsOfType<CloseIdleConnections>().empty();
    };
    for (int i = 0; i < 200; ++i) {
      call(AttemptResult::ok);
    }
    EXPECT_TRUE(call(AttemptResult::ok));  // called often enough that the connection is kept
    call(AttemptResult::connect_failed);
    std::vector<std::string> sent;
    while (sent.empty()) {
      sent = driver.advanceTo(driver.now + 50 * kMillisecond).fireTimer();
    }
    driver.advanceTo(driver.now + 50 * kMillisecond)
        .reportOutcome(sent[0], 1, AttemptResult::ok, 50 * kMillisecond);
    return driver.actionsOfType<CloseIdleConnections>().empty();
  };
  EXPECT_FALSE(keeps_connection_after_failure(200));
  // Two senders can't fill an endpoint's connection table, so the endpoint was down.
  EXPECT_TRUE(keeps_connection_after_failure(2));
}

}  // namespace
