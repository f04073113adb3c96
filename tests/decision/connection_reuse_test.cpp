// Connection reuse: which idle connections are closed because they may have died or are unlikely to be used
// again.
#include <algorithm>

#include "support/scheduler_fixture.h"

using namespace delivery;

namespace {

// Incident i98b5a8: idle connections died unnoticed at every destination; each call on a reused one was lost,
// the next, on a new one, was answered. After a few such signs idle connections are closed before a call.
TEST(ConnectionReuse, IdleConnectionsThatDieSilentlyAreClosedBeforeTheNextCall) {
  Settings settings = makeSettings();
  settings.connection_idle_timeout = 60 * kSecond;
  SchedulerDriver driver(settings);
  std::vector<EndpointInfo> all;
  for (int d = 1; d <= 6; ++d) {
    all.emplace_back(makeEndpoint("e" + std::to_string(d), d));
  }
  driver.updateEndpoints(all);
  Micros t = 0;
  int n = 0;
  auto call = [&](int d, AttemptResult result, Micros rtt) {
    const std::string id = "m" + std::to_string(n++);
    driver.advanceTo(t).submit(id, "idempotent", d);
    driver.advanceTo(t + rtt).fireTimer();  // an overdue call is noticed while it is in flight
    driver.advanceTo(t + rtt + 1).reportOutcome(id, 0, result, rtt);
    t += rtt + 10 * kMillisecond;
  };
  for (int i = 0; i < 10; ++i) {
    for (int d = 1; d <= 6; ++d) {
      call(d, AttemptResult::ok, 100 * kMillisecond);
    }
  }
  EXPECT_TRUE(driver.actionsOfType<CloseIdleConnections>().empty());
  for (int d = 1; d <= 5; ++d) {
    t += kSecond;
    call(d, AttemptResult::timeout, 900 * kMillisecond);  // lost on the reused connection
    std::vector<std::string> sent;
    while (sent.empty()) {
      sent = driver.advanceTo(t += 50 * kMillisecond).fireTimer();
    }
    driver.advanceTo(t += 100 * kMillisecond)
        .reportOutcome(sent[0], 1, AttemptResult::ok);  // its retry, on a new one
  }
  t = driver.now + kSecond;
  EXPECT_EQ(driver.advanceTo(t).submit("last", "idempotent", 6).size(), 1u);
  ASSERT_EQ(driver.actionsOfType<CloseIdleConnections>().size(), 1u);
  EXPECT_EQ(driver.actionsOfType<CloseIdleConnections>()[0].endpoint, "e6");
}

// ticket5282: slow calls that were cancelled or timed out on connections that had just been in use were taken
// for the same signs, and all idle connections were closed before each call. Answers on connections that had
// been idle as long, or longer, show that idling does not kill them.
TEST(ConnectionReuse, LostCallsAreNoSignOfDeadConnectionsWhereLongerIdleOnesAnswer) {
  Settings settings = makeSettings();
  settings.connection_idle_timeout = 60 * kSecond;
  SchedulerDriver driver(settings);
  std::vector<EndpointInfo> all;
  for (int d = 1; d <= 6; ++d) {
    all.emplace_back(makeEndpoint("e" + std::to_string(d), d));
  }
  driver.updateEndpoints(all);
  Micros t = 0;
  int n = 0;
  std::size_t closed = 0;
  auto call = [&](int d, AttemptResult result, Micros rtt) {
    const std::string id = "m" + std::to_string(n++);
    driver.advanceTo(t).submit(id, "idempotent", d);
    closed += driver.actionsOfType<CloseIdleConnections>().size();
    driver.advanceTo(t + rtt).fireTimer();
    driver.advanceTo(t + rtt + 1).reportOutcome(id, 0, result, rtt);
    t += rtt + 10 * kMillisecond;
  };
  for (int round = 0; round < 8; ++round) {
    for (int d = 1; d <= 6; ++d) {
      call(d, AttemptResult::ok, 100 * kMillisecond);
    }
    if (round < 3) {
      continue;
    }
    call(6, AttemptResult::timeout, 900 * kMillisecond);  // on the connection used 10 ms ago
    std::vector<std::string> sent;
    while (sent.empty()) {
      sent = driver.advanceTo(t += 50 * kMillisecond).fireTimer();
    }
    driver.advanceTo(t += 100 * kMillisecond)
        .reportOutcome(sent[0], 1, AttemptResult::ok);  // its retry, on a new one
    t += 10 * kMillisecond;
  }
  call(5, AttemptResult::ok, 100 * kMillisecond);
  EXPECT_EQ(closed, 0u);
}

// i0e42b8: the same among many senders, which call each endpoint too rarely for the signs to coincide there:
// a call lost on one endpoint's reused connection and the next answered on another's new one is a sign as
// well.
TEST(ConnectionReuse, SignsOfDeadIdleConnectionsAreMatchedByDestination) {
  Settings settings = makeSettings();
  settings.sender_count = 200;
  settings.connection_idle_timeout = 60 * kSecond;
  settings.max_attempts = 3;
  SchedulerDriver driver(settings);
  std::vector<EndpointInfo> all;
  for (int d = 1; d <= 3; ++d) {
    for (const char* e : {"a", "b"}) {
      all.emplace_back(makeEndpoint(e + std::to_string(d), d));
    }
  }
  driver.updateEndpoints(all);
  int n = 0;
  auto call = [&](int d, AttemptResult result, Micros rtt) {
    std::string id = "m" + std::to_string(n++);
    driver.advanceTo(driver.now + 10 * kMillisecond).submit(id, "idempotent", d);
    driver.advanceTo(driver.now + rtt).fireTimer();
    driver.reportOutcome(id, 0, result, rtt);
    return id;
  };
  // Busy enough that connections are worth keeping.
  for (int i = 0; i < 200; ++i) {
    for (int d = 1; d <= 3; ++d) {
      call(d, AttemptResult::ok, 20 * kMillisecond);
    }
  }
  for (int d = 1; d <= 2; ++d) {
    driver.advanceTo(driver.now + 2 * kSecond);
    const std::string lost = call(d, AttemptResult::timeout, 900 * kMillisecond);
    const std::string first = driver.last_endpoint[lost];
    std::vector<std::string> sent;
    while (sent.empty()) {
      sent = driver.advanceTo(driver.now + 50 * kMillisecond).fireTimer();
    }
    EXPECT_NE(driver.last_endpoint[lost], first);
    driver.advanceTo(driver.now + 50 * kMillisecond)
        .reportOutcome(sent[0], 1, AttemptResult::ok, 50 * kMillisecond);
  }
  driver.advanceTo(driver.now + 3 * kSecond).submit("last", "idempotent", 3);
  EXPECT_EQ(driver.actionsOfType<CloseIdleConnections>().size(), 1u);
}

// quiet of gyor-nyugat-later: 66% of the attempts got no connection, since 67 senders kept an idle one each.
TEST(ConnectionReuse, OneOfManySendersClosesConnectionsWithoutExpectedReuse) {
  auto closed = [](int senders, Micros gap) {
    Settings settings = makeSettings();
    settings.sender_count = senders;
    SchedulerDriver driver(settings);
    driver.updateEndpoints({makeEndpoint("e1", 1)});
    std::size_t n = 0;
    for (int i = 0; i < 40; ++i) {
      const std::string id = "m" + std::to_string(i);
      driver.advanceTo(driver.now + gap).submit(id, "idempotent", 1);
      driver.advanceTo(driver.now + 50 * kMillisecond)
          .reportOutcome(id, 0, AttemptResult::ok, 50 * kMillisecond);
      if (i >= 20) {
        n += driver.actionsOfType<CloseIdleConnections>().size();
      }
    }
    return n;
  };
  EXPECT_EQ(closed(200, 30 * kSecond), 20u);  // it is called too rarely
  EXPECT_EQ(closed(200, kSecond), 0u);        // busy: it will be used
}

// overload of budapest-kozpont-later: endpoints accept few connections, and the idle ones of many senders
// filled their tables; to all others that looked like an outage. Where a connect failed, no idle connection
// is kept.
TEST(ConnectionReuse, OneOfManySendersKeepsNoConnectionWhereAConnectFailed) {
  auto kept_after_a_failure = [](int senders) {
    Settings settings = makeSettings();
    settings.sender_count = senders;
    settings.connection_idle_timeout = 15 * kSecond;
    settings.classes[0].deadline = 100 * kSecond;
    SchedulerDriver driver(settings);
    driver.updateEndpoints({makeEndpoint("e1", 1)});
    int n = 0;
    auto call = [&](AttemptResult result) {
      const std::string id = "m" + std::to_string(n++);
      driver.advanceTo(driver.now + 100 * kMillisecond).submit(id, "idempotent", 1);
      driver.advanceTo(driver.now + 50 * kMillisecond).reportOutcome(id, 0, result, 50 * kMillisecond);
      return driver.actionsOfType<CloseIdleConnections>().empty();
    };
    for (int i = 0; i < 200; ++i) {
      call(AttemptResult::ok);
    }
    EXPECT_TRUE(call(AttemptResult::ok));  // busy enough to be worth keeping
    call(AttemptResult::connect_failed);
    std::vector<std::string> sent;
    while (sent.empty()) {
      sent = driver.advanceTo(driver.now + 50 * kMillisecond).fireTimer();
    }
    driver.advanceTo(driver.now + 50 * kMillisecond)
        .reportOutcome(sent[0], 1, AttemptResult::ok, 50 * kMillisecond);
    return driver.actionsOfType<CloseIdleConnections>().empty();
  };
  EXPECT_FALSE(kept_after_a_failure(200));
  EXPECT_TRUE(kept_after_a_failure(2));  // so few can't fill a table: the endpoint was down
}

}  // namespace
