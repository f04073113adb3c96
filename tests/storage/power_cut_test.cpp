// What the journal keeps over power cuts and failing calls, and when it syncs.
#include <gtest/gtest.h>

#include <cerrno>
#include <set>
#include <stdexcept>
#include <string>

#include "journal_fixture.h"

namespace delivery {
namespace {

TEST(PowerCut, WithoutDurableOpenMessagesMayHaveRun) {
  const ClockReadings rebooted{kSecondMicros, kNow.unix + kSecondMicros, "boot-b"};
  const ReopenedJournal reopened = reopen(journalWithEveryRecordType(false), rebooted);
  EXPECT_EQ(1u, countAttemptsThatMayHaveRun(reopened.entries.at("new")));
  EXPECT_TRUE(reopened.report.power_cut) << reopened.report;
  const ReopenedJournal durable = reopen(journalWithEveryRecordType(true), rebooted);
  EXPECT_EQ(0u, countAttemptsThatMayHaveRun(durable.entries.at("new")));
}

// One sync for all records of a flush; none when they promise nothing, and none at all without the setting.
TEST(PowerCut, AFlushIsSyncedOnce) {
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

// Accepts and sends messages on a disk whose calls fail, and remembers what a flush promised.
class FailingCallsRun {
 public:
  FailingCallsRun(int error, int fail_from, int fail_count) : durable_(fail_from % 3 == 0) {
    disk_.fail_errno = error;
    disk_.fail_from = fail_from;
    disk_.fail_count = fail_count;
    disk_.short_writes = fail_from % 2 == 0;
  }

  void run() {
    try {
      Journal journal(kFolder, {kBudgetBytes, durable_}, kNow, disk_);
      for (int i = 0; i < 60; ++i) {
        acceptAndSend(journal, i);
      }
    } catch (const JournalError&) {
      EXPECT_TRUE(promised_.empty());
    }
    disk_.fail_errno = 0;
    checkPromises();
  }

 private:
  static constexpr std::uint64_t kBudgetBytes = 200'000;

  void acceptAndSend(Journal& journal, int number) {
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
    promised_.insert(id);
    journal.recordAttempt(id, {"e1", kNow.monotonic, false});
    if (journal.flush()) {
      sent_.insert(id);
    }
    if (number % 2 == 0) {
      journal.recordCompleted(id);
      journal.flush();
      promised_.erase(id);
    }
    EXPECT_LE(disk_.bytesOnDisk(), kBudgetBytes);
  }

  void checkPromises() {
    const ReopenedJournal reopened = reopen(disk_);
    for (const std::string& id : promised_) {
      EXPECT_TRUE(reopened.entries.count(id) > 0) << id;
    }
    for (const auto& [id, entry] : reopened.entries) {
      if (sent_.count(id) > 0) {
        EXPECT_GT(countAttemptsThatMayHaveRun(entry), 0u) << id;
      }
    }
  }

  SimulatedDisk disk_;
  bool durable_;
  std::set<std::string> promised_;  // accepted, and not completed
  std::set<std::string> sent_;
};

// Each call fails in turn, once or from then on: what was promised is there afterwards, and the files stay
// within the disk budget.
TEST(FailingCalls, LoseNothingThatWasPromised) {
  constexpr int kOnce = 1;
  constexpr int kFromThenOn = 1'000'000;
  for (const int error : {ENOSPC, EIO}) {
    for (const int fail_count : {kOnce, kFromThenOn}) {
      for (int fail_from = 1; fail_from < 60; ++fail_from) {
        SCOPED_TRACE(std::to_string(error) + " from call " + std::to_string(fail_from) + " for " +
                     std::to_string(fail_count));
        FailingCallsRun(error, fail_from, fail_count).run();
      }
    }
  }
}

}  // namespace
}  // namespace delivery
