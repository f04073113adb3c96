// 5 admission: what is refused, and messages with little or no time.
#include <algorithm>

#include "support/scheduler_fixture.h"

using namespace delivery;
using Ids = std::vector<std::string>;

namespace {

TEST(Admission, NearMaxOpenTheLeastWorthIsRefused) {
  Settings s = makeSettings();
  s.call_slots = 1;
  s.max_messages = 10;
  s.classes[1].priority_weight = 4;
  Rig r(s);
  r.list({makeEndpoint("e1", 1)});
  for (int i = 0; i < 4; ++i)
    r.arrive("cheap" + std::to_string(i), "safe", 1);
  std::vector<std::string> refused;
  for (int i = 0; i < 8; ++i) {
    r.arrive("dear" + std::to_string(i), "keyed", 1);
    for (const auto& x : r.got<Reject>())
      refused.push_back(x.id);
  }
  ASSERT_GE(refused.size(), 2u);
  for (std::size_t i = 0; i < 2; ++i)
    EXPECT_EQ(refused[i].substr(0, 5), "cheap");
}

TEST(Admission, AMessageWhoseTimeIsOverIsAnsweredAndNeverSent) {
  Rig r;
  r.list({makeEndpoint("e1", 1)});
  r.at(kS);
  for (const Micros left : {-5 * kS, Micros{0}, 3 * kMs}) {
    Arrival a = r.arrival("m" + std::to_string(left), "safe", 1);
    a.deadline = Deadline::after(r.now, left);
    EXPECT_TRUE(r.run({a}).empty());
    EXPECT_EQ(r.got<Fail>().size() + r.got<Reject>().size(), 1u) << left;
  }
}

// A told wait that outlasts a message: its client hears so at once, and when it is over; others are held.
TEST(Admission, AMessageThatAToldWaitOutlastsIsAnsweredAtOnce) {
  Settings s = makeSettings();
  s.call_slots = 1;
  s.retry_after_supported = true;
  s.max_retry_after = 30 * kS;
  Rig r(s);
  r.list({makeEndpoint("e1", 1), makeEndpoint("e2", 2)});
  Arrival brief = r.arrival("brief", "safe", 1), lasting = r.arrival("lasting", "safe", 1);
  Arrival elsewhere = r.arrival("elsewhere", "safe", 2);
  brief.deadline = elsewhere.deadline = Deadline::after(r.now, 5 * kS);
  lasting.deadline = Deadline::after(r.now, 20 * kS);
  r.arrive("first", "safe", 1);
  EXPECT_TRUE(r.run({brief, lasting, elsewhere}).empty());
  r.at(kS).end("first", 0, AttemptResult::throttled, 100 * kMs, 8 * kS);
  ASSERT_EQ(r.got<Reject>().size(), 1u);
  EXPECT_EQ(r.got<Reject>()[0].id, "brief");
  EXPECT_GE(r.got<Reject>()[0].retry_after, 8 * kS);
  EXPECT_TRUE(r.got<Fail>().empty());
  brief.id = "behind";  // one that comes meanwhile, too
  r.run({brief});
  ASSERT_EQ(r.got<Reject>().size(), 1u);
  EXPECT_EQ(r.got<Reject>()[0].id, "behind");
}

TEST(Admission, AWithdrawnMessageIsNeitherSentNorAnsweredAndItsLateOutcomeDoesNoHarm) {
  Settings s = makeSettings();
  s.call_slots = 1;
  Rig r(s);
  r.list({makeEndpoint("e1", 1)});
  r.run({r.arrival("a", "safe", 1), r.arrival("b", "safe", 1), r.arrival("c", "safe", 1)});
  r.run({Abandoned{"a"}, Abandoned{"b"}, Abandoned{"b"}, Abandoned{"never seen"}});
  EXPECT_TRUE(r.acts.empty() || r.got<SendAttempt>().empty());
  AttemptOutcome late = r.outcome("a", 0, AttemptResult::timeout);
  late.finished = true;
  // After a stall all comes in one heap, also twice and for what is long ended.
  EXPECT_EQ(r.at(3 * kS).run({late, late, Abandoned{"a"}, TimerFired{}, TimerFired{},
                              r.outcome("b", 0, AttemptResult::ok)}),
            Ids{"c"});
  EXPECT_EQ(r.got<Fail>().size() + r.got<Reject>().size(), 0u);
}

// debrecen-kelet-later big-2: busy senders held four seconds of messages for their few slots, and each was
// late. Of many senders one refuses what would come late while its slots are busy; of two it holds them.
TEST(Admission, WithAllSlotsBusyLateMessagesAreRefusedDownToAShortQueue) {
  auto refused = [](int senders, bool busy) {
    Settings s = makeSettings();
    s.sender_count = senders;
    s.late_decay = LateDecay::halving;
    s.call_slots = 4;
    Rig r(s);
    std::vector<EndpointInfo> all;
    for (int d = 0; d < 50; ++d)
      all.push_back(makeEndpoint("e" + std::to_string(d), d));
    r.list(all);
    for (int i = 0; i < 8; ++i) {
      const std::string id = "w" + std::to_string(i);
      r.at(r.now + kS).arrive(id, "safe", i);
      r.at(r.now + 500 * kMs).end(id, 0, AttemptResult::ok, 500 * kMs);
    }
    std::vector<Event> heap;
    for (int i = 0; i < 40; ++i)
      if (busy || i < 4)
        heap.push_back(r.arrival("m" + std::to_string(i), "safe", i));
    r.run(heap);
    return r.got<Reject>().size();
  };
  EXPECT_GE(refused(200, true), 20u);  // 36 waiting messages would take 4.5 s, the aim is 2 s
  EXPECT_LE(refused(200, true), 34u);
  EXPECT_EQ(refused(200, false), 0u);
  EXPECT_EQ(refused(2, true), 0u);
}

// A table that is full of what was taken on: a message that comes now is refused before one of as much worth
// that its client was promised, however much less that one would lose; one of far more worth takes its place.
TEST(Admission, WhatWasTakenOnIsKeptBeforeWhatIsStillAtTheDoor) {
  Settings s = makeSettings();
  s.call_slots = 1;
  s.max_messages = 10;
  s.classes[1].priority_weight = 4;
  Rig r(s);
  r.list({makeEndpoint("e1", 1)});
  for (int i = 0; i < 9; ++i)
    r.at(r.now + 400 * kMs).arrive("taken" + std::to_string(i), "safe", 1);
  ASSERT_EQ(r.got<Reject>().size(), 0u);  // one of them is out, and all wait for it
  for (int i = 0; i < 4; ++i) {
    const std::string id = "new" + std::to_string(i);
    r.arrive(id, "safe", 1);
    ASSERT_EQ(r.got<Reject>().size(), 1u);
    EXPECT_EQ(r.got<Reject>()[0].id, id);
  }
  r.arrive("dear", "keyed", 1);
  ASSERT_EQ(r.got<Reject>().size(), 1u);
  EXPECT_EQ(r.got<Reject>()[0].id.substr(0, 5), "taken");
}

// Of many senders one with all slots busy refuses at the door what would come late, and keeps what it has
// taken on until most of its time is over.
TEST(Admission, WithAllSlotsBusyWhatWasTakenOnIsKeptForMostOfItsTime) {
  Settings s = makeSettings();
  s.sender_count = 200;
  s.late_decay = LateDecay::halving;
  s.call_slots = 4;
  Rig r(s);
  std::vector<EndpointInfo> all;
  for (int d = 0; d < 50; ++d)
    all.push_back(makeEndpoint("e" + std::to_string(d), d));
  r.list(all);
  for (int i = 0; i < 8; ++i) {
    const std::string id = "w" + std::to_string(i);
    r.at(r.now + kS).arrive(id, "safe", i);
    r.at(r.now + 500 * kMs).end(id, 0, AttemptResult::ok, 500 * kMs);
  }
  for (int i = 0; i < 4; ++i)
    r.arrive("out" + std::to_string(i), "safe", i);
  for (int i = 4; i < 12; ++i)
    r.arrive("taken" + std::to_string(i), "safe", i);
  ASSERT_EQ(r.got<Reject>().size(), 0u);  // so far the wait for a slot is short
  const Micros deadline = r.set.classes[0].deadline, from = r.now;
  std::vector<std::string> refused;
  const auto take = [&] {
    for (const Reject& x : r.got<Reject>())
      refused.push_back(x.id);
  };
  std::vector<Event> heap;
  for (int i = 12; i < 44; ++i)
    heap.push_back(r.arrival("new" + std::to_string(i), "safe", i));
  r.run(heap);
  take();
  EXPECT_GE(refused.size(), 16u);
  while (r.now < from + deadline / 2) {
    r.at(r.now + 100 * kMs).wake();
    take();
  }
  for (const std::string& id : refused)
    EXPECT_NE(id.substr(0, 5), "taken") << id;
}

}  // namespace
