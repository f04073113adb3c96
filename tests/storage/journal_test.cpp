// Journal on real files: recovery after a restart, torn writes, damaged records, a full disk budget, and file
// operations that fail.
#include "storage/journal.h"

#include <gtest/gtest.h>

#include <cerrno>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include "journal_fixture.h"
#include "support/loopback.h"

namespace delivery {
namespace {

using loopback::TempFolder;

SubmittedMessage binaryMessage(const std::string& id, std::size_t body_bytes = 20) {
  SubmittedMessage message;
  message.id = id;
  message.message_class = "payment";
  message.idempotency_key = "key" + id;
  message.body = std::string(body_bytes, 'b') + '\0' + "\r\n";
  message.destination = 7;
  message.deadline = Deadline(123456789);
  message.time_to_live = 28'000'000;
  return message;
}

std::string readFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

void writeFile(const std::string& path, const std::string& data) {
  std::ofstream(path, std::ios::binary | std::ios::trunc) << data;
}

TEST(Journal, RecoversOpenMessagesInOrderOfAcceptance) {
  const TempFolder folder;
  {
    Journal journal(folder.path(), {kDiskBytes});
    journal.recordAccepted(binaryMessage("b"));
    journal.recordAccepted(binaryMessage("a"));
    journal.recordAccepted(binaryMessage("c"));
    journal.recordAttempt("a", {"e1", 55, false});
    journal.recordAttempt("a", {"e2", 66, false});
    journal.recordNeverRan("a", 0);
    journal.recordCompleted("c");
    journal.recordNoticePending("b", {true, 250});
    journal.recordHealth({"", 7, false, 11, 0});
    journal.recordHealth({"", 7, true, 99, 123});
    journal.recordEndpointList("{\"index\":4}");
    ASSERT_TRUE(journal.flush());
  }
  const Journal journal(folder.path(), {kDiskBytes});
  const Journal::Recovered& recovered = journal.recovered();
  ASSERT_EQ(2u, recovered.messages.size());
  const JournaledMessage& first = recovered.messages[0];
  EXPECT_EQ("b", first.message.id);
  EXPECT_TRUE(first.notice_pending && first.notice.returned);
  EXPECT_EQ(250, first.notice.retry_after_ms);
  const JournaledMessage& second = recovered.messages[1];
  EXPECT_EQ(binaryMessage("a").body, second.message.body);
  EXPECT_EQ("keya", second.message.idempotency_key);
  EXPECT_EQ(7, second.message.destination);
  EXPECT_EQ(123456789, second.message.deadline.at());
  ASSERT_EQ(2u, second.attempts.size());
  EXPECT_TRUE(second.attempts[0].never_ran);
  EXPECT_FALSE(second.attempts[1].never_ran);
  EXPECT_EQ("e2", second.attempts[1].endpoint);
  EXPECT_EQ(66, second.attempts[1].sent_at);
  ASSERT_EQ(1u, recovered.health_records.size());  // only the latest of each destination
  EXPECT_TRUE(recovered.health_records[0].ejected);
  EXPECT_EQ(99, recovered.health_records[0].warming_since);
  EXPECT_EQ(123, recovered.health_records[0].retry_after_until);
  EXPECT_EQ("{\"index\":4}", recovered.endpoint_list);
  EXPECT_FALSE(recovered.damaged);
  EXPECT_EQ(12u, recovered.report.records) << recovered.report;
}

TEST(Journal, TruncatesATornWriteOfAnyLengthAndKeepsEarlierRecords) {
  const TempFolder folder;
  const std::string path = folder.path() + "/journal";
  {
    Journal journal(folder.path(), {kDiskBytes});
    journal.recordAccepted(binaryMessage("a"));
    journal.flush();
  }
  const std::string first = readFile(path);
  {
    Journal journal(folder.path(), {kDiskBytes});
    journal.recordAccepted(binaryMessage("b"));
    journal.flush();
  }
  const std::string both = readFile(path);
  for (std::size_t size = first.size(); size < both.size(); ++size) {
    writeFile(path, both.substr(0, size));
    {
      Journal journal(folder.path(), {kDiskBytes});
      ASSERT_EQ(1u, journal.recovered().messages.size()) << size;
      EXPECT_EQ(size > first.size(), journal.recovered().report.torn_write);
      EXPECT_FALSE(journal.recovered().damaged);
      journal.recordAccepted(binaryMessage("c"));  // is readable after the truncated write
      ASSERT_TRUE(journal.flush());
    }
    const Journal reopened(folder.path(), {kDiskBytes});
    ASSERT_EQ(2u, reopened.recovered().messages.size()) << size;
  }
}

// A message whose record of an attempt is damaged must not be sent as if it was never sent before: the
// attempt may have run. The damaged record may belong to any message that was open at that point.
TEST(Journal, SkipsADamagedRecordAndAssumesAnAttemptOfEachOpenMessage) {
  const TempFolder folder;
  const std::string path = folder.path() + "/journal";
  std::size_t attempt_offset = 0;
  {
    Journal journal(folder.path(), {kDiskBytes});
    journal.recordAccepted(binaryMessage("a"));
    journal.flush();
    attempt_offset = std::filesystem::file_size(path);
    journal.recordAttempt("a", {"e1", 55, false});
    journal.flush();
    journal.recordAccepted(binaryMessage("b"));
    journal.flush();
  }
  const std::string intact = readFile(path);
  for (std::size_t offset = attempt_offset; offset < attempt_offset + 20; ++offset) {
    std::string data = intact;
    data[offset] = static_cast<char>(data[offset] ^ 0x55);
    writeFile(path, data);
    const Journal journal(folder.path(), {kDiskBytes});
    const Journal::Recovered& recovered = journal.recovered();
    ASSERT_EQ(2u, recovered.messages.size()) << offset;
    EXPECT_TRUE(recovered.damaged);
    ASSERT_EQ(1u, recovered.messages[0].attempts.size());
    EXPECT_FALSE(recovered.messages[0].attempts[0].never_ran);
    EXPECT_TRUE(recovered.messages[1].attempts.empty());  // accepted after the damage
  }
}

std::uint64_t bytesOnDisk(const std::string& folder) {
  constexpr std::uint64_t kBlockBytes = 512;
  std::uint64_t sum = 0;
  for (const auto& file : std::filesystem::directory_iterator(folder)) {
    sum += (file.file_size() + kBlockBytes - 1) / kBlockBytes * kBlockBytes;
  }
  return sum;
}

// Exceeding the disk budget counts as a crash. Therefore messages that do not fit are rejected, and
// completed messages free their space.
TEST(Journal, StaysWithinItsDiskBudgetDuringCompaction) {
  const TempFolder folder;
  constexpr std::uint64_t kBudgetBytes = 1'000'000;
  Journal journal(folder.path(), {kBudgetBytes});
  int accepted = 0;
  int rejected = 0;
  std::vector<std::string> open;
  for (int i = 0; i < 3000; ++i) {
    const SubmittedMessage message = binaryMessage("m" + std::to_string(i), 3000);
    if (!journal.reserve(message)) {
      ++rejected;
      ASSERT_FALSE(open.empty());
      journal.recordCompleted(open.front());
      open.erase(open.begin());
    } else {
      ++accepted;
      journal.recordAccepted(message);
      open.push_back(message.id);
      for (int attempt = 0; attempt < 12; ++attempt) {
        journal.recordAttempt(message.id, {"s-5be2a07c", i, false});
      }
    }
    ASSERT_TRUE(journal.flush()) << i;
    ASSERT_LE(bytesOnDisk(folder.path()), kBudgetBytes);
  }
  EXPECT_GT(accepted, 1000);
  EXPECT_GT(rejected, 1000);
  const Journal reopened(folder.path(), {kBudgetBytes});
  EXPECT_EQ(open.size(), reopened.recovered().messages.size());
}

TEST(Journal, ThrowsTheFailedOperationIfTheFileCannotBeOpened) {
  EXPECT_THROW(Journal("/nonexistent/folder", {kDiskBytes}), std::runtime_error);
  try {
    const Journal journal("/nonexistent/folder", {kDiskBytes});
    FAIL() << "the journal was opened in a folder that does not exist";
  } catch (const JournalError& error) {
    EXPECT_EQ(FileOperation::open, error.operation());
    EXPECT_EQ("/nonexistent/folder/journal", error.path());
    EXPECT_EQ(ENOENT, error.code().value());
    EXPECT_STREQ("journal: /nonexistent/folder/journal: No such file or directory", error.what());
  }
}

TEST(Journal, ReportsTheOperationThatMadeAFlushFail) {
  SimulatedDisk disk;
  Journal journal(kFolder, {kDiskBytes}, kNow, disk);
  journal.recordAccepted(testMessage("a"));
  disk.fail_errno = ENOSPC;
  disk.fail_count = 1'000'000;
  EXPECT_FALSE(journal.flush());
  ASSERT_TRUE(journal.flushError().has_value());
  EXPECT_EQ(FileOperation::write, journal.flushError()->operation());
  EXPECT_EQ(kJournalPath, journal.flushError()->path());
  EXPECT_EQ(ENOSPC, journal.flushError()->code().value());
  disk.fail_errno = 0;
  EXPECT_TRUE(journal.flush());
  EXPECT_FALSE(journal.flushError().has_value());
  EXPECT_EQ(1u, reopen(disk).messages.count("a"));
}

}  // namespace
}  // namespace delivery
