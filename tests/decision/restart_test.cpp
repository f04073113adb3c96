// What one process of the sender leaves to the next: resumed messages, health, and the end of a process.
#include <algorithm>
#include <set>

#include "support/scheduler_fixture.h"

namespace delivery {
namespace {

RecoveredMessage resumed(const Rig& rig, const std::string& id, const std::string& cls,
                         std::vector<RecoveredAttempt> past) {
  RecoveredMessage r;
  r.message.id = id;
  r.message.message_class = cls;
  r.message.destination = 1;
  r.message.deadline = Deadline::after(rig.now, 15 * kS);
  r.attempts = std::move(past);
  return r;
}

// A repeat's connection may have to come up first (1 s at most here), and the window of 5 s is over when it
// arrives.
TEST(Restart, NoRepeatGoesWhoseConnectionMayComeUpBehindTheWindow) {
  Rig rig;
  rig.at(100 * kS).list({makeEndpoint("e", 1)});
  const RecoveredAttempt in_time{"e", 100 * kS - 3900 * kMs, true},
      too_near{"e", 100 * kS - 4100 * kMs, true};
  const auto sent =
      rig.run({resumed(rig, "in_time", "keyed", {in_time}), resumed(rig, "near", "keyed", {too_near})});
  EXPECT_EQ(std::vector<std::string>{"in_time"}, std::vector<std::string>(sent.begin(), sent.end()));
}

TEST(Restart, WhatMayHaveRunGoesAgainOnlyAsItsClassAllows) {
  Rig rig;
  rig.at(100 * kS).list({makeEndpoint("e", 1)});
  const RecoveredAttempt old{"e", 90 * kS, true}, young{"e", 99 * kS, true}, none{"e", 99 * kS, false};
  const RecoveredAttempt unlisted{"elsewhere", 99 * kS, true};
  const auto sent =
      rig.run({resumed(rig, "safe", "safe", {old}), resumed(rig, "keyed", "keyed", {young}),
               resumed(rig, "forgotten", "keyed", {old}), resumed(rig, "unsafe", "unsafe", {young}),
               resumed(rig, "untried", "unsafe", {}), resumed(rig, "refused", "unsafe", {none}),
               resumed(rig, "away", "unsafe", {unlisted})});
  EXPECT_EQ((std::set<std::string>{"safe", "keyed", "untried", "refused"}),
            std::set<std::string>(sent.begin(), sent.end()));
  std::set<std::string> failed;
  for (const Fail& f : rig.got<Fail>())
    failed.insert(f.id);
  EXPECT_EQ((std::set<std::string>{"unsafe", "away"}), failed);
  ASSERT_EQ(1u,
            rig.got<Reject>().size());  // repeats are dropped at all of its endpoints: harmless to hand in
  EXPECT_EQ("forgotten", rig.got<Reject>()[0].id);
}

TEST(Restart, PastAttemptsCountTowardsTheMost) {
  Rig rig;
  rig.at(100 * kS).list({makeEndpoint("e", 1)});
  const std::vector<RecoveredAttempt> past(static_cast<std::size_t>(rig.set.max_attempts - 1),
                                           {"e", 99 * kS, true});
  EXPECT_EQ(1u, rig.run({resumed(rig, "m", "safe", past)}).size());
  rig.at(101 * kS);
  EXPECT_TRUE(rig.run({rig.outcome("m", rig.set.max_attempts - 1, AttemptResult::error)}).empty());
  EXPECT_EQ(1u, rig.got<Reject>().size());
}

// A call that the process before still has out holds its slot, is not sent again, and ends like one's own.
TEST(Restart, CallsStillOutElsewhereAreWaitedFor) {
  Settings set = makeSettings();
  set.call_slots = 2;
  Rig rig(set);
  rig.at(100 * kS).list({makeEndpoint("e", 1)});
  const RecoveredAttempt out{"e", 99 * kS, true, true};
  EXPECT_TRUE(rig.run({resumed(rig, "a", "unsafe", {out}), resumed(rig, "b", "unsafe", {out})}).empty());
  EXPECT_TRUE(rig.got<Fail>().empty());
  rig.at(100 * kS + 10 * kMs);
  EXPECT_TRUE(rig.arrive("next", "safe", 1).empty());  // both slots are taken
  rig.at(100 * kS + 20 * kMs);
  EXPECT_EQ(std::vector<std::string>{"next"}, rig.end("a", 0, AttemptResult::ok));
  rig.at(100 * kS + 30 * kMs);
  rig.end("b", 0, AttemptResult::cancelled);  // lost with that process: it may have run
  ASSERT_EQ(1u, rig.got<Fail>().size());
  EXPECT_EQ("b", rig.got<Fail>()[0].id);
}

// A wait outlasts the process that was told it.
TEST(Restart, AToldWaitIsKeptByTheNextProcess) {
  Rig first;
  first.at(100 * kS).list({makeEndpoint("e", 1)});
  first.arrive("m", "safe", 1);
  first.at(100 * kS + 100 * kMs).end("m", 0, AttemptResult::throttled, 100 * kMs, 700 * kMs);
  ASSERT_EQ(1u, first.got<HealthRecord>().size());
  Rig next;
  next.at(first.now + 10 * kMs).list({makeEndpoint("e", 1)});
  EXPECT_TRUE(next.run({first.got<HealthRecord>()[0], resumed(next, "m", "safe", {})}).empty());
  next.at(first.now + 699 * kMs);
  EXPECT_TRUE(next.wake().empty());
  next.at(first.now + 701 * kMs);
  EXPECT_EQ(1u, next.wake().size());
}

// The next process resumes a backlog: it must pace what it heard failing as the one before would have.
TEST(Restart, AilmentsAreGivenOutAndKeptByTheNextProcess) {
  Rig first;
  first.at(100 * kS).list({makeEndpoint("e", 1, "shared", 10)});
  std::vector<HealthRecord> kept;
  for (int i = 0; i < 8; ++i) {
    first.at(100 * kS + i * 2 * kS);
    first.arrive("m" + std::to_string(i), "safe", 1);
    for (const SendAttempt& s : first.got<SendAttempt>()) {
      first.at(first.now + 10 * kMs).end(s.id, 0, AttemptResult::connect_failed);
      for (const HealthRecord& a : first.got<HealthRecord>())
        kept.push_back(a);
    }
  }
  ASSERT_FALSE(kept.empty());
  EXPECT_TRUE(kept.back().ejected);
  EXPECT_EQ(1, kept.back().destination);
  auto sends = [&](bool told) {
    Rig next;
    next.at(first.now + kS).list({makeEndpoint("e", 1, "shared", 10)});
    std::vector<Event> events;
    if (told)
      events.push_back(kept.back());
    for (int i = 0; i < 8; ++i)
      events.push_back(resumed(next, "r" + std::to_string(i), "safe", {}));
    return next.run(events).size();
  };
  EXPECT_EQ(1u, sends(true));
  EXPECT_GT(sends(false), 3u);
}

TEST(Restart, BeforeTheEndOnlyWhatCanBeHeardIsStarted) {
  Rig rig;
  rig.at(100 * kS).list({makeEndpoint("e", 1)});
  rig.arrive("warm", "safe", 1);
  rig.at(rig.now + 100 * kMs).end("warm", 0, AttemptResult::ok);
  rig.at(101 * kS).run({ShutdownScheduled{101 * kS + 3 * kS}});
  EXPECT_EQ(1u, rig.arrive("soon", "unsafe", 1).size());
  rig.at(rig.now + 100 * kMs).end("soon", 0, AttemptResult::ok);
  // Half of its time-out is left, many times what an answer takes: it is not kept waiting for the next
  // process.
  rig.at(104 * kS - 900 * kMs);
  EXPECT_EQ(1u, rig.arrive("payment", "unsafe", 1).size());
  EXPECT_GT(rig.now + rig.timeout["payment"], 104 * kS);
  rig.at(rig.now + 100 * kMs).end("payment", 0, AttemptResult::ok);
  rig.at(104 * kS - 50 * kMs);
  EXPECT_TRUE(rig.arrive("late", "unsafe", 1).empty());
  EXPECT_TRUE(rig.got<Fail>().empty());
  EXPECT_TRUE(rig.got<Reject>().empty());  // it is left to the next process
}

// What a restart finds untried has been promised a try: with one slot, a table that is more than full and a
// queue far longer than many senders' short one, none is refused for the room, and each goes as a slot comes.
TEST(Restart, WhatWasNeverTriedIsTriedHoweverFullItIs) {
  Settings s = makeSettings();
  s.max_messages = 8;
  s.call_slots = 1;
  s.sender_count = 300;
  Rig rig(s);
  rig.at(100 * kS).list({makeEndpoint("e", 1)});
  std::vector<Event> events;
  for (int i = 0; i < 20; ++i)
    events.push_back(resumed(rig, "m" + std::to_string(i), "safe", {}));
  std::vector<std::string> sent = rig.run(events);
  std::set<std::string> tried;
  for (int turn = 0; turn < 100 && !sent.empty(); ++turn) {
    tried.insert(sent.begin(), sent.end());
    EXPECT_TRUE(rig.got<Reject>().empty());
    EXPECT_TRUE(rig.got<Fail>().empty());
    rig.arrive("new" + std::to_string(turn), "safe", 1);  // those that come meanwhile take no place of theirs
    sent = rig.at(rig.now + 50 * kMs).end(sent[0], 0, AttemptResult::ok);
    for (int i = 0; i < 40 && sent.empty(); ++i)
      sent = rig.at(rig.now + 50 * kMs).wake();
  }
  for (int i = 0; i < 20; ++i)
    EXPECT_EQ(1u, tried.count("m" + std::to_string(i))) << i;
}

// It goes before what has come to other destinations since, too: there a busy sender's slots would go.
TEST(Restart, WhatWasNeverTriedGoesBeforeOtherDestinations) {
  Settings s = makeSettings();
  s.call_slots = 1;
  Rig rig(s);
  rig.at(100 * kS).list({makeEndpoint("e", 1), makeEndpoint("f", 2)});
  std::vector<Event> events;
  for (int i = 0; i < 5; ++i)
    events.push_back(resumed(rig, "m" + std::to_string(i), "safe", {}));
  for (int i = 0; i < 5; ++i)
    events.push_back(rig.arrival("new" + std::to_string(i), "unsafe", 2));
  std::vector<std::string> sent = rig.run(events), order;
  for (int i = 0; i < 200 && order.size() < 10; ++i) {
    order.insert(order.end(), sent.begin(), sent.end());
    rig.at(rig.now + 50 * kMs);
    sent = sent.empty() ? rig.wake() : rig.end(sent[0], 0, AttemptResult::ok);
  }
  ASSERT_EQ(10u, order.size());
  for (int i = 0; i < 5; ++i)
    EXPECT_EQ('m', order[static_cast<std::size_t>(i)][0]) << order[static_cast<std::size_t>(i)];
}

// What a process hands over to the next is no restart's: it goes in the usual order, with what comes
// meanwhile.
TEST(Restart, WhatIsHandedOverGoesInTheUsualOrder) {
  Settings s = makeSettings();
  s.call_slots = 1;
  Rig rig(s);
  rig.at(100 * kS).list({makeEndpoint("e", 1), makeEndpoint("f", 2)});
  std::vector<Event> events;
  for (int i = 0; i < 5; ++i) {
    RecoveredMessage r = resumed(rig, "m" + std::to_string(i), "safe", {});
    r.after_restart = false;
    events.push_back(r);
  }
  for (int i = 0; i < 5; ++i)
    events.push_back(rig.arrival("new" + std::to_string(i), "unsafe", 2));
  std::vector<std::string> sent = rig.run(events), order;
  for (int i = 0; i < 200 && order.size() < 4; ++i) {
    order.insert(order.end(), sent.begin(), sent.end());
    rig.at(rig.now + 50 * kMs);
    sent = sent.empty() ? rig.wake() : rig.end(sent[0], 0, AttemptResult::ok);
  }
  ASSERT_EQ(4u, order.size());
  EXPECT_EQ(2, std::count_if(order.begin(), order.end(), [](const std::string& id) { return id[0] == 'm'; }));
}

TEST(Restart, MoreThanMayBeHeldIsRefusedOnArrival) {
  Settings s = makeSettings();
  s.max_messages = 3;
  Rig rig(s);
  rig.at(100 * kS).list({});
  int refused = 0;
  for (int i = 0; i < 6; ++i) {
    rig.arrive("m" + std::to_string(i), "safe", 1);
    refused += static_cast<int>(rig.got<Reject>().size());
  }
  EXPECT_GE(refused, 3);
}

}  // namespace
}  // namespace delivery
