// Admission control: which messages are rejected when a sender holds more than it can deliver in time.
#include "support/scheduler_fixture.h"

using namespace delivery;

namespace {

TEST(AdmissionControl, NearTheMessageLimitTheLeastValuableMessageIsRejected) {
  Settings settings = makeSettings();
  settings.call_slots = 1;
  settings.max_messages = 10;
  settings.classes[1].priority_weight = 4;
  SchedulerDriver driver(settings);
  driver.updateEndpoints({makeEndpoint("e1", 1)});
  for (int i = 0; i < 4; ++i) {
    driver.submit("light" + std::to_string(i), "idempotent", 1);
  }
  std::vector<std::string> rejected;
  for (int i = 0; i < 8; ++i) {
    driver.submit("heavy" + std::to_string(i), "deduplicated", 1);
    for (const auto& reject : driver.actionsOfType<Reject>()) {
      rejected.push_back(reject.id);
    }
  }
  ASSERT_GE(rejected.size(), 2u);
  for (std::size_t i = 0; i < 2; ++i) {
    EXPECT_EQ(rejected[i].substr(0, 5), "light");
  }
}

// Busy senders queued four seconds of messages for their few slots, so that each message was delivered late.
// With many senders, a sender with all slots in use rejects messages that would be late, until its queue is
// short. With two senders it queues them.
// Incident: big-2 of debrecen-kelet-later.
TEST(AdmissionControl, WithManySendersAndAllSlotsUsedLateMessagesAreRejected) {
  auto count_rejected = [](int sender_count, bool has_backlog) {
    Settings settings = makeSettings();
    settings.sender_count = sender_count;
    settings.late_decay = LateDecay::halving;
    settings.call_slots = 4;
    SchedulerDriver driver(settings);
    std::vector<EndpointInfo> endpoints;
    endpoints.reserve(50);
    for (int destination = 0; destination < 50; ++destination) {
      endpoints.emplace_back(makeEndpoint("e" + std::to_string(destination), destination));
    }
    driver.updateEndpoints(endpoints);
    for (int i = 0; i < 8; ++i) {
      const std::string id = "earlier" + std::to_string(i);
      driver.advanceTo(driver.now + kSecond).submit(id, "idempotent", i);
      driver.advanceTo(driver.now + 500 * kMillisecond)
          .reportOutcome(id, 0, AttemptResult::ok, 500 * kMillisecond);
    }
    std::vector<Event> arrivals;
    for (int i = 0; i < 40; ++i) {
      if (has_backlog || i < 4) {
        arrivals.emplace_back(driver.makeArrival("m" + std::to_string(i), "idempotent", i));
      }
    }
    driver.decide(arrivals);
    return driver.actionsOfType<Reject>().size();
  };
  // 36 queued messages would take 4.5 s. The latency objective is 2 s.
  EXPECT_GE(count_rejected(200, true), 20u);
  EXPECT_LE(count_rejected(200, true), 34u);
  EXPECT_EQ(count_rejected(200, false), 0u);
  EXPECT_EQ(count_rejected(2, true), 0u);
}

// At the message limit a new message is rejected before an accepted one of the same priority weight, however
// much less value the accepted one would lose. A new message of a far higher weight displaces an accepted
// one.
TEST(AdmissionControl, NewMessagesAreRejectedBeforeAcceptedOnes) {
  Settings settings = makeSettings();
  settings.call_slots = 1;
  settings.max_messages = 10;
  settings.classes[1].priority_weight = 4;
  SchedulerDriver driver(settings);
  driver.updateEndpoints({makeEndpoint("e1", 1)});
  for (int i = 0; i < 9; ++i) {
    driver.advanceTo(driver.now + 400 * kMillisecond).submit("older" + std::to_string(i), "idempotent", 1);
  }
  // One of the messages is in flight, and all others wait for it.
  ASSERT_EQ(driver.actionsOfType<Reject>().size(), 0u);
  for (int i = 0; i < 4; ++i) {
    const std::string id = "new" + std::to_string(i);
    driver.submit(id, "idempotent", 1);
    ASSERT_EQ(driver.actionsOfType<Reject>().size(), 1u);
    EXPECT_EQ(driver.actionsOfType<Reject>()[0].id, id);
  }
  driver.submit("heavy", "deduplicated", 1);
  ASSERT_EQ(driver.actionsOfType<Reject>().size(), 1u);
  EXPECT_EQ(driver.actionsOfType<Reject>()[0].id.substr(0, 5), "older");
}

// With many senders, a sender with all slots in use rejects new messages that would be late, but keeps
// accepted messages until most of their lifetime has passed.
TEST(AdmissionControl, WithManySendersAndAllSlotsUsedAcceptedMessagesAreKept) {
  Settings settings = makeSettings();
  settings.sender_count = 200;
  settings.late_decay = LateDecay::halving;
  settings.call_slots = 4;
  SchedulerDriver driver(settings);
  std::vector<EndpointInfo> endpoints;
  endpoints.reserve(50);
  for (int destination = 0; destination < 50; ++destination) {
    endpoints.emplace_back(makeEndpoint("e" + std::to_string(destination), destination));
  }
  driver.updateEndpoints(endpoints);
  for (int i = 0; i < 8; ++i) {
    const std::string id = "earlier" + std::to_string(i);
    driver.advanceTo(driver.now + kSecond).submit(id, "idempotent", i);
    driver.advanceTo(driver.now + 500 * kMillisecond)
        .reportOutcome(id, 0, AttemptResult::ok, 500 * kMillisecond);
  }
  for (int i = 0; i < 4; ++i) {
    driver.submit("in_flight" + std::to_string(i), "idempotent", i);
  }
  for (int i = 4; i < 12; ++i) {
    driver.submit("older" + std::to_string(i), "idempotent", i);
  }
  ASSERT_EQ(driver.actionsOfType<Reject>().size(), 0u);  // so far the wait for a slot is short
  const Micros lifetime = driver.settings.classes[0].deadline;
  const Micros full_since = driver.now;
  std::vector<std::string> rejected;
  const auto collect_rejected = [&] {
    for (const Reject& reject : driver.actionsOfType<Reject>()) {
      rejected.push_back(reject.id);
    }
  };
  std::vector<Event> new_arrivals;
  new_arrivals.reserve(32);
  for (int i = 12; i < 44; ++i) {
    new_arrivals.emplace_back(driver.makeArrival("new" + std::to_string(i), "idempotent", i));
  }
  driver.decide(new_arrivals);
  collect_rejected();
  EXPECT_GE(rejected.size(), 16u);
  while (driver.now < full_since + lifetime / 2) {
    driver.advanceTo(driver.now + 100 * kMillisecond).fireTimer();
    collect_rejected();
  }
  for (const std::string& id : rejected) {
    EXPECT_NE(id.substr(0, 5), "older") << id;
  }
}

TEST(AdmissionControl, ArrivalsBeyondTheMessageLimitAreRejected) {
  Settings settings = makeSettings();
  settings.max_messages = 3;
  SchedulerDriver driver(settings);
  driver.advanceTo(100 * kSecond).updateEndpoints({});
  int rejected = 0;
  for (int i = 0; i < 6; ++i) {
    driver.submit("m" + std::to_string(i), "idempotent", 1);
    rejected += static_cast<int>(driver.actionsOfType<Reject>().size());
  }
  EXPECT_GE(rejected, 3);
}

}  // namespace
