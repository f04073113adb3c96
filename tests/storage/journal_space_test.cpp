// The disk space of the journal: nothing else takes the space that accepted messages were promised, and a
// full journal recovers by itself.
#include <gtest/gtest.h>

#include <cstddef>
#include <string>
#include <vector>

#include "journal_fixture.h"
#include "storage/record_buffer.h"

namespace delivery {
namespace {

constexpr int kMaxAttempts = 12;
constexpr std::size_t kLargeListBytes = 500'000;

std::string endpointListOf(std::size_t bytes, int index) {
  std::string list = R"({"index":)" + std::to_string(index) + R"(,"names":")";
  list.append(bytes - list.size() - 2, 'n');
  return list + "\"}";
}

// Accepts messages until no more fit, and returns their ids.
std::vector<std::string> fillJournal(Journal& journal, const std::string& id_prefix, std::size_t body_bytes) {
  std::vector<std::string> ids;
  while (true) {
    const std::string id = id_prefix + std::to_string(ids.size());
    if (!journal.reserve(testMessage(id, body_bytes))) {
      break;
    }
    journal.recordAccepted(testMessage(id, body_bytes));
    EXPECT_TRUE(journal.flush()) << id;
    ids.push_back(id);
  }
  return ids;
}

// Records everything that may follow the acceptance of a message, apart from its completion.
void recordLifecycles(Journal& journal, const std::vector<std::string>& ids, const std::string& endpoint) {
  for (std::size_t attempt = 0; attempt < kMaxAttempts; ++attempt) {
    for (const std::string& id : ids) {
      journal.recordAttempt(id, {endpoint, kNow.monotonic, false});
      ASSERT_TRUE(journal.flush()) << "attempt " << attempt << " of " << id.substr(0, 20);
      journal.recordNeverRan(id, attempt);
    }
  }
  for (const std::string& id : ids) {
    journal.recordNoticePending(id, {true, 250});
    ASSERT_TRUE(journal.flush()) << "notice of " << id.substr(0, 20);
  }
}

// Guards against charges that ran twice (review/6): after four changes of a large list no record could be
// written any more.
TEST(JournalSpace, EndpointListsDoNotTakeTheSpaceOfAcceptedMessages) {
  SimulatedDisk disk;
  Journal journal(kFolder, {kDiskBytes}, kNow, disk);
  const std::vector<std::string> ids = fillJournal(journal, "m", 60'000);
  ASSERT_GE(ids.size(), 20u);
  for (int change = 1; change <= 10; ++change) {
    journal.recordEndpointList(endpointListOf(kLargeListBytes, change));
    ASSERT_TRUE(journal.flush()) << change;
    ASSERT_LE(disk.bytesOnDisk(), kDiskBytes);
  }
  EXPECT_TRUE(journal.lacksOptionalRecords());
  recordLifecycles(journal, ids, "e1");
  for (const std::string& id : ids) {
    journal.recordCompleted(id);
  }
  ASSERT_TRUE(journal.flush());
  EXPECT_FALSE(journal.lacksOptionalRecords());
  EXPECT_LE(disk.bytesOnDisk(), kDiskBytes);
  journal.close();
  const Journal reopened(kFolder, {kDiskBytes}, kNow, disk);
  EXPECT_EQ(endpointListOf(kLargeListBytes, 10), reopened.recovered().endpoint_list);
}

// Guards against a list that fits beside no message, but keeps messages from being accepted or lost the list
// that is on the disk.
TEST(JournalSpace, ASmallListKeepsItsSpaceBesideMessages) {
  SimulatedDisk disk;
  Journal journal(kFolder, {kDiskBytes}, kNow, disk);
  const std::string list = endpointListOf(20'000, 1);
  journal.recordEndpointList(list);
  const std::vector<std::string> ids = fillJournal(journal, "m", 3'000);
  recordLifecycles(journal, ids, "e1");
  EXPECT_FALSE(journal.lacksOptionalRecords());
  const Journal reopened(kFolder, {kDiskBytes}, kNow, disk);
  EXPECT_EQ(list, reopened.recovered().endpoint_list);
}

// Guards against a message whose later records need more space than was reserved for it: ids have up to 256
// bytes, and names of endpoints any length.
TEST(JournalSpace, LongIdsAndEndpointNamesAreReserved) {
  const std::string long_name(400, 'e');
  SimulatedDisk disk;
  Journal journal(kFolder, {kDiskBytes}, kNow, disk);
  journal.reserveEndpointNames(long_name.size());
  const std::vector<std::string> ids = fillJournal(journal, std::string(250, 'i'), 20);
  ASSERT_GE(ids.size(), 50u);
  recordLifecycles(journal, ids, long_name);
  EXPECT_LE(disk.bytesOnDisk(), kDiskBytes);
  EXPECT_EQ(ids.size(), reopen(disk).messages.size());
}

// Guards against health records of many endpoints that take the space of accepted messages.
TEST(JournalSpace, HealthRecordsDoNotTakeTheSpaceOfAcceptedMessages) {
  SimulatedDisk disk;
  Journal journal(kFolder, {kDiskBytes}, kNow, disk);
  const std::vector<std::string> ids = fillJournal(journal, "m", 60'000);
  for (int i = 0; i < 3200; ++i) {
    journal.recordHealth({"endpoint-" + std::to_string(i) + std::string(100, 'x'), i, true, 99, 123});
    ASSERT_TRUE(journal.flush()) << i;
  }
  recordLifecycles(journal, ids, "e1");
  for (const std::string& id : ids) {
    journal.recordCompleted(id);
  }
  ASSERT_TRUE(journal.flush());
  EXPECT_LE(disk.bytesOnDisk(), kDiskBytes);
  journal.close();
  const Journal reopened(kFolder, {kDiskBytes}, kNow, disk);
  EXPECT_EQ(3200u, reopened.recovered().health_records.size());
}

// Guards against damage that is set aside in the space that the open messages need.
TEST(JournalSpace, QuarantinedDamageDoesNotTakeTheSpaceOfAcceptedMessages) {
  SimulatedDisk disk;
  std::vector<std::string> ids;
  {
    Journal journal(kFolder, {kDiskBytes}, kNow, disk);
    ids = fillJournal(journal, "m", 60'000);
  }
  std::string damaged = disk.content(kJournalPath);
  damaged[damaged.size() - 30'000] ^= 0x55;  // in the body of the last message
  disk.setContent(kJournalPath, damaged);
  ids.pop_back();
  Journal journal(kFolder, {kDiskBytes}, kNow, disk);
  ASSERT_TRUE(journal.recovered().damaged);
  ASSERT_EQ(ids.size(), journal.recovered().messages.size());
  recordLifecycles(journal, ids, "e1");
  EXPECT_LE(disk.bytesOnDisk(), kDiskBytes);
}

// Returns a journal file as versions before December 2026 left it behind in review/6: open messages and
// several lists fill the disk budget, and no compaction fits beside it.
std::string fullFileOfEarlierVersion(std::size_t message_count) {
  RecordBuffer records(PersistentClock::startingNow(kNow), 1);
  const PersistentClock clock = PersistentClock::startingNow(kNow);
  records.append(
      FileHeader{kJournalVersion, false, clock.shift(), clock.toStored(kNow.monotonic), kNow.boot});
  for (std::size_t i = 0; i < message_count; ++i) {
    records.append(AcceptedRecord{testMessage("m" + std::to_string(i), 60'000)});
  }
  for (int change = 1; records.size() + kLargeListBytes + 1000 < kDiskBytes; ++change) {
    records.append(EndpointListRecord{endpointListOf(kLargeListBytes, change)});
  }
  return records.data();
}

// Guards against a journal that stays full for good: once the messages have ended, it accepts new ones.
TEST(JournalSpace, AFullFileOfAnEarlierVersionRecoversOnceItsMessagesHaveEnded) {
  constexpr std::size_t kMessageCount = 22;
  SimulatedDisk disk;
  disk.setContent(kJournalPath, fullFileOfEarlierVersion(kMessageCount));
  Journal journal(kFolder, {kDiskBytes}, kNow, disk);
  ASSERT_EQ(kMessageCount, journal.recovered().messages.size());
  EXPECT_FALSE(journal.reserve(testMessage("new", 60'000)));
  for (std::size_t i = 0; i < kMessageCount; ++i) {
    const std::string id = "m" + std::to_string(i);
    journal.recordNoticePending(id, {false, 0});
    journal.flush();
    journal.recordCompleted(id);
    journal.flush();
    ASSERT_LE(disk.bytesOnDisk(), kDiskBytes);
  }
  EXPECT_TRUE(journal.reserve(testMessage("new", 60'000)));
  journal.recordAccepted(testMessage("new", 60'000));
  EXPECT_TRUE(journal.flush());
  EXPECT_LE(disk.bytesOnDisk(), kDiskBytes);
  journal.close();
  EXPECT_EQ(1u, reopen(disk).messages.count("new"));
}

// Guards against a buffer that grows with each list while nothing can be written.
TEST(JournalSpace, ListsDoNotFillTheMemoryWhileWritesFail) {
  SimulatedDisk disk;
  Journal journal(kFolder, {kDiskBytes}, kNow, disk);
  disk.fail_errno = ENOSPC;
  disk.fail_count = 1'000'000;
  for (int change = 1; change <= 20; ++change) {
    journal.recordEndpointList(endpointListOf(kLargeListBytes, change));
    EXPECT_FALSE(journal.flush());
  }
  EXPECT_LE(journal.unwrittenBytes(), 2 * kLargeListBytes);
  disk.fail_errno = 0;
  EXPECT_TRUE(journal.flush());
}

}  // namespace
}  // namespace delivery
