// Outlier detection: when a hanging destination is an outlier, and the bulkhead that limits the slots of
// outliers.
#include "support/scheduler_fixture.h"

using namespace delivery;

namespace {

// Nine destinations hung with one call each. None of them counted as an outlier, and all slots were used up.
// Incident: rough-2 of budapest-kozpont.
TEST(OutlierDetector, OneOverdueCallMakesADestinationAnOutlier) {
  Settings settings = makeSettings();
  settings.call_slots = 4;
  SchedulerDriver driver(settings);
  std::vector<EndpointInfo> endpoints;
  for (int destination = 1; destination <= 6; ++destination) {
    endpoints.emplace_back(makeEndpoint("e" + std::to_string(destination), destination));
  }
  driver.updateEndpoints(endpoints);
  for (int destination = 1; destination <= 6; ++destination) {
    const std::string id = "earlier" + std::to_string(destination);
    driver.advanceTo(driver.now + 300 * kMillisecond).submit(id, "idempotent", destination);
    driver.advanceTo(driver.now + 100 * kMillisecond).reportOutcome(id, 0, AttemptResult::ok);
  }
  driver.advanceTo(driver.now + kSecond)
      .decide({driver.makeArrival("a", "idempotent", 1), driver.makeArrival("b", "idempotent", 2)});
  // Both calls are now overdue and fill the bulkhead of two.
  driver.advanceTo(driver.now + 600 * kMillisecond).fireTimer();
  EXPECT_TRUE(
      driver.decide({driver.makeArrival("c", "idempotent", 1), driver.makeArrival("d", "idempotent", 2)})
          .empty());
  EXPECT_EQ(
      driver.decide({driver.makeArrival("x", "idempotent", 3), driver.makeArrival("y", "idempotent", 4)})
          .size(),
      2u);
}

// Destinations that had stopped answering were sent calls within the bulkhead until the first calls timed
// out seconds later, and each call held a slot that long. Three overdue calls, with none answered since they
// were sent, count as an outage, in which trials are paced.
// Incident: ticket4109.
TEST(OutlierDetector, ThreeOverdueCallsEjectADestinationBeforeAnyTimesOut) {
  Settings settings = makeSettings();
  settings.sender_count = 2;
  settings.call_slots = 20;
  SchedulerDriver driver(settings);
  driver.updateEndpoints({makeEndpoint("e1", 1), makeEndpoint("e2", 2)});
  for (int i = 0; i < 20; ++i) {
    const std::string id = "earlier" + std::to_string(i);
    driver.advanceTo(driver.now + 300 * kMillisecond).submit(id, "idempotent", 1);
    driver.advanceTo(driver.now + 100 * kMillisecond).reportOutcome(id, 0, AttemptResult::ok);
  }
  driver.advanceTo(driver.now + kSecond)
      .decide({driver.makeArrival("a", "idempotent", 1), driver.makeArrival("b", "idempotent", 1),
               driver.makeArrival("c", "idempotent", 1)});
  driver.advanceTo(driver.now + kSecond);
  std::vector<Event> arrivals;
  arrivals.reserve(5);
  for (int i = 0; i < 5; ++i) {
    arrivals.emplace_back(driver.makeArrival("m" + std::to_string(i), "idempotent", 1));
  }
  // One trial at most, although the bulkhead has capacity for seven more calls.
  EXPECT_LE(driver.decide(arrivals).size(), 1u);
  std::size_t sent = 0;
  for (int i = 0; i < 10; ++i) {
    sent += driver.advanceTo(driver.now + 100 * kMillisecond).fireTimer().size();
  }
  EXPECT_LE(sent, 2u);
}

// Several destinations hung at once, and calls that were in flight when these destinations became outliers
// held all slots. The overdue calls beyond the bulkhead are cancelled, idempotent ones first, so that healthy
// destinations get slots.
// Incident: ie55d22, rough-2 of budapest-kozpont.
TEST(OutlierBulkhead, OverdueCallsBeyondTheBulkheadAreCancelledWhenNoSlotIsLeft) {
  Settings settings = makeSettings();
  settings.call_slots = 4;
  settings.may_cancel = true;
  SchedulerDriver driver(settings);
  driver.updateEndpoints({makeEndpoint("e1", 1), makeEndpoint("e2", 2), makeEndpoint("e3", 3)});
  for (int destination = 1; destination <= 3; ++destination) {
    for (int i = 0; i < 10; ++i) {
      const std::string id = "earlier" + std::to_string(destination * 100 + i);
      driver.advanceTo(driver.now + 300 * kMillisecond).submit(id, "idempotent", destination);
      driver.advanceTo(driver.now + 100 * kMillisecond).reportOutcome(id, 0, AttemptResult::ok);
    }
  }
  driver.advanceTo(driver.now + kSecond)
      .decide({driver.makeArrival("payment", "non_idempotent", 1), driver.makeArrival("a", "idempotent", 1),
               driver.makeArrival("b", "idempotent", 2), driver.makeArrival("c", "idempotent", 2)});
  driver.advanceTo(driver.now + 700 * kMillisecond).submit("healthy", "idempotent", 3);
  const auto cancelled_attempts = driver.actionsOfType<CancelAttempt>();
  ASSERT_EQ(cancelled_attempts.size(), 2u);
  EXPECT_NE(cancelled_attempts[0].id, "payment");
  EXPECT_NE(cancelled_attempts[1].id, "payment");
  AttemptOutcome outcome = driver.makeOutcome(cancelled_attempts[0].id, 0, AttemptResult::cancelled);
  EXPECT_EQ(driver.advanceTo(driver.now + 5 * kMillisecond).decide({outcome}),
            std::vector<std::string>{"healthy"});
}

}  // namespace
