// The scan of a journal file for its valid records: damaged ranges, torn writes and duplicates.
#include "storage/record_scanner.h"

#include <gtest/gtest.h>

#include <string>

namespace delivery {
namespace {

const std::string kFirst = frameRecord(1, "first");
const std::string kSecond = frameRecord(2, "second");
const std::string kThird = frameRecord(3, "third");

TEST(RecordScanner, FindsAllRecordsOfAnIntactFile) {
  const std::string data = kFirst + kSecond;
  const ScanResult scan = scanRecords(data);
  ASSERT_EQ(2u, scan.records.size());
  EXPECT_EQ("first", scan.records[0].payload);
  EXPECT_EQ(1u, scan.records[0].sequence_number);
  EXPECT_EQ(2, scan.records[0].version);
  EXPECT_EQ("second", scan.records[1].payload);
  EXPECT_EQ(2u, scan.records[1].sequence_number);
  EXPECT_TRUE(scan.damaged_ranges.empty());
  EXPECT_EQ(data.size(), scan.valid_end);
  EXPECT_FALSE(scan.torn_write || scan.damaged_tail);
}

TEST(RecordScanner, ReportsTheByteRangeOfADamagedRecord) {
  std::string data = kFirst + kSecond + kThird;
  data[kFirst.size() + kFrameHeaderBytes] ^= 1;
  const ScanResult scan = scanRecords(data);
  ASSERT_EQ(2u, scan.records.size());
  EXPECT_EQ("third", scan.records[1].payload);
  ASSERT_EQ(1u, scan.damaged_ranges.size());
  EXPECT_EQ(kFirst.size(), scan.damaged_ranges[0].begin);
  EXPECT_EQ(kFirst.size() + kSecond.size(), scan.damaged_ranges[0].end);
  EXPECT_FALSE(scan.torn_write || scan.damaged_tail);
}

TEST(RecordScanner, DistinguishesATornWriteFromADamagedTail) {
  const std::string torn = kFirst + kSecond.substr(0, kSecond.size() - 1);
  const ScanResult torn_scan = scanRecords(torn);
  EXPECT_TRUE(torn_scan.torn_write);
  EXPECT_FALSE(torn_scan.damaged_tail);
  EXPECT_TRUE(torn_scan.damaged_ranges.empty());
  EXPECT_EQ(kFirst.size(), torn_scan.valid_end);

  std::string damaged = kFirst + kSecond;
  damaged.back() ^= 1;
  const ScanResult damaged_scan = scanRecords(damaged);
  EXPECT_FALSE(damaged_scan.torn_write);
  EXPECT_TRUE(damaged_scan.damaged_tail);
  ASSERT_EQ(1u, damaged_scan.damaged_ranges.size());
  EXPECT_EQ(damaged.size(), damaged_scan.damaged_ranges[0].end);
}

TEST(RecordScanner, SortsBySequenceNumberAndDropsDuplicates) {
  const ScanResult scan = scanRecords(kSecond + kFirst + kSecond);
  ASSERT_EQ(2u, scan.records.size());
  EXPECT_EQ(1u, scan.records[0].sequence_number);
  EXPECT_EQ(2u, scan.records[1].sequence_number);
  EXPECT_EQ(1u, scan.duplicate_records);
}

}  // namespace
}  // namespace delivery
