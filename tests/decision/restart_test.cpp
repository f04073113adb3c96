// What a process leaves to its successor: resumed messages and health records; and the end of a process.
#include <algorithm>
#include <set>

#include "support/scheduler_fixture.h"

namespace delivery {
namespace {

RecoveredMessage recovered(const SchedulerDriver& driver, const std::string& id,
                           const std::string& class_name, std::vector<RecoveredAttempt> attempts) {
  RecoveredMessage recovered;
  recovered.message.id = id;
  recovered.message.message_class = class_name;
  recovered.message.destination = 1;
  recovered.message.deadline = Deadline::after(driver.now, 15 * kSecond);
  recovered.attempts = std::move(attempts);
  return recovered;
}

// A retry may have to connect first (1 s at most here), and the deduplication window of 5 s has ended when it
// arrives.
TEST(Restart, NoRepeatThatMayArriveAfterTheDeduplicationWindow) {
  SchedulerDriver driver;
  driver.at(100 * kSecond).list({makeEndpoint("e", 1)});
  const RecoveredAttempt in_time{"e", 100 * kSecond - 3900 * kMillisecond, true},
      too_near{"e", 100 * kSecond - 4100 * kMillisecond, true};
  const auto sent = driver.run(
      {recovered(driver, "in_time", "keyed", {in_time}), recovered(driver, "near", "keyed", {too_near})});
  EXPECT_EQ(std::vector<std::string>{"in_time"}, std::vector<std::string>(sent.begin(), sent.end()));
}

TEST(Restart, RecoveredMessagesAreRepeatedOnlyAsTheirClassAllows) {
  SchedulerDriver driver;
  driver.at(100 * kSecond).list({makeEndpoint("e", 1)});
  const RecoveredAttempt old{"e", 90 * kSecond, true}, young{"e", 99 * kSecond, true},
      none{"e", 99 * kSecond, false};
  const RecoveredAttempt unlisted{"elsewhere", 99 * kSecond, true};
  const auto sent = driver.run(
      {recovered(driver, "safe", "safe", {old}), recovered(driver, "keyed", "keyed", {young}),
       recovered(driver, "forgotten", "keyed", {old}), recovered(driver, "unsafe", "unsafe", {young}),
       recovered(driver, "untried", "unsafe", {}), recovered(driver, "refused", "unsafe", {none}),
       recovered(driver, "away", "unsafe", {unlisted})});
  EXPECT_EQ((std::set<std::string>{"safe", "keyed", "untried", "refused"}),
            std::set<std::string>(sent.begin(), sent.end()));
  std::set<std::string> failed;
  for (const Fail& f : driver.got<Fail>()) {
    failed.insert(f.id);
  }
  EXPECT_EQ((std::set<std::string>{"unsafe", "away"}), failed);
  ASSERT_EQ(1u,
            driver.got<Reject>().size());  // all of its endpoints deduplicate: it may be submitted again
  EXPECT_EQ("forgotten", driver.got<Reject>()[0].id);
}

TEST(Restart, EarlierAttemptsCountTowardsMaxAttempts) {
  SchedulerDriver driver;
  driver.at(100 * kSecond).list({makeEndpoint("e", 1)});
  const std::vector<RecoveredAttempt> past(static_cast<std::size_t>(driver.settings.max_attempts - 1),
                                           {"e", 99 * kSecond, true});
  EXPECT_EQ(1u, driver.run({recovered(driver, "m", "safe", past)}).size());
  driver.at(101 * kSecond);
  EXPECT_TRUE(
      driver.run({driver.outcome("m", driver.settings.max_attempts - 1, AttemptResult::error)}).empty());
  EXPECT_EQ(1u, driver.got<Reject>().size());
}

// A call that the predecessor still has in flight holds its slot, is not sent again, and ends like an own
// one.
TEST(Restart, CallsInFlightInTheEarlierProcessAreAwaited) {
  Settings set = makeSettings();
  set.call_slots = 2;
  SchedulerDriver driver(set);
  driver.at(100 * kSecond).list({makeEndpoint("e", 1)});
  const RecoveredAttempt out{"e", 99 * kSecond, true, true};
  EXPECT_TRUE(
      driver.run({recovered(driver, "a", "unsafe", {out}), recovered(driver, "b", "unsafe", {out})}).empty());
  EXPECT_TRUE(driver.got<Fail>().empty());
  driver.at(100 * kSecond + 10 * kMillisecond);
  EXPECT_TRUE(driver.arrive("next", "safe", 1).empty());  // both slots are in use
  driver.at(100 * kSecond + 20 * kMillisecond);
  EXPECT_EQ(std::vector<std::string>{"next"}, driver.end("a", 0, AttemptResult::ok));
  driver.at(100 * kSecond + 30 * kMillisecond);
  driver.end("b", 0, AttemptResult::cancelled);  // lost with the predecessor: it may have run
  ASSERT_EQ(1u, driver.got<Fail>().size());
  EXPECT_EQ("b", driver.got<Fail>()[0].id);
}

// A Retry-After outlasts the process that received it.
TEST(Restart, RetryAfterIsKeptByTheNextProcess) {
  SchedulerDriver first;
  first.at(100 * kSecond).list({makeEndpoint("e", 1)});
  first.arrive("m", "safe", 1);
  first.at(100 * kSecond + 100 * kMillisecond)
      .end("m", 0, AttemptResult::throttled, 100 * kMillisecond, 700 * kMillisecond);
  ASSERT_EQ(1u, first.got<HealthRecord>().size());
  SchedulerDriver next;
  next.at(first.now + 10 * kMillisecond).list({makeEndpoint("e", 1)});
  EXPECT_TRUE(next.run({first.got<HealthRecord>()[0], recovered(next, "m", "safe", {})}).empty());
  next.at(first.now + 699 * kMillisecond);
  EXPECT_TRUE(next.wake().empty());
  next.at(first.now + 701 * kMillisecond);
  EXPECT_EQ(1u, next.wake().size());
}

// The successor resumes a backlog: it must pace a destination that it sees failing as the predecessor would
// have.
TEST(Restart, HealthRecordsAreWrittenAndKeptByTheNextProcess) {
  SchedulerDriver first;
  first.at(100 * kSecond).list({makeEndpoint("e", 1, "shared", 10)});
  std::vector<HealthRecord> kept;
  for (int i = 0; i < 8; ++i) {
    first.at(100 * kSecond + 2 * kSecond * i);
    first.arrive("m" + std::to_string(i), "safe", 1);
    for (const SendAttempt& sent : first.got<SendAttempt>()) {
      first.at(first.now + 10 * kMillisecond).end(sent.id, 0, AttemptResult::connect_failed);
      for (const HealthRecord& a : first.got<HealthRecord>()) {
        kept.push_back(a);
      }
    }
  }
  ASSERT_FALSE(kept.empty());
  EXPECT_TRUE(kept.back().ejected);
  EXPECT_EQ(1, kept.back().destination);
  auto sends = [&](bool told) {
    SchedulerDriver next;
    next.at(first.now + kSecond).list({makeEndpoint("e", 1, "shared", 10)});
    std::vector<Event> events;
    if (told) {
      events.emplace_back(kept.back());
    }
    for (int i = 0; i < 8; ++i) {
      events.emplace_back(recovered(next, "r" + std::to_string(i), "safe", {}));
    }
    return next.run(events).size();
  };
  EXPECT_EQ(1u, sends(true));
  EXPECT_GT(sends(false), 3u);
}

TEST(Restart, BeforeAShutdownOnlyCallsWithATimelyOutcomeAreStarted) {
  SchedulerDriver driver;
  driver.at(100 * kSecond).list({makeEndpoint("e", 1)});
  driver.arrive("warm", "safe", 1);
  driver.at(driver.now + 100 * kMillisecond).end("warm", 0, AttemptResult::ok);
  driver.at(101 * kSecond).run({ShutdownScheduled{101 * kSecond + 3 * kSecond}});
  EXPECT_EQ(1u, driver.arrive("soon", "unsafe", 1).size());
  driver.at(driver.now + 100 * kMillisecond).end("soon", 0, AttemptResult::ok);
  // Half of its time-out is left, many times what an answer takes: it is not left to the successor.
  driver.at(104 * kSecond - 900 * kMillisecond);
  EXPECT_EQ(1u, driver.arrive("payment", "unsafe", 1).size());
  EXPECT_GT(driver.now + driver.timeout["payment"], 104 * kSecond);
  driver.at(driver.now + 100 * kMillisecond).end("payment", 0, AttemptResult::ok);
  driver.at(104 * kSecond - 50 * kMillisecond);
  EXPECT_TRUE(driver.arrive("late", "unsafe", 1).empty());
  EXPECT_TRUE(driver.got<Fail>().empty());
  EXPECT_TRUE(driver.got<Reject>().empty());  // it is left to the successor
}

// Recovered messages without an attempt have been accepted: with one slot, a table that is more than full and
// a queue far longer than the short one of many senders, none is rejected for lack of capacity, and each is
// sent as a slot becomes free.
TEST(Restart, RecoveredMessageWithoutAnAttemptIsSentHoweverFullTheSenderIs) {
  Settings settings = makeSettings();
  settings.max_messages = 8;
  settings.call_slots = 1;
  settings.sender_count = 300;
  SchedulerDriver driver(settings);
  driver.at(100 * kSecond).list({makeEndpoint("e", 1)});
  std::vector<Event> events;
  events.reserve(20);
  for (int i = 0; i < 20; ++i) {
    events.emplace_back(recovered(driver, "m" + std::to_string(i), "safe", {}));
  }
  std::vector<std::string> sent = driver.run(events);
  std::set<std::string> tried;
  for (int turn = 0; turn < 100 && !sent.empty(); ++turn) {
    tried.insert(sent.begin(), sent.end());
    EXPECT_TRUE(driver.got<Reject>().empty());
    EXPECT_TRUE(driver.got<Fail>().empty());
    driver.arrive("new" + std::to_string(turn), "safe",
                  1);  // new messages do not displace them
    sent = driver.at(driver.now + 50 * kMillisecond).end(sent[0], 0, AttemptResult::ok);
    for (int i = 0; i < 40 && sent.empty(); ++i) {
      sent = driver.at(driver.now + 50 * kMillisecond).wake();
    }
  }
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(1u, tried.count("m" + std::to_string(i))) << i;
  }
}

// It is sent before later messages to other destinations, too, which would use a busy sender's slots.
TEST(Restart, RecoveredMessageWithoutAnAttemptGoesBeforeOtherDestinations) {
  Settings settings = makeSettings();
  settings.call_slots = 1;
  SchedulerDriver driver(settings);
  driver.at(100 * kSecond).list({makeEndpoint("e", 1), makeEndpoint("f", 2)});
  std::vector<Event> events;
  events.reserve(5);
  for (int i = 0; i < 5; ++i) {
    events.emplace_back(recovered(driver, "m" + std::to_string(i), "safe", {}));
  }
  for (int i = 0; i < 5; ++i) {
    events.emplace_back(driver.arrival("new" + std::to_string(i), "unsafe", 2));
  }
  std::vector<std::string> sent = driver.run(events), order;
  for (int i = 0; i < 200 && order.size() < 10; ++i) {
    order.insert(order.end(), sent.begin(), sent.end());
    driver.at(driver.now + 50 * kMillisecond);
    sent = sent.empty() ? driver.wake() : driver.end(sent[0], 0, AttemptResult::ok);
  }
  ASSERT_EQ(10u, order.size());
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ('m', order[static_cast<std::size_t>(i)][0]) << order[static_cast<std::size_t>(i)];
  }
}

