// The scheduler as a whole: choice of endpoints, shared calls, final answers, events for unknown messages and
// the end of the process.
#include "support/scheduler_fixture.h"

using namespace delivery;
using Ids = std::vector<std::string>;

namespace {

TEST(DeliveryScheduler, MessagesThatShareACallUseOneSlot) {
  Settings settings = makeSettings();
  settings.call_slots = 1;
  SchedulerDriver driver(settings);
  driver.updateEndpoints({makeEndpoint("e1", 1, "batch")});  // up to three messages per call
  std::vector<Event> arrivals;
  arrivals.reserve(4);
  for (int i = 0; i < 4; ++i) {
    arrivals.emplace_back(driver.makeArrival("m" + std::to_string(i), "idempotent", 1));
  }
  EXPECT_EQ(driver.decide(arrivals).size(), 3u);
  driver.advanceTo(50 * kMillisecond).reportOutcome("m0", 0, AttemptResult::ok);
  driver.reportOutcome("m1", 0, AttemptResult::ok);
  // The slot is in use until the last message of the call has its outcome.
  EXPECT_TRUE(driver.fireTimer().empty());
  EXPECT_EQ(driver.advanceTo(2 * kSecond).reportOutcome("m2", 0, AttemptResult::ok), Ids{"m3"});
}

TEST(DeliveryScheduler, EndpointWithTheFewestCallsInFlightIsChosen) {
  SchedulerDriver driver;
  driver.updateEndpoints({makeEndpoint("e1", 1), makeEndpoint("e2", 1)});
  driver.submit("m1", "idempotent", 1);
  driver.submit("m2", "idempotent", 1);
  EXPECT_NE(driver.last_endpoint["m1"], driver.last_endpoint["m2"]);
}

TEST(DeliveryScheduler, ExpiredMessageIsAnsweredAndNotSent) {
  SchedulerDriver driver;
  driver.updateEndpoints({makeEndpoint("e1", 1)});
  driver.advanceTo(kSecond);
  for (const Micros time_left : {-5 * kSecond, Micros{0}, 3 * kMillisecond}) {
    Arrival arrival = driver.makeArrival("m" + std::to_string(time_left), "idempotent", 1);
    arrival.deadline = Deadline::after(driver.now, time_left);
    EXPECT_TRUE(driver.decide({arrival}).empty());
    EXPECT_EQ(driver.actionsOfType<Fail>().size() + driver.actionsOfType<Reject>().size(), 1u) << time_left;
  }
}

// Guards against charges that are handed back although nothing was sent (review/6): calls that could not be
// recorded used up all attempts of a message.
TEST(DeliveryScheduler, AttemptsThatNeverStartedDoNotCount) {
  Settings settings = makeSettings();
  for (MessageClass& message_class : settings.classes) {
    message_class.deadline = 3600 * kSecond;
  }
  SchedulerDriver driver(settings);
  driver.updateEndpoints({makeEndpoint("e1", 1)});
  ASSERT_EQ(driver.submit("m", "non_idempotent", 1), Ids{"m"});
  const int unstarted_attempts = 2 * settings.max_attempts;
  const int last_attempt = unstarted_attempts + settings.max_attempts - 1;
  for (int attempt = 0; attempt < last_attempt; ++attempt) {
    AttemptOutcome outcome = driver.makeOutcome("m", attempt, AttemptResult::not_sent);
    outcome.never_started = attempt < unstarted_attempts;
    Ids sent = driver.decide({outcome});
    while (sent.empty() && driver.actionsOfType<Reject>().empty() &&
           driver.now < settings.classes[0].deadline) {
      sent = driver.advanceTo(driver.now + kSecond).fireTimer();
    }
    ASSERT_EQ(sent, Ids{"m"}) << attempt;
  }
  driver.reportOutcome("m", last_attempt, AttemptResult::not_sent);
  EXPECT_EQ(driver.actionsOfType<Reject>().size(), 1u);
}

// No attempt is decided on that could not be recorded. Messages still end in time.
TEST(DeliveryScheduler, NothingIsSentWhileTheJournalCannotBeWritten) {
  SchedulerDriver driver;
  driver.updateEndpoints({makeEndpoint("e1", 1)});
  driver.decide({JournalAvailability{false}});
  EXPECT_TRUE(driver.submit("short", "non_idempotent", 1).empty());
  EXPECT_TRUE(driver.advanceTo(10 * kSecond).submit("long", "non_idempotent", 1).empty());
  EXPECT_TRUE(driver.advanceTo(20 * kSecond).fireTimer().empty());
  ASSERT_EQ(driver.actionsOfType<Fail>().size(), 1u);
  EXPECT_EQ(driver.actionsOfType<Fail>()[0].id, "short");
  EXPECT_EQ(driver.decide({JournalAvailability{true}}), Ids{"long"});
}

// A message that expires before the Retry-After of its destination has passed is rejected at once, so that
// its client learns when to retry. All other messages are queued.
TEST(DeliveryScheduler, MessageThatExpiresBeforeRetryAfterIsRejectedAtOnce) {
  Settings settings = makeSettings();
  settings.call_slots = 1;
  settings.retry_after_supported = true;
  settings.max_retry_after = 30 * kSecond;
  SchedulerDriver driver(settings);
  driver.updateEndpoints({makeEndpoint("e1", 1), makeEndpoint("e2", 2)});
  Arrival short_lived = driver.makeArrival("short_lived", "idempotent", 1);
  Arrival long_lived = driver.makeArrival("long_lived", "idempotent", 1);
  Arrival other_destination = driver.makeArrival("other_destination", "idempotent", 2);
  short_lived.deadline = other_destination.deadline = Deadline::after(driver.now, 5 * kSecond);
  long_lived.deadline = Deadline::after(driver.now, 20 * kSecond);
  driver.submit("first", "idempotent", 1);
  EXPECT_TRUE(driver.decide({short_lived, long_lived, other_destination}).empty());
  driver.advanceTo(kSecond).reportOutcome("first", 0, AttemptResult::throttled, 100 * kMillisecond,
                                          8 * kSecond);
  ASSERT_EQ(driver.actionsOfType<Reject>().size(), 1u);
  EXPECT_EQ(driver.actionsOfType<Reject>()[0].id, "short_lived");
  EXPECT_GE(driver.actionsOfType<Reject>()[0].retry_after, 8 * kSecond);
  EXPECT_TRUE(driver.actionsOfType<Fail>().empty());
  // The same holds for a message that arrives during the pause.
  short_lived.id = "later";
  driver.decide({short_lived});
  ASSERT_EQ(driver.actionsOfType<Reject>().size(), 1u);
  EXPECT_EQ(driver.actionsOfType<Reject>()[0].id, "later");
}

TEST(DeliveryScheduler, AbandonedMessageIsNeitherSentNorAnsweredAndItsLateOutcomeIsIgnored) {
  Settings settings = makeSettings();
  settings.call_slots = 1;
  SchedulerDriver driver(settings);
  driver.updateEndpoints({makeEndpoint("e1", 1)});
  driver.decide({driver.makeArrival("a", "idempotent", 1), driver.makeArrival("b", "idempotent", 1),
                 driver.makeArrival("c", "idempotent", 1)});
  driver.decide({Abandoned{"a"}, Abandoned{"b"}, Abandoned{"b"}, Abandoned{"unknown"}});
  EXPECT_TRUE(driver.actions.empty() || driver.actionsOfType<SendAttempt>().empty());
  AttemptOutcome late_outcome = driver.makeOutcome("a", 0, AttemptResult::timeout);
  late_outcome.finished = true;
  // After a stall all events arrive at once, some twice and some for messages that ended long ago.
  EXPECT_EQ(driver.advanceTo(3 * kSecond)
                .decide({late_outcome, late_outcome, Abandoned{"a"}, TimerFired{}, TimerFired{},
                         driver.makeOutcome("b", 0, AttemptResult::ok)}),
            Ids{"c"});
  EXPECT_EQ(driver.actionsOfType<Fail>().size() + driver.actionsOfType<Reject>().size(), 0u);
}

TEST(DeliveryScheduler, EventsForUnknownMessagesChangeNothing) {
  SchedulerDriver driver;
  driver.updateEndpoints({makeEndpoint("e1", 1)});
  EXPECT_TRUE(driver.decide({AttemptOutcome{}, Abandoned{"unknown"}}).empty());
  EXPECT_TRUE(driver.submit("unknown_class", "no such class", 1).empty());
  EXPECT_EQ(driver.actionsOfType<Fail>().size(), 1u);  // the client gets an answer all the same
  EXPECT_EQ(driver.submit("m", "idempotent", 1), Ids{"m"});
}

TEST(DeliveryScheduler, BeforeAShutdownOnlyCallsWhoseOutcomeArrivesInTimeAreStarted) {
  SchedulerDriver driver;
  driver.advanceTo(100 * kSecond).updateEndpoints({makeEndpoint("e", 1)});
  driver.submit("earlier", "idempotent", 1);
  driver.advanceTo(driver.now + 100 * kMillisecond).reportOutcome("earlier", 0, AttemptResult::ok);
  driver.advanceTo(101 * kSecond).decide({ShutdownScheduled{101 * kSecond + 3 * kSecond}});
  EXPECT_EQ(1u, driver.submit("in_time", "non_idempotent", 1).size());
  driver.advanceTo(driver.now + 100 * kMillisecond).reportOutcome("in_time", 0, AttemptResult::ok);
  // The time left is half of the time-out and many times the baseline latency, so that the message is sent
  // rather than left to the successor.
  driver.advanceTo(104 * kSecond - 900 * kMillisecond);
  EXPECT_EQ(1u, driver.submit("payment", "non_idempotent", 1).size());
  EXPECT_GT(driver.now + driver.last_timeout["payment"], 104 * kSecond);
  driver.advanceTo(driver.now + 100 * kMillisecond).reportOutcome("payment", 0, AttemptResult::ok);
  driver.advanceTo(104 * kSecond - 50 * kMillisecond);
  EXPECT_TRUE(driver.submit("late", "non_idempotent", 1).empty());
  EXPECT_TRUE(driver.actionsOfType<Fail>().empty());
  EXPECT_TRUE(driver.actionsOfType<Reject>().empty());  // the message is left to the successor
}

}  // namespace
