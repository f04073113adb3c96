// The fair queue: order of calls by RePAIR's local and global tags while no call fails. The expected orders
// were computed by hand from the paper.
#include <algorithm>

#include "support/scheduler_fixture.h"

using namespace delivery;
using Ids = std::vector<std::string>;

namespace {

// Table 3 of the RePAIR paper: M1 = 20 and M2 = 40 calls a second, w1:w2 = 3:1, and one server of 100 calls
// a second. In each 50 ms, three calls are started for c1 and two for c2.
TEST(FairQueue, OrderOfCallsMatchesTable3OfThePaper) {
  Settings settings = makeSettings();
  settings.call_slots = 1;
  settings.weight_kind = WeightKind::nominal;
  settings.classes = {makeClass("c1", Idempotency::idempotent, 50 * kMillisecond),
                      makeClass("c2", Idempotency::idempotent, 25 * kMillisecond)};
  SchedulerDriver driver(settings);
  driver.updateEndpoints({makeEndpoint("e1", 1, "shared", 3000), makeEndpoint("e2", 2, "shared", 1000)});
  // The weights have the ratio 3:1 and are far above the server's rate, so that the rate limiter delays
  // nothing.
  std::vector<Event> arrivals;
  for (int i = 0; i < 30; ++i) {
    arrivals.emplace_back(driver.makeArrival("a" + std::to_string(i), "c1", 1));
    arrivals.emplace_back(driver.makeArrival("b" + std::to_string(i), "c2", 2));
  }
  Ids order = driver.decide(arrivals);
  for (int step = 1; order.size() < 25 && step < 100; ++step) {
    const std::string in_flight = order.back();
    for (const auto& id : driver.advanceTo(10 * kMillisecond * step)
                              .reportOutcome(in_flight, 0, AttemptResult::ok, 10 * kMillisecond)) {
      order.push_back(id);
    }
  }
  ASSERT_GE(order.size(), 25u);
  std::string classes;  // of the calls, in order; a: c1, b: c2
  for (int i = 0; i < 25; ++i) {
    classes += order[static_cast<std::size_t>(i)].substr(0, 1);
  }
  EXPECT_EQ(classes.substr(0, 5), "ababa");
  for (std::size_t start = 0; start < 25; start += 5) {
    const std::string window = classes.substr(start, 5);
    EXPECT_EQ(std::count(window.begin(), window.end(), 'a'), 3) << classes;
  }
}

TEST(FairQueue, DueLocalTagIsServedBeforeASmallerGlobalTag) {
  Settings settings = makeSettings();
  settings.call_slots = 1;
  settings.weight_kind = WeightKind::nominal;
  SchedulerDriver driver(settings);
  driver.updateEndpoints({makeEndpoint("e1", 1, "shared", 1000), makeEndpoint("e2", 2, "shared", 1)});
  EXPECT_EQ(
      driver.decide({driver.makeArrival("x", "idempotent", 1), driver.makeArrival("a1", "idempotent", 1),
                     driver.makeArrival("b1", "idempotent", 2)}),
      Ids{"x"});
  // a1 has a local tag of 2 s and a global tag of about 1 ms. b1 has a due local tag and a later global tag.
  EXPECT_EQ(driver.advanceTo(100 * kMillisecond).reportOutcome("x", 0, AttemptResult::ok), Ids{"b1"});
  EXPECT_EQ(driver.advanceTo(200 * kMillisecond).reportOutcome("b1", 0, AttemptResult::ok), Ids{"a1"});
}

TEST(FairQueue, IdleCreditIsAtMostSigmaCalls) {
  Settings settings = makeSettings();
  settings.call_slots = 1;
  settings.weight_kind = WeightKind::nominal;
  SchedulerDriver driver(settings);
  driver.updateEndpoints({makeEndpoint("e1", 1, "shared", 100), makeEndpoint("e2", 2, "shared", 100)});
  driver.submit("old", "idempotent", 2);
  driver.advanceTo(100 * kMillisecond).reportOutcome("old", 0, AttemptResult::ok);
  // Destination 1 has a backlog. Destination 2 becomes active again with four messages: its idle credit of
  // two calls puts its second and third message before those of destination 1, but not its fourth.
  driver.advanceTo(5 * kSecond);
  std::vector<Event> arrivals;
  arrivals.reserve(5);
  for (int i = 0; i < 5; ++i) {
    arrivals.emplace_back(driver.makeArrival("a" + std::to_string(i), "idempotent", 1));
  }
  for (int i = 0; i < 4; ++i) {
    arrivals.emplace_back(driver.makeArrival("b" + std::to_string(i), "idempotent", 2));
  }
  Ids order = driver.decide(arrivals);
  for (int i = 0; order.size() < 6 && i < 20; ++i) {
    for (const auto& id : driver.advanceTo(5 * kSecond + 20 * kMillisecond * (i + 1))
                              .reportOutcome(order.back(), 0, AttemptResult::ok, 20 * kMillisecond)) {
      order.push_back(id);
    }
  }
  std::string destinations;  // of the calls, in order; a: 1, b: 2
  for (const auto& id : order) {
    destinations += id[0];
  }
  EXPECT_EQ(destinations.substr(0, 2), "ab");  // due local tags
  EXPECT_EQ(destinations.substr(2, 2), "bb");  // idle credit
  EXPECT_NE(destinations.substr(4, 2), "bb");
}

// Tag adjustment: when the global tags of a backlog have run ahead of real time, an arrival moves them back
// so that the smallest one equals the current time. Otherwise a newly active destination would starve the
// backlogged one until its own tags had caught up.
TEST(FairQueue, ArrivalShiftsGlobalTagsSoThatTheSmallestIsNow) {
  Settings settings = makeSettings();
  settings.call_slots = 1;
  SchedulerDriver driver(settings);
  driver.updateEndpoints({makeEndpoint("e1", 1), makeEndpoint("e2", 2)});
  std::vector<Event> arrivals;
  arrivals.reserve(30);
  for (int i = 0; i < 30; ++i) {
    arrivals.emplace_back(driver.makeArrival("a" + std::to_string(i), "idempotent", 1));
  }
  Ids in_flight = driver.decide(arrivals);
  for (int i = 1; i <= 10; ++i) {
    in_flight = driver.advanceTo(10 * kMillisecond * i)
                    .reportOutcome(in_flight.at(0), 0, AttemptResult::ok, 10 * kMillisecond);
  }
  arrivals.clear();
  for (int i = 0; i < 5; ++i) {
    arrivals.emplace_back(driver.makeArrival("b" + std::to_string(i), "idempotent", 2));
  }
  EXPECT_TRUE(driver.decide(arrivals).empty());
  std::string destinations;  // of the calls, in order; a: 1, b: 2
  for (int i = 11; i <= 16; ++i) {
    in_flight = driver.advanceTo(10 * kMillisecond * i)
                    .reportOutcome(in_flight.at(0), 0, AttemptResult::ok, 10 * kMillisecond);
    destinations += in_flight.at(0)[0];
  }
  EXPECT_GE(std::count(destinations.begin(), destinations.end(), 'a'), 2) << destinations;
  EXPECT_GE(std::count(destinations.begin(), destinations.end(), 'b'), 3) << destinations;
}

}  // namespace
