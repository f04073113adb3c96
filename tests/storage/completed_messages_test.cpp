// Messages that have ended are remembered: for how long, across restarts and compactions, and under a flood.
#include "storage/completed_messages.h"

#include <gtest/gtest.h>

#include <string>

#include "journal_fixture.h"
#include "storage/recovery.h"

namespace delivery {
namespace {

constexpr Micros kClassDeadline = 28 * kSecondMicros;

Journal::Options rememberingOptions(std::size_t max_count = 1000, std::uint64_t max_bytes = kDiskBytes / 4) {
  Journal::Options options;
  options.disk_budget_bytes = kDiskBytes;
  options.completed_messages = {{{"payment", kClassDeadline}}, max_count, max_bytes};
  return options;
}

void accept(Journal& journal, const SubmittedMessage& message) {
  ASSERT_TRUE(journal.reserve(message, kNow.monotonic)) << message.id;
  journal.recordAccepted(message);
  ASSERT_TRUE(journal.flush());
}

// Ends "delivered", "failed" and "rejected" accordingly; "open" stays open.
void endMessages(Journal& journal) {
  for (const char* id : {"delivered", "failed", "rejected", "open"}) {
    accept(journal, testMessage(id));
  }
  journal.recordCompleted("delivered");
  journal.recordNoticePending("failed", {false, 0});
  journal.recordNoticePending("rejected", {true, 250});
  EXPECT_EQ(MessageEnd::failed, journal.endOf("failed"));  // while the notice is pending
  journal.recordCompleted("failed");
  journal.recordCompleted("rejected");
  ASSERT_TRUE(journal.flush());
}

void expectEnds(const Journal& journal) {
  EXPECT_EQ(MessageEnd::delivered, journal.endOf("delivered"));
  EXPECT_EQ(MessageEnd::failed, journal.endOf("failed"));
  EXPECT_EQ(MessageEnd::rejected, journal.endOf("rejected"));
  EXPECT_EQ(std::nullopt, journal.endOf("open"));
  EXPECT_EQ(std::nullopt, journal.endOf("unknown"));
}

// Guards against charges that ran again when their id came again (review/10): also after a kill, in the next
// process, and after a compaction.
TEST(CompletedMessages, AreRememberedByTheNextProcessAndAcrossCompactions) {
  SimulatedDisk disk;
  {
    Journal journal(kFolder, rememberingOptions(), kNow, disk);
    endMessages(journal);
    expectEnds(journal);
  }
  ClockReadings rebooted{kSecondMicros, kNow.unix + kSecondMicros, "boot-b"};
  for (int start = 0; start < 3; ++start) {
    // A reboot makes the start write the file anew.
    const Journal journal(kFolder, rememberingOptions(), start == 0 ? kNow : rebooted, disk);
    expectEnds(journal);
    EXPECT_FALSE(journal.recovered().damaged);
    EXPECT_EQ(1u, journal.recovered().messages.size());
  }
}

// The way back to the version before: it reads what remembers a message as one that was accepted and has
// ended.
TEST(CompletedMessages, AreEndedMessagesForAVersionThatDoesNotRememberThem) {
  SimulatedDisk disk;
  { Journal(kFolder, rememberingOptions(), kNow, disk).close(); }
  {
    Journal journal(kFolder, rememberingOptions(), kNow, disk);
    endMessages(journal);
  }
  const ClockReadings rebooted{kSecondMicros, kNow.unix + kSecondMicros, "boot-b"};
  { Journal(kFolder, rememberingOptions(), rebooted, disk).close(); }
  const ReplayResult replay = replayJournal(disk.content(kJournalPath), rebooted);
  EXPECT_FALSE(replay.damaged());
  EXPECT_EQ(0u, replay.contradictory_records);
  EXPECT_EQ(1u, replay.state.messages().size());
  EXPECT_EQ(1u, replay.state.messages().count("open"));
}

// A damaged file may lose the record that completes a remembered message. Such a message is not sent: it
// counts as one that may have run long ago.
TEST(CompletedMessages, ALostCompletionDoesNotMakeAMessageNew) {
  SimulatedDisk disk;
  {
    Journal journal(kFolder, rememberingOptions(), kNow, disk);
    endMessages(journal);
  }
  const ClockReadings rebooted{kSecondMicros, kNow.unix + kSecondMicros, "boot-b"};
  { Journal(kFolder, rememberingOptions(), rebooted, disk).close(); }
  const std::string intact = disk.content(kJournalPath);
  for (std::size_t offset = 0; offset < intact.size(); ++offset) {
    std::string damaged = intact;
    damaged[offset] = static_cast<char>(damaged[offset] ^ 0x55);
    const ReplayResult replay = replayJournal(damaged, rebooted);
    for (const char* id : {"delivered", "failed", "rejected"}) {
      const auto found = replay.state.messages().find(id);
      EXPECT_TRUE(found == replay.state.messages().end() || found->second.notice_pending ||
                  countAttemptsThatMayHaveRun(found->second) > 0)
          << id << " at " << offset;
    }
  }
}

// Guards against a flood of new ids: it neither pushes out ids whose time is not over nor grows without end.
// Messages that need not be remembered are accepted all the same.
TEST(CompletedMessages, AFloodIsRejectedUntilOlderIdsAreOver) {
  constexpr std::size_t kMaxCount = 100;
  SimulatedDisk disk;
  Journal journal(kFolder, rememberingOptions(kMaxCount), kNow, disk);
  std::size_t accepted = 0;
  for (std::size_t i = 0; i < 3 * kMaxCount; ++i) {
    const SubmittedMessage message = testMessage("m" + std::to_string(i));
    if (journal.reserve(message, kNow.monotonic)) {
      journal.recordAccepted(message);
      journal.recordCompleted(message.id);
      ++accepted;
    }
    ASSERT_TRUE(journal.flush());
  }
  EXPECT_EQ(kMaxCount, accepted);
  EXPECT_EQ(MessageEnd::delivered, journal.endOf("m0"));
  SubmittedMessage repeatable = testMessage("repeatable");
  repeatable.message_class = "notice";
  EXPECT_TRUE(journal.reserve(repeatable, kNow.monotonic));
  const Micros over = kNow.monotonic + kClassDeadline;
  EXPECT_FALSE(journal.reserve(testMessage("early"), over - 1));
  EXPECT_TRUE(journal.reserve(testMessage("late"), over));
  EXPECT_EQ(std::nullopt, journal.endOf("m0"));  // the oldest gave way, and no other
  EXPECT_EQ(MessageEnd::delivered, journal.endOf("m1"));
}

// Open messages keep a place each, so that their ids are not pushed out when they end later.
TEST(CompletedMessages, OpenMessagesAreCounted) {
  SimulatedDisk disk;
  Journal journal(kFolder, rememberingOptions(2), kNow, disk);
  ASSERT_TRUE(journal.reserve(testMessage("a"), kNow.monotonic));
  ASSERT_TRUE(journal.reserve(testMessage("b"), kNow.monotonic));
  EXPECT_FALSE(journal.reserve(testMessage("c"), kNow.monotonic));
  journal.recordAccepted(testMessage("a"));
  ASSERT_TRUE(journal.flush());  // "b" was rejected
  EXPECT_TRUE(journal.reserve(testMessage("c"), kNow.monotonic));
  EXPECT_FALSE(journal.reserve(testMessage("d"), kNow.monotonic));
}

// Ids take space that large messages can't have: those whose time is over give way to a message, others
// don't.
TEST(CompletedMessages, StayWithinTheDiskBudgetBesideLargeMessages) {
  SimulatedDisk disk;
  Journal journal(kFolder, rememberingOptions(100'000), kNow, disk);
  int number = 0;
  const auto complete = [&](Micros now) {
    const SubmittedMessage message = testMessage("m" + std::to_string(++number));
    if (!journal.reserve(message, now)) {
      return false;
    }
    journal.recordAccepted(message);
    journal.recordCompleted(message.id);
    return journal.flush();
  };
  while (complete(kNow.monotonic)) {
  }
  EXPECT_GT(number, 4000);
  const auto fill = [&](Micros now) {
    int count = 0;
    for (;; ++count) {
      SubmittedMessage large = testMessage("l" + std::to_string(++number), 60'000);
      large.message_class = "notice";
      if (!journal.reserve(large, now)) {
        return count;
      }
      journal.recordAccepted(large);
      EXPECT_TRUE(journal.flush());
      EXPECT_LE(disk.bytesOnDisk(), kDiskBytes);
    }
  };
  EXPECT_GE(fill(kNow.monotonic), 10);
  EXPECT_EQ(MessageEnd::delivered, journal.endOf("m1"));
  EXPECT_GE(fill(kNow.monotonic + kClassDeadline), 10);
  EXPECT_LE(disk.bytesOnDisk(), kDiskBytes);
}

// A message with little time left is remembered for the time of its class: a copy states its time anew.
TEST(CompletedMessages, AreRememberedForTheTimeOfTheirClass) {
  SimulatedDisk disk;
  Journal journal(kFolder, rememberingOptions(1), kNow, disk);
  SubmittedMessage message = testMessage("short");
  message.time_to_live = kSecondMicros;
  message.deadline = Deadline::after(kNow.monotonic, kSecondMicros);
  accept(journal, message);
  journal.recordCompleted("short");
  EXPECT_FALSE(journal.reserve(testMessage("next"), kNow.monotonic + kClassDeadline - 1));
  EXPECT_TRUE(journal.reserve(testMessage("next"), kNow.monotonic + kClassDeadline));
}

}  // namespace
}  // namespace delivery
