// Outlier detection: when a hanging destination is an outlier, and the bulkhead that limits the slots of
// outliers.
#include <algorithm>

#include "support/scheduler_fixture.h"

using namespace delivery;

namespace {

// rough-2 of budapest-kozpont: nine destinations hung with one call each; none counted as an outlier, and all
// slots were used up.
TEST(OutlierDetector, OneOverdueCallMakesADestinationAnOutlier) {
  Settings settings = makeSettings();
  settings.call_slots = 4;
  SchedulerDriver driver(settings);
  std::vector<EndpointInfo> all;
  for (int d = 1; d <= 6; ++d) {
    all.emplace_back(makeEndpoint("e" + std::to_string(d), d));
  }
  driver.updateEndpoints(all);
  for (int d = 1; d <= 6; ++d) {
    const std::string id = "w" + std::to_string(d);
    driver.advanceTo(driver.now + 300 * kMillisecond).submit(id, "idempotent", d);
    driver.advanceTo(driver.now + 100 * kMillisecond).reportOutcome(id, 0, AttemptResult::ok);
  }
  driver.advanceTo(driver.now + kSecond)
      .decide({driver.makeArrival("a", "idempotent", 1), driver.makeArrival("b", "idempotent", 2)});
  driver.advanceTo(driver.now + 600 * kMillisecond)
      .fireTimer();  // both overdue now: the bulkhead of two is full
  EXPECT_TRUE(
      driver.decide({driver.makeArrival("c", "idempotent", 1), driver.makeArrival("d", "idempotent", 2)})
          .empty());
  EXPECT_EQ(
      driver.decide({driver.makeArrival("x", "idempotent", 3), driver.makeArrival("y", "idempotent", 4)})
          .size(),
      2u);
}

// ticket4109: destinations that stopped answering were sent calls within the bulkhead until the first ones
// timed out, seconds later, and each held a slot as long. Three overdue calls with none answered since make
// an outage, whose trials are paced.
TEST(OutlierDetector, SeveralOverdueCallsEjectBeforeAnyTimeOut) {
  Settings settings = makeSettings();
  settings.sender_count = 2;
  settings.call_slots = 20;
  SchedulerDriver driver(settings);
  driver.updateEndpoints({makeEndpoint("e1", 1), makeEndpoint("e2", 2)});
  for (int i = 0; i < 20; ++i) {
    const std::string id = "w" + std::to_string(i);
    driver.advanceTo(driver.now + 300 * kMillisecond).submit(id, "idempotent", 1);
    driver.advanceTo(driver.now + 100 * kMillisecond).reportOutcome(id, 0, AttemptResult::ok);
  }
  driver.advanceTo(driver.now + kSecond)
      .decide({driver.makeArrival("a", "idempotent", 1), driver.makeArrival("b", "idempotent", 1),
               driver.makeArrival("c", "idempotent", 1)});
  driver.advanceTo(driver.now + kSecond);
  std::vector<Event> more;
  more.reserve(5);
  for (int i = 0; i < 5; ++i) {
    more.emplace_back(driver.makeArrival("m" + std::to_string(i), "idempotent", 1));
  }
  EXPECT_LE(driver.decide(more).size(), 1u);  // a trial, where the bulkhead has capacity for seven
  std::size_t n = 0;
  for (int i = 0; i < 10; ++i) {
    n += driver.advanceTo(driver.now + 100 * kMillisecond).fireTimer().size();
  }
  EXPECT_LE(n, 2u);
}

// rough-2 of budapest-kozpont, ie55d22: several destinations hang at once; calls that were in flight when
// they became outliers held all slots. Those beyond the bulkhead are cancelled, idempotent ones first, and
// the healthy destinations get slots.
TEST(OutlierBulkhead, OverdueCallsBeyondTheBulkheadAreCancelledWhenNoSlotIsLeft) {
  Settings settings = makeSettings();
  settings.call_slots = 4;
  settings.may_cancel = true;
  SchedulerDriver driver(settings);
  driver.updateEndpoints({makeEndpoint("e1", 1), makeEndpoint("e2", 2), makeEndpoint("e3", 3)});
  for (int d = 1; d <= 3; ++d) {
    for (int i = 0; i < 10; ++i) {
      const std::string id = "w" + std::to_string(d * 100 + i);
      driver.advanceTo(driver.now + 300 * kMillisecond).submit(id, "idempotent", d);
      driver.advanceTo(driver.now + 100 * kMillisecond).reportOutcome(id, 0, AttemptResult::ok);
    }
  }
  driver.advanceTo(driver.now + kSecond)
      .decide({driver.makeArrival("p", "non_idempotent", 1), driver.makeArrival("a", "idempotent", 1),
               driver.makeArrival("b", "idempotent", 2), driver.makeArrival("c", "idempotent", 2)});
  driver.advanceTo(driver.now + 700 * kMillisecond).submit("healthy", "idempotent", 3);
  const auto off = driver.actionsOfType<CancelAttempt>();
  ASSERT_EQ(off.size(), 2u);
  EXPECT_NE(off[0].id, "p");
  EXPECT_NE(off[1].id, "p");
  AttemptOutcome o = driver.makeOutcome(off[0].id, 0, AttemptResult::cancelled);
  EXPECT_EQ(driver.advanceTo(driver.now + 5 * kMillisecond).decide({o}), std::vector<std::string>{"healthy"});
}

}  // namespace
