// Compatibility with journals that an earlier version of the program wrote: they have to be recovered as that
// version recovered them. The journal files and their expected content are in tests/data/journal, and
// tests/data/README.md says how they were made. These files must not be generated again.
#include <gtest/gtest.h>

#include <algorithm>
#include <cctype>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "storage/journal.h"
#include "support/journal_dump.h"
#include "support/loopback.h"

namespace delivery {
namespace {

using loopback::TempFolder;
namespace fs = std::filesystem;

const std::string kDataFolder = std::string(TEST_DATA_DIR) + "/journal";

std::string readFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  EXPECT_TRUE(file) << path;
  return {std::istreambuf_iterator<char>(file), {}};
}

// The content of FILE.CASE.expected: what recovery of FILE.journal has to yield at the clock readings that
// the first three lines state.
struct ExpectedRecovery {
  std::string name;
  std::string journal_path;
  ClockReadings read_at;
  std::string file_text;  // what journal_dump::fileText() has to return
  std::string open_text;  // what journal_dump::openText() has to return
};

// Reads a line, which has to begin with `prefix`, and returns the rest of it.
std::string readLineAfterPrefix(std::istream& in, const std::string& prefix) {
  std::string line;
  std::getline(in, line);
  EXPECT_EQ(0u, line.find(prefix)) << line;
  return line.substr(std::min(prefix.size(), line.size()));
}

ExpectedRecovery loadExpectedRecovery(const fs::path& path) {
  ExpectedRecovery expected;
  expected.name = path.filename().string();
  expected.journal_path = kDataFolder + "/" + expected.name.substr(0, expected.name.find('.')) + ".journal";
  std::istringstream in(readFile(path.string()));
  expected.read_at.monotonic = std::stoll(readLineAfterPrefix(in, "read at monotonic us: "));
  expected.read_at.unix = std::stoll(readLineAfterPrefix(in, "read at Unix us: "));
  expected.read_at.boot = readLineAfterPrefix(in, "read in boot: ");
  std::string* section = &expected.file_text;
  for (std::string line; std::getline(in, line);) {
    if (line.rfind("accepted messages still open: ", 0) == 0) {
      section = &expected.open_text;
    }
    *section += line + "\n";
  }
  EXPECT_FALSE(expected.file_text.empty() || expected.open_text.empty()) << expected.name;
  return expected;
}

std::vector<std::string> fileNames(const char* extension) {
  std::vector<std::string> names;
  for (const auto& file : fs::directory_iterator(kDataFolder)) {
    if (file.path().extension() == extension) {
      names.push_back(file.path().filename().string());
    }
  }
  std::sort(names.begin(), names.end());
  return names;
}

class JournalCompatibility : public testing::TestWithParam<std::string> {};
class JournalRewriteCompatibility : public testing::TestWithParam<std::string> {};

TEST_P(JournalCompatibility, ARecordedFileIsReplayedAsBefore) {
  const ExpectedRecovery expected = loadExpectedRecovery(kDataFolder + "/" + GetParam());
  const std::string data = readFile(expected.journal_path);
  const ReplayResult journal = replayJournal(data, expected.read_at);
  EXPECT_EQ(expected.file_text, journal_dump::fileText(journal));
  EXPECT_EQ(expected.open_text, journal_dump::openText(journal));
}

// Opened for writing, which may compact it; what that left is opened once more.
TEST_P(JournalCompatibility, ARecordedFileIsRecoveredAsBefore) {
  const ExpectedRecovery expected = loadExpectedRecovery(kDataFolder + "/" + GetParam());
  const bool counts_as_damaged = expected.file_text.find("\ncounts as damaged: yes\n") != std::string::npos;
  const TempFolder folder;
  fs::copy_file(expected.journal_path, folder.path() + "/journal");
  for (const bool first_opening : {true, false}) {
    SCOPED_TRACE(first_opening ? "first opening" : "second opening");
    const Journal journal(folder.path(), {3'000'000}, expected.read_at);
    const Journal::Recovered& recovered = journal.recovered();
    EXPECT_EQ(expected.open_text,
              journal_dump::openText(recovered.messages, recovered.endpoint_list, recovered.health_records));
    EXPECT_EQ(counts_as_damaged && first_opening, recovered.damaged);
  }
}

// The file after it was opened has to be the same byte for byte, so that operators can go back to the
// previous version of the program.
TEST_P(JournalRewriteCompatibility, OpeningWritesTheSameBytesAsBefore) {
  const std::string expected_name = fs::path(GetParam()).replace_extension(".expected").string();
  const ExpectedRecovery expected = loadExpectedRecovery(kDataFolder + "/" + expected_name);
  const TempFolder folder;
  fs::copy_file(expected.journal_path, folder.path() + "/journal");
  { const Journal journal(folder.path(), {3'000'000}, expected.read_at); }
  EXPECT_TRUE(readFile(kDataFolder + "/" + GetParam()) == readFile(folder.path() + "/journal"));
}

std::string testName(const testing::TestParamInfo<std::string>& file) {
  std::string name;
  for (const char c : file.param.substr(0, file.param.rfind('.'))) {
    name += std::isalnum(static_cast<unsigned char>(c)) != 0 ? c : '_';
  }
  return name;
}
INSTANTIATE_TEST_SUITE_P(All, JournalCompatibility, testing::ValuesIn(fileNames(".expected")), testName);
INSTANTIATE_TEST_SUITE_P(All, JournalRewriteCompatibility, testing::ValuesIn(fileNames(".rewritten")),
                         testName);

// Each recorded file is a test case, so a missing file would otherwise go unnoticed.
TEST(JournalCompatibilityData, ContainsAllListedFiles) {
  std::vector<std::string> found;
  for (const char* extension : {".expected", ".journal", ".rewritten"}) {
    for (std::string& name : fileNames(extension)) {
      found.push_back(std::move(name));
    }
  }
  std::vector<std::string> listed;
  std::istringstream lines(readFile(kDataFolder + "/FILES"));
  for (std::string line; std::getline(lines, line);) {
    listed.push_back(line);
  }
  EXPECT_EQ(listed, found);
  EXPECT_FALSE(found.empty());
}

}  // namespace
}  // namespace delivery
