// Durability of the journal: what survives power cuts and failing file operations, and when it syncs.
#include <gtest/gtest.h>

#include <cerrno>
#include <set>
#include <stdexcept>
#include <string>

#include "journal_fixture.h"

namespace delivery {
namespace {

// Without syncs, a power cut may lose the record of an attempt. An open message must then not be sent as if
// it was never sent before.
TEST(JournalDurability, APowerCutWithoutSyncsAddsAnAttemptToEachOpenMessage) {
  const ClockReadings rebooted{kSecondMicros, kNow.unix + kSecondMicros, "boot-b"};
  const ReopenedJournal reopened = reopen(journalWithEveryRecordType(false), rebooted);
  EXPECT_EQ(1u, countAttemptsThatMayHaveRun(reopened.messages.at("new")));
  EXPECT_TRUE(reopened.report.power_cut) << reopened.report;
  const ReopenedJournal durable = reopen(journalWithEveryRecordType(true), rebooted);
  EXPECT_EQ(0u, countAttemptsThatMayHaveRun(durable.messages.at("new")));
}

// A durable journal syncs once for all records of a flush, and not at all if none of them is an accepted
// message or an attempt. A journal that is not durable never syncs.
TEST(JournalDurability, SyncsAFlushAtMostOnce) {
  for (const bool durable : {false, true}) {
    SimulatedDisk disk;
    Journal journal(kFolder, {kDiskBytes, durable}, kNow, disk);
    const int syncs_before = disk.syncCount();
    const int expected_syncs = syncs_before + (durable ? 1 : 0);
    for (const char* id : {"a", "b", "c"}) {
      journal.recordAccepted(testMessage(id));
    }
    journal.recordAttempt("a", {"e1", kNow.monotonic, false});
    ASSERT_TRUE(journal.flush());
    EXPECT_EQ(expected_syncs, disk.syncCount());
    journal.recordCompleted("a");
    ASSERT_TRUE(journal.flush());
    EXPECT_EQ(expected_syncs, disk.syncCount());
  }
}

// Accepts and sends messages on a disk whose calls fail, and keeps track of the messages for which a flush
// succeeded.
class FailingDiskRun {
 public:
  FailingDiskRun(int error, int fail_from, int fail_count) : durable_(fail_from % 3 == 0) {
    disk_.fail_errno = error;
    disk_.fail_from = fail_from;
    disk_.fail_count = fail_count;
    disk_.short_writes = fail_from % 2 == 0;
  }

  void run() {
    try {
      Journal journal(kFolder, {kBudgetBytes, durable_}, kNow, disk_);
      for (int i = 0; i < 60; ++i) {
        acceptAndSendMessage(journal, i);
      }
    } catch (const JournalError&) {
      EXPECT_TRUE(acknowledged_.empty());
    }
    disk_.fail_errno = 0;
    checkRecovery();
  }

 private:
  static constexpr std::uint64_t kBudgetBytes = 200'000;

  void acceptAndSendMessage(Journal& journal, int number) {
    const SubmittedMessage message = testMessage("m" + std::to_string(number), 3000);
    const std::string& id = message.id;
    if (!journal.reserve(message)) {
      return;
    }
    journal.recordAccepted(message);
    if (!journal.flush()) {
      journal.recordCompleted(id);
      return;
    }
    acknowledged_.insert(id);
    journal.recordAttempt(id, {"e1", kNow.monotonic, false});
    if (journal.flush()) {
      sent_.insert(id);
    }
    if (number % 2 == 0) {
      journal.recordCompleted(id);
      journal.flush();
      acknowledged_.erase(id);
    }
    EXPECT_LE(disk_.bytesOnDisk(), kBudgetBytes);
  }

  void checkRecovery() {
    const ReopenedJournal reopened = reopen(disk_);
    for (const std::string& id : acknowledged_) {
      EXPECT_TRUE(reopened.messages.count(id) > 0) << id;
    }
    for (const auto& [id, journaled] : reopened.messages) {
      if (sent_.count(id) > 0) {
        EXPECT_GT(countAttemptsThatMayHaveRun(journaled), 0u) << id;
      }
    }
  }

  SimulatedDisk disk_;
  bool durable_;
  std::set<std::string> acknowledged_;  // messages that are accepted and not completed
  std::set<std::string> sent_;          // messages with a flushed attempt
};

// Each file operation fails in turn, either once or permanently from there on. Accepted messages and their
// attempts must be recovered afterwards, and the files must stay within the disk budget.
TEST(JournalDurability, FailingFileOperationsLoseNoAcceptedMessage) {
  constexpr int kOnce = 1;
  constexpr int kPermanently = 1'000'000;
  for (const int error : {ENOSPC, EIO}) {
    for (const int fail_count : {kOnce, kPermanently}) {
      for (int fail_from = 1; fail_from < 60; ++fail_from) {
        SCOPED_TRACE(std::to_string(error) + " from call " + std::to_string(fail_from) + " for " +
                     std::to_string(fail_count));
        FailingDiskRun(error, fail_from, fail_count).run();
      }
    }
  }
}

}  // namespace
}  // namespace delivery