// Messages of a handover are not those of a restart: they are sent in the usual order, together with new
// ones.
TEST(Restart, HandedOverMessagesGoInTheUsualOrder) {
  Settings settings = makeSettings();
  settings.call_slots = 1;
  SchedulerDriver driver(settings);
  driver.at(100 * kSecond).list({makeEndpoint("e", 1), makeEndpoint("f", 2)});
  std::vector<Event> events;
  for (int i = 0; i < 5; ++i) {
    RecoveredMessage message = recovered(driver, "m" + std::to_string(i), "safe", {});
    message.after_restart = false;
    events.emplace_back(message);
  }
  for (int i = 0; i < 5; ++i) {
    events.emplace_back(driver.arrival("new" + std::to_string(i), "unsafe", 2));
  }
  std::vector<std::string> sent = driver.run(events), order;
  for (int i = 0; i < 200 && order.size() < 4; ++i) {
    order.insert(order.end(), sent.begin(), sent.end());
    driver.at(driver.now + 50 * kMillisecond);
    sent = sent.empty() ? driver.wake() : driver.end(sent[0], 0, AttemptResult::ok);
  }
  ASSERT_EQ(4u, order.size());
  EXPECT_EQ(2, std::count_if(order.begin(), order.end(), [](const std::string& id) { return id[0] == 'm'; }));
}

TEST(Restart, ArrivalsBeyondTheMessageLimitAreRejected) {
  Settings settings = makeSettings();
  settings.max_messages = 3;
  SchedulerDriver driver(settings);
  driver.at(100 * kSecond).list({});
  int refused = 0;
  for (int i = 0; i < 6; ++i) {
    driver.arrive("m" + std::to_string(i), "safe", 1);
    refused += static_cast<int>(driver.got<Reject>().size());
  }
  EXPECT_GE(refused, 3);
}

}  // namespace
}  // namespace delivery
