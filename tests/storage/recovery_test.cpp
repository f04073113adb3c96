// Recovery from damage: files truncated at each length, each byte flipped, blocks and records repeated or in
// another order, contradictory records, other format versions, and clocks that changed.
#include "storage/recovery.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "journal_fixture.h"
#include "storage/record_buffer.h"
#include "storage/record_frame.h"
#include "version1_records.h"

namespace delivery {
namespace {

// A process that is killed during a write leaves a truncated record. That is no damage: the earlier records
// must be recovered without assumed attempts, as those would keep messages from being sent.
TEST(Recovery, ATruncatedFileKeepsTheRecordsBeforeTheCut) {
  const std::string whole = journalWithEveryRecordType();
  std::size_t max_messages = 0;
  for (std::size_t size = 0; size <= whole.size(); ++size) {
    const ReopenedJournal reopened = reopen(whole.substr(0, size));
    EXPECT_FALSE(reopened.damaged) << size;
    for (const auto& [id, journaled] : reopened.messages) {
      EXPECT_LE(countAttemptsThatMayHaveRun(journaled), 1u)
          << id << " got an unknown attempt from a truncation to " << size << " bytes";
    }
    max_messages = std::max(max_messages, reopened.messages.size());
  }
  EXPECT_EQ(5u, max_messages);
}

// A flipped byte must be reported as damage, also in the last record and in each byte of a frame header, and
// not be taken for a torn write: a torn write is dropped silently, so an attempt in it would be lost.
TEST(Recovery, DetectsEachFlippedByteAndLosesNoAttempt) {
  const std::string whole = journalWithEveryRecordType();
  for (std::size_t offset = 0; offset < whole.size(); ++offset) {
    for (const char bit : {'\x01', '\x80'}) {
      std::string data = whole;
      data[offset] = static_cast<char>(data[offset] ^ bit);
      SimulatedDisk disk;
      disk.setContent(kJournalPath, data);
      const ReopenedJournal reopened = reopen(disk);
      EXPECT_TRUE(reopened.damaged) << offset;
      EXPECT_TRUE(reopened.safeToResume()) << offset;
      EXPECT_GE(reopened.messages.size(), 3u) << offset;  // at most one record is lost
      EXPECT_TRUE(reopened.report.quarantined) << offset;
      EXPECT_NE("", disk.content(kQuarantinePath)) << offset;
      const ReopenedJournal reopened_again = reopen(disk);
      EXPECT_FALSE(reopened_again.damaged) << offset << ": the journal was compacted before";
      EXPECT_TRUE(reopened_again.safeToResume()) << offset;
      EXPECT_EQ(reopened.messages.size(), reopened_again.messages.size()) << offset;
    }
  }
}

// Blocks that are in the wrong place or repeated damage the records at their borders. No message may be
// recovered without the attempt that belongs to it, or it would be sent as if it was never sent before.
TEST(Recovery, RepeatedAndSwappedBlocksLoseNoAttempt) {
  constexpr std::size_t kBlockBytes = 512;
  SimulatedDisk disk;
  {
    Journal journal(kFolder, {kDiskBytes}, kNow, disk);
    for (int i = 0; i < 40; ++i) {
      const std::string id = "m" + std::to_string(i);
      journal.recordAccepted(testMessage(id, 60));
      journal.recordAttempt(id, {"e1", kNow.monotonic, false});
    }
    ASSERT_TRUE(journal.flush());
  }
  const std::string whole = disk.content(kJournalPath);
  ASSERT_GT(whole.size(), 6 * kBlockBytes);
  for (std::size_t first = 0; first + kBlockBytes <= whole.size(); first += kBlockBytes) {
    for (std::size_t second = 0; second + kBlockBytes <= whole.size(); second += kBlockBytes) {
      std::string swapped = whole;
      swapped.replace(first, kBlockBytes, whole.substr(second, kBlockBytes));
      swapped.replace(second, kBlockBytes, whole.substr(first, kBlockBytes));
      std::string repeated = whole;
      repeated.insert(second, whole.substr(first, kBlockBytes));
      for (const std::string& data : {swapped, repeated}) {
        const ReopenedJournal reopened = reopen(data);
        for (const auto& [id, journaled] : reopened.messages) {
          ASSERT_GT(countAttemptsThatMayHaveRun(journaled), 0u) << id << ' ' << first << ' ' << second;
        }
        EXPECT_GE(reopened.messages.size(), 30u);
      }
    }
  }
}

std::vector<std::string> splitIntoFrames(const std::string& data) {
  const std::string mark = "\xA7GJ2";
  std::vector<std::string> frames;
  for (std::size_t offset = 0; offset < data.size();) {
    const std::size_t next = std::min(data.find(mark, offset + 1), data.size());
    frames.push_back(data.substr(offset, next - offset));
    offset = next;
  }
  return frames;
}

TEST(Recovery, ReplaysRepeatedAndReorderedRecordsBySequenceNumber) {
  const std::string whole = journalWithEveryRecordType();
  std::string backwards;
  std::string twice;
  for (const std::string& frame : splitIntoFrames(whole)) {
    backwards.insert(0, frame);
    twice += frame + frame;
  }
  const ReopenedJournal intact = reopen(whole);
  for (const std::string& data : {backwards, twice}) {
    const ReopenedJournal reopened = reopen(data);
    EXPECT_FALSE(reopened.damaged);
    ASSERT_EQ(intact.messages.size(), reopened.messages.size());
    for (const auto& [id, journaled] : intact.messages) {
      EXPECT_EQ(journaled.attempts.size(), reopened.messages.at(id).attempts.size()) << id;
      EXPECT_EQ(journaled.notice_pending, reopened.messages.at(id).notice_pending) << id;
    }
  }
}

FileHeader headerOfVersion(std::int64_t version, const PersistentClock& clock) {
  return {version, false, clock.shift(), clock.toStored(kNow.monotonic), kNow.boot};
}

// A record that does not fit the earlier ones, such as a second acceptance of an open message, must not
// change the state: applying it would lose the message's attempts.
TEST(Recovery, IgnoresContradictoryRecords) {
  const PersistentClock clock = PersistentClock::startingNow(kNow);
  RecordBuffer records(clock, 1);
  records.append(headerOfVersion(kJournalVersion, clock));
  records.append(AcceptedRecord{testMessage("run")});
  records.append(AttemptRecord{"run", "e1", 1});
  const std::string intact = records.data();
  records.append(AcceptedRecord{testMessage("run")});  // would lose its attempt if it was applied
  records.append(AttemptRecord{"nobody", "e1", 1});
  records.append(AttemptNeverRanRecord{"run", 5});
  records.append(CompletedRecord{"nobody"});
  records.append(NoticePendingRecord{"nobody", {}});
  const ReopenedJournal reopened = reopen(records.data());
  EXPECT_TRUE(reopened.damaged);
  EXPECT_EQ(5u, reopened.report.contradictory_records) << reopened.report;
  ASSERT_EQ(1u, reopened.messages.size());
  EXPECT_EQ(1u, countAttemptsThatMayHaveRun(reopened.messages.at("run")));
  EXPECT_FALSE(reopen(intact).damaged);
}

TEST(Recovery, ReportsRecordsOfANewerVersionAndQuarantinesAForeignFile) {
  const PersistentClock clock = PersistentClock::startingNow(kNow);
  RecordBuffer records(clock, 1);
  records.append(headerOfVersion(kJournalVersion + 1, clock));
  records.append(AcceptedRecord{testMessage("run")});
  const std::string data =
      records.data() + frameRecord(records.nextSequenceNumber(), "Z a type of a later version");
  const ReopenedJournal reopened = reopen(data);
  EXPECT_TRUE(reopened.damaged);
  EXPECT_EQ(2u, reopened.report.unreadable_records) << reopened.report;
  EXPECT_EQ(1u, countAttemptsThatMayHaveRun(reopened.messages.at("run")))
      << "a record that can't be decoded may have been an attempt";
  SimulatedDisk disk;
  disk.setContent(kJournalPath, std::string(300'000, '\x7f') + "ELF");
  const ReopenedJournal other = reopen(disk);
  EXPECT_TRUE(other.damaged);
  EXPECT_TRUE(other.messages.empty());
  EXPECT_LE(disk.content(kQuarantinePath).size(), kDiskBytes / 16);
  EXPECT_TRUE(other.report.quarantined) << other.report;
  EXPECT_GT(other.report.unquarantined_bytes, 0u) << other.report;
  EXPECT_LE(disk.bytesOnDisk(), kDiskBytes);
}

std::string version1Accepted(const std::string& id) {
  return version1Record("A" + version1Text(id) + version1Text("payment") + version1Text("") +
                        version1Text("k") + version1Text("body") + version1Integer(7) +
                        version1Integer(kNow.unix + 5 * kSecondMicros) + version1Integer(1) +
                        version1Text("t"));
}

TEST(Recovery, ReadsVersion1AndCompactsItToVersion2) {
  const std::string first = version1Accepted("run");
  const std::string attempt =
      version1Record("T" + version1Text("run") + version1Text("e1") + version1Integer(kNow.unix));
  const std::string rest =
      version1Accepted("new") + version1Accepted("pending") +
      version1Record("W" + version1Text("pending") + version1Integer(1) + version1Integer(250)) +
      version1Record("H" + version1Text("") + version1Integer(7) + version1Integer(1) +
                     version1Integer(kNow.unix - kSecondMicros) + version1Integer(0));
  const std::string whole = first + attempt + rest;
  SimulatedDisk disk;
  disk.setContent(kJournalPath, whole);
  const ReopenedJournal reopened = reopen(disk);
  EXPECT_FALSE(reopened.damaged) << reopened.report;
  ASSERT_EQ(3u, reopened.messages.size());
  const JournaledMessage& run = reopened.messages.at("run");
  EXPECT_EQ(kNow.monotonic + 5 * kSecondMicros, run.message.deadline.at());
  EXPECT_EQ("t", run.message.tenant);
  EXPECT_TRUE(run.message.is_retry);
  EXPECT_EQ(kNow.monotonic, run.attempts.at(0).sent_at);
  EXPECT_EQ(0u, countAttemptsThatMayHaveRun(reopened.messages.at("new")));
  EXPECT_EQ(250, reopened.messages.at("pending").notice.retry_after_ms);
  EXPECT_EQ("\xA7GJ2", disk.content(kJournalPath).substr(0, 4));
  for (std::size_t offset = first.size(); offset < first.size() + attempt.size(); ++offset) {
    std::string data = whole;
    data[offset] = static_cast<char>(data[offset] ^ 0x55);
    EXPECT_TRUE(reopen(data).safeToResume()) << offset;
  }
  EXPECT_EQ(1u, reopen(first + attempt.substr(0, 20)).messages.size());
}

// ---- Clocks

TEST(RecoveryClocks, AStepOfTheWallClockChangesNoDeadlineOrAttemptTime) {
  for (const Micros step : {-3600 * kSecondMicros, 3600 * kSecondMicros}) {
    ClockReadings later = kNow;
    later.monotonic += 10 * kSecondMicros;
    later.unix += step;
    const ReopenedJournal reopened = reopen(journalWithEveryRecordType(), later);
    EXPECT_EQ(testMessage("new").deadline, reopened.messages.at("new").message.deadline);
    EXPECT_EQ(kNow.monotonic, reopened.messages.at("run").attempts.at(0).sent_at);
  }
}

Micros recoveredDeadlineOfNew(const ClockReadings& now) {
  return reopen(journalWithEveryRecordType(), now).messages.at("new").message.deadline.at();
}

// After a reboot the monotonic clock restarts, so deadlines are derived from Unix time, which may have been
// set back in the meantime. No message may get more than its whole time to live by that.
TEST(RecoveryClocks, AfterARebootNoMessageHasMoreThanItsTimeToLive) {
  ClockReadings later{2 * kSecondMicros, kNow.unix + 10 * kSecondMicros, "boot-b"};
  EXPECT_EQ(20 * kSecondMicros, recoveredDeadlineOfNew(later));
  later.unix = kNow.unix - 3600 * kSecondMicros;
  EXPECT_EQ(30 * kSecondMicros, recoveredDeadlineOfNew(later));
}

// If boot ids are unknown, they do not show a reboot. A monotonic clock that is before the times in the file
// does.
TEST(RecoveryClocks, AMonotonicClockThatWentBackIsTreatedAsAReboot) {
  const ClockReadings restarted{kSecondMicros, kNow.unix + 10 * kSecondMicros, kNow.boot};
  EXPECT_EQ(19 * kSecondMicros, recoveredDeadlineOfNew(restarted));
}

}  // namespace
}  // namespace delivery
