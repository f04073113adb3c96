// The scheduler as a whole: choice of endpoints, shared calls, final answers, events for unknown messages and
// the end of the process.
#include <algorithm>

#include "support/scheduler_fixture.h"

using namespace delivery;
using Ids = std::vector<std::string>;

namespace {

TEST(DeliveryScheduler, MessagesThatShareACallUseOneSlot) {
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

TEST(DeliveryScheduler, EndpointWithTheFewestCallsInFlightIsChosen) {
  SchedulerDriver driver;
  driver.updateEndpoints({makeEndpoint("e1", 1), makeEndpoint("e2", 1)});
  driver.submit("m1", "idempotent", 1);
  driver.submit("m2", "idempotent", 1);
  EXPECT_NE(driver.last_endpoint["m1"], driver.last_endpoint["m2"]);
}

TEST(DeliveryScheduler, ExpiredMessageIsAnsweredAndNeverSent) {
  SchedulerDriver driver;
  driver.updateEndpoints({makeEndpoint("e1", 1)});
  driver.advanceTo(kSecond);
  for (const Micros left : {-5 * kSecond, Micros{0}, 3 * kMillisecond}) {
    Arrival a = driver.makeArrival("m" + std::to_string(left), "idempotent", 1);
    a.deadline = Deadline::after(driver.now, left);
    EXPECT_TRUE(driver.decide({a}).empty());
    EXPECT_EQ(driver.actionsOfType<Fail>().size() + driver.actionsOfType<Reject>().size(), 1u) << left;
  }
}

// A Retry-After that outlasts a message: its client is told at once, with the time to retry; others are
// queued.
TEST(DeliveryScheduler, MessageThatExpiresBeforeRetryAfterIsAnsweredAtOnce) {
  Settings settings = makeSettings();
  settings.call_slots = 1;
  settings.retry_after_supported = true;
  settings.max_retry_after = 30 * kSecond;
  SchedulerDriver driver(settings);
  driver.updateEndpoints({makeEndpoint("e1", 1), makeEndpoint("e2", 2)});
  Arrival brief = driver.makeArrival("brief", "idempotent", 1),
          lasting = driver.makeArrival("lasting", "idempotent", 1);
  Arrival elsewhere = driver.makeArrival("elsewhere", "idempotent", 2);
  brief.deadline = elsewhere.deadline = Deadline::after(driver.now, 5 * kSecond);
  lasting.deadline = Deadline::after(driver.now, 20 * kSecond);
  driver.submit("first", "idempotent", 1);
  EXPECT_TRUE(driver.decide({brief, lasting, elsewhere}).empty());
  driver.advanceTo(kSecond).reportOutcome("first", 0, AttemptResult::throttled, 100 * kMillisecond,
                                          8 * kSecond);
  ASSERT_EQ(driver.actionsOfType<Reject>().size(), 1u);
  EXPECT_EQ(driver.actionsOfType<Reject>()[0].id, "brief");
  EXPECT_GE(driver.actionsOfType<Reject>()[0].retry_after, 8 * kSecond);
  EXPECT_TRUE(driver.actionsOfType<Fail>().empty());
  brief.id = "behind";  // one that arrives meanwhile, too
  driver.decide({brief});
  ASSERT_EQ(driver.actionsOfType<Reject>().size(), 1u);
  EXPECT_EQ(driver.actionsOfType<Reject>()[0].id, "behind");
}

TEST(DeliveryScheduler, AbandonedMessageIsNeitherSentNorAnsweredAndItsLateOutcomeIsIgnored) {
  Settings settings = makeSettings();
  settings.call_slots = 1;
  SchedulerDriver driver(settings);
  driver.updateEndpoints({makeEndpoint("e1", 1)});
  driver.decide({driver.makeArrival("a", "idempotent", 1), driver.makeArrival("b", "idempotent", 1),
                 driver.makeArrival("c", "idempotent", 1)});
  driver.decide({Abandoned{"a"}, Abandoned{"b"}, Abandoned{"b"}, Abandoned{"never seen"}});
  EXPECT_TRUE(driver.actions.empty() || driver.actionsOfType<SendAttempt>().empty());
  AttemptOutcome late = driver.makeOutcome("a", 0, AttemptResult::timeout);
  late.finished = true;
  // After a stall all events arrive at once, some twice and some for messages that ended long ago.
  EXPECT_EQ(driver.advanceTo(3 * kSecond)
                .decide({late, late, Abandoned{"a"}, TimerFired{}, TimerFired{},
                         driver.makeOutcome("b", 0, AttemptResult::ok)}),
            Ids{"c"});
  EXPECT_EQ(driver.actionsOfType<Fail>().size() + driver.actionsOfType<Reject>().size(), 0u);
}

TEST(DeliveryScheduler, EventsForUnknownMessagesChangeNothing) {
  SchedulerDriver driver;
  driver.updateEndpoints({makeEndpoint("e1", 1)});
  EXPECT_TRUE(driver.decide({AttemptOutcome{}, Abandoned{"nobody"}}).empty());
  EXPECT_TRUE(driver.submit("odd", "no such class", 1).empty());
  EXPECT_EQ(driver.actionsOfType<Fail>().size(), 1u);  // an answer is due all the same
  EXPECT_EQ(driver.submit("m", "idempotent", 1), Ids{"m"});
}

TEST(DeliveryScheduler, BeforeAShutdownOnlyCallsWithATimelyOutcomeAreStarted) {
  SchedulerDriver driver;
  driver.advanceTo(100 * kSecond).updateEndpoints({makeEndpoint("e", 1)});
  driver.submit("warm", "idempotent", 1);
  driver.advanceTo(driver.now + 100 * kMillisecond).reportOutcome("warm", 0, AttemptResult::ok);
  driver.advanceTo(101 * kSecond).decide({ShutdownScheduled{101 * kSecond + 3 * kSecond}});
  EXPECT_EQ(1u, driver.submit("soon", "non_idempotent", 1).size());
  driver.advanceTo(driver.now + 100 * kMillisecond).reportOutcome("soon", 0, AttemptResult::ok);
  // Half of its time-out is left, many times what an answer takes: it is not left to the successor.
  driver.advanceTo(104 * kSecond - 900 * kMillisecond);
  EXPECT_EQ(1u, driver.submit("payment", "non_idempotent", 1).size());
  EXPECT_GT(driver.now + driver.last_timeout["payment"], 104 * kSecond);
  driver.advanceTo(driver.now + 100 * kMillisecond).reportOutcome("payment", 0, AttemptResult::ok);
  driver.advanceTo(104 * kSecond - 50 * kMillisecond);
  EXPECT_TRUE(driver.submit("late", "non_idempotent", 1).empty());
  EXPECT_TRUE(driver.actionsOfType<Fail>().empty());
  EXPECT_TRUE(driver.actionsOfType<Reject>().empty());  // it is left to the successor
}

}  // namespace
