// What leaves the process while the journal can't be written: no notice of a message that the next process
// could still send, no call, and no promise to a client.
#include "process/unrecorded_notices.h"
#include "support/decision_driver_fixture.h"

namespace delivery {
namespace {

using loopback::httpResponse;
using loopback::ReceivedRequest;
using loopback::ServerAction;

// Guards against charges that ran twice (review/6): a message was handed back without a record of it, its
// client handed it in at another sender, and after a kill this sender sent it all the same.
TEST(UnwritableJournal, AMessageIsHandedBackOnlyOnceThatIsRecorded) {
  std::atomic<int> calls{0};
  DriverSurroundings surroundings([&](const ReceivedRequest&) {
    ++calls;
    // Longer than the message has time, so that the message is handed back at once.
    return ServerAction{httpResponse("429 Too Many", "Retry-After: 60\r\n")};
  });
  {
    DriverProcess process(surroundings);
    ASSERT_EQ(SubmitStatus::accepted, process.submit("charge", "payment"));
    surroundings.failWrites();
    ASSERT_TRUE(process.runUntil([&] { return process.journal().flushError().has_value(); }));
    // Further rounds, and further attempts to write.
    for (const char* id : {"a", "b", "c"}) {
      EXPECT_EQ(SubmitStatus::busy, process.submit(id, "payment"));
    }
    EXPECT_EQ(0u, surroundings.discovery.noticeCount()) << surroundings.discovery.noticesAsText();
  }
  surroundings.repairWrites();
  DriverProcess next_process(surroundings);  // is free to go on with the message
  EXPECT_EQ(0u, surroundings.discovery.noticeCount());
  EXPECT_FALSE(next_process.driver().idle());
}

// Guards against notices that stay behind once the journal can be written again.
TEST(UnwritableJournal, HeldNoticesAreSentOnceTheyAreRecorded) {
  DriverSurroundings surroundings([](const ReceivedRequest&) {
    return ServerAction{httpResponse("429 Too Many", "Retry-After: 60\r\n")};
  });
  DriverProcess process(surroundings);
  ASSERT_EQ(SubmitStatus::accepted, process.submit("charge", "payment"));
  surroundings.failWrites();
  ASSERT_TRUE(process.runUntil([&] { return process.journal().flushError().has_value(); }));
  surroundings.repairWrites();
  ASSERT_TRUE(process.runUntil([&] { return surroundings.discovery.noticeCount() == 1; }));
  EXPECT_EQ("handed_back", surroundings.discovery.notice("charge")["outcome"]);
}

// Guards against a message without an end: a notice is due at the end of the message's time even if it can't
// be recorded. No process sends the message after that.
TEST(UnwritableJournal, TheNoticeOfAnExpiredMessageDoesNotWait) {
  DriverSurroundings surroundings(loopback::neverRespond);
  DriverProcess process(surroundings);
  ASSERT_EQ(SubmitStatus::accepted, process.submit("charge", "payment", 700'000));
  surroundings.failWrites();
  EXPECT_TRUE(process.runUntil([&] { return surroundings.discovery.noticeCount() == 1; }));
}

// Guards against messages that run out of attempts although no call has left (review/6), and against a
// journal that stays unused after its disk has recovered.
TEST(UnwritableJournal, MessagesAreSentOnceTheJournalCanBeWrittenAgain) {
  std::atomic<bool> throttle{true};
  DriverSurroundings surroundings([&](const ReceivedRequest&) {
    return throttle ? ServerAction{httpResponse("429 Too Many", "Retry-After: 0.3\r\n")}
                    : ServerAction{httpResponse("200 OK")};
  });
  DriverProcess process(surroundings);
  ASSERT_EQ(SubmitStatus::accepted, process.submit("charge", "payment"));
  ASSERT_TRUE(process.runUntil([&] { return surroundings.endpoint.requests().size() == 1; }));
  surroundings.failWrites();
  throttle = false;
  ASSERT_TRUE(process.runUntil([&] { return process.journal().flushError().has_value(); }));
  const Micros failing_until = monotonicNow() + 1'500'000;
  ASSERT_TRUE(process.runUntil([&] { return monotonicNow() > failing_until; }));
  EXPECT_EQ(SubmitStatus::busy, process.submit("other", "payment"));
  EXPECT_EQ(1u, surroundings.endpoint.requests().size());
  surroundings.repairWrites();
  ASSERT_TRUE(process.runUntil([&] { return process.driver().idle(); }));
  EXPECT_EQ(2u, surroundings.endpoint.requests().size());
  EXPECT_EQ(0u, surroundings.discovery.noticeCount()) << surroundings.discovery.noticesAsText();
}

// Guards against memory that grows with each message that is submitted while nothing can be written.
TEST(UnwritableJournal, SubmittedMessagesDoNotFillTheMemory) {
  constexpr std::size_t kBodyBytes = 60'000;
  DriverSurroundings surroundings(loopback::respondOk);
  DriverProcess process(surroundings);
  surroundings.failWrites();
  for (int i = 0; i < 50; ++i) {
    EXPECT_EQ(SubmitStatus::busy,
              process.submit("m" + std::to_string(i), "payment", 28'000'000, std::string(kBodyBytes, 'x')));
  }
  EXPECT_LT(process.journal().unwrittenBytes(), 2 * kBodyBytes);
  EXPECT_TRUE(surroundings.endpoint.requests().empty());
}

TEST(UnrecordedNotices, TheSendableOnesAreThoseThatAreRecordedOrDue) {
  constexpr Micros kMargin = 50;
  UnrecordedNotices notices;
  notices.add("early", {true, 250}, Deadline(1000));
  notices.add("due", {false, 0}, Deadline(149));
  EXPECT_TRUE(notices.takeSendable(false, 98, kMargin).empty());
  const auto due = notices.takeSendable(false, 99, kMargin);
  ASSERT_EQ(1u, due.size());
  EXPECT_EQ("due", due[0].message_id);
  const auto recorded = notices.takeSendable(true, 100, kMargin);
  ASSERT_EQ(1u, recorded.size());
  EXPECT_EQ("early", recorded[0].message_id);
  EXPECT_TRUE(notices.empty());
}

}  // namespace
}  // namespace delivery
