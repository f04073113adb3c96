// Attempts: idempotency, choice of endpoints, connections, retries.
#include <algorithm>
#include <set>

#include "support/scheduler_fixture.h"

using namespace delivery;
using Ids = std::vector<std::string>;

namespace {

TEST(Attempts, NonIdempotentMessageThatMayHaveRunIsNeitherSentAgainNorRejected) {
  SchedulerDriver driver;
  driver.updateEndpoints({makeEndpoint("e1", 1), makeEndpoint("e2", 1)});
  EXPECT_EQ(driver.submit("p", "non_idempotent", 1), Ids{"p"});
  EXPECT_TRUE(driver.advanceTo(kSecond).reportOutcome("p", 0, AttemptResult::reset).empty());
  EXPECT_EQ(driver.actionsOfType<Fail>().size(), 1u);
  EXPECT_TRUE(driver.actionsOfType<Reject>().empty());
}

TEST(Attempts, NonIdempotentMessageThatHasNotRunIsSentAgain) {
  SchedulerDriver driver;
  driver.updateEndpoints({makeEndpoint("e1", 1), makeEndpoint("e2", 1)});
  driver.submit("p", "non_idempotent", 1);
  Ids sent = driver.advanceTo(kSecond).reportOutcome("p", 0, AttemptResult::connect_failed);
  for (int i = 1; i < 40 && sent.empty(); ++i) {
    sent = driver.advanceTo(kSecond + 100 * kMillisecond * i).fireTimer();
  }
  EXPECT_EQ(sent, Ids{"p"});
}

TEST(Attempts, MessagesThatShareACallUseOneSlot) {
  Settings settings = makeSettings();
  settings.call_slots = 1;
  SchedulerDriver driver(settings);
  driver.updateEndpoints({makeEndpoint("e1", 1, "batch")});  // three messages per call
  std::vector<Event> all;
  all.reserve(4);
  for (int i = 0; i < 4; ++i) {
    all.emplace_back(driver.makeArrival("m" + std::to_string(i), "idempotent", 1));
  }
  EXPECT_EQ(driver.decide(all).size(), 3u);
  driver.advanceTo(50 * kMillisecond).reportOutcome("m0", 0, AttemptResult::ok);
  driver.reportOutcome("m1", 0, AttemptResult::ok);
  EXPECT_TRUE(driver.fireTimer().empty());  // the slot is taken until the last has its outcome
  EXPECT_EQ(driver.advanceTo(2 * kSecond).reportOutcome("m2", 0, AttemptResult::ok), Ids{"m3"});
}

// big-1 of debrecen-kelet-later: all senders chose the endpoint that the list names first, and its
// connections ran out while the others idled.
TEST(Attempts, SendersDoNotCrowdTheEndpointListedFirst) {
  std::map<std::string, int> chosen;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    SchedulerDriver driver(makeSettings(), seed);
    driver.updateEndpoints({makeEndpoint("e1", 1), makeEndpoint("e2", 1)});
    driver.submit("m", "idempotent", 1);
    ++chosen[driver.last_endpoint["m"]];
  }
  EXPECT_GT(chosen["e1"], 8);
  EXPECT_GT(chosen["e2"], 8);
}

// quiet of gyor-nyugat-later: 66% of the attempts got no connection, since 67 senders kept an idle one each.
TEST(Attempts, OneOfManySendersClosesConnectionsWithoutExpectedReuse) {
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

// rough-2 of budapest-kozpont-later: retries of many messages displaced first attempts that were still in
// time.
TEST(Attempts, OneOfManySendersRetriesALatencyObjectiveLaterAtLeast) {
  Settings settings = makeSettings();
  settings.sender_count = 200;
  SchedulerDriver driver(settings);
  driver.updateEndpoints({makeEndpoint("e1", 1), makeEndpoint("e2", 1)});
  driver.submit("m", "idempotent", 1);
  driver.advanceTo(100 * kMillisecond).reportOutcome("m", 0, AttemptResult::error);
  Ids sent;
  while (sent.empty() && driver.now < 19 * kSecond) {
    sent = driver.advanceTo(driver.now + 50 * kMillisecond).fireTimer();
  }
  EXPECT_EQ(sent, Ids{"m"});
  EXPECT_GE(driver.now, 100 * kMillisecond + settings.classes[0].latency_objective);
}

// overload of budapest-kozpont-later: endpoints accept few connections, and the idle ones of many senders
// filled their tables; to all others that looked like an outage. Where a connect failed, no idle connection
// is kept.
TEST(Attempts, OneOfManySendersKeepsNoConnectionWhereAConnectFailed) {
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

// fresh-big 2598684461 of budapest-kozpont-later: messages that failed in an outage were retried one latency
// objective later by all senders at once, which overloaded the destination as it recovered. Such retries are
// spread where there are many senders.
TEST(Attempts, RetriesToAnEjectedDestinationAreSpread) {
  Settings settings = makeSettings();
  settings.sender_count = 200;
  std::set<Micros> back;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SchedulerDriver driver(settings, seed);
    driver.updateEndpoints({makeEndpoint("e1", 1)});
    driver.submit("m", "idempotent", 1);
    driver.advanceTo(50 * kMillisecond)
        .reportOutcome("m", 0, AttemptResult::connect_failed, 50 * kMillisecond);
    bool retried = false;
    while (!retried && driver.now < 19 * kSecond) {
      retried = !driver.advanceTo(driver.now + 10 * kMillisecond).fireTimer().empty();
    }
    EXPECT_GE(driver.now, 2 * kSecond);  // a latency objective
    back.insert(driver.now / (500 * kMillisecond));
  }
  EXPECT_GE(back.size(), 8u);
}

}  // namespace
