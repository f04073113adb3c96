// Journals that an earlier version wrote are read as that version read them: the files and what they told are
// in tests/data/journal, and how they came about in tests/data/README.md. These files are never made anew.
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

const std::string kFolder = std::string(TEST_DATA_DIR) + "/journal";

std::string readFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  EXPECT_TRUE(file) << path;
  return {std::istreambuf_iterator<char>(file), {}};
}

// A recorded reading: FILE.CASE.expected, of FILE.journal, at the clocks that its first three lines state.
struct ExpectedReading {
  std::string name;
  std::string journal_path;
  ClockReadings read_at;
  std::string file_text;  // of the file as such
  std::string open_text;  // of what it leaves open
};

// The rest of the next line, which has to begin with `prefix`.
std::string readPrefixedLine(std::istream& in, const std::string& prefix) {
  std::string line;
  std::getline(in, line);
  EXPECT_EQ(0u, line.find(prefix)) << line;
  return line.substr(std::min(prefix.size(), line.size()));
}

ExpectedReading loadExpectedReading(const fs::path& path) {
  ExpectedReading expected;
  expected.name = path.filename().string();
  expected.journal_path = kFolder + "/" + expected.name.substr(0, expected.name.find('.')) + ".journal";
  std::istringstream in(readFile(path.string()));
  expected.read_at.monotonic = std::stoll(readPrefixedLine(in, "read at monotonic us: "));
  expected.read_at.unix = std::stoll(readPrefixedLine(in, "read at Unix us: "));
  expected.read_at.boot = readPrefixedLine(in, "read in boot: ");
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
  for (const auto& file : fs::directory_iterator(kFolder)) {
    if (file.path().extension() == extension) {
      names.push_back(file.path().filename().string());
    }
  }
  std::sort(names.begin(), names.end());
  return names;
}

class RecordedJournal : public testing::TestWithParam<std::string> {};
class RewrittenJournal : public testing::TestWithParam<std::string> {};

TEST_P(RecordedJournal, IsReadAsItWas) {
  const ExpectedReading expected = loadExpectedReading(kFolder + "/" + GetParam());
  const std::string data = readFile(expected.journal_path);
  const ReplayResult journal = replayJournal(data, expected.read_at);
  EXPECT_EQ(expected.file_text, journal_dump::fileText(journal));
  EXPECT_EQ(expected.open_text, journal_dump::openText(journal));
}

// Opened for writing, which may compact it; what that left is opened once more.
TEST_P(RecordedJournal, IsRecoveredAsItWas) {
  const ExpectedReading expected = loadExpectedReading(kFolder + "/" + GetParam());
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

// What the opening leaves, byte for byte, so that a sender can go back to the version before.
TEST_P(RewrittenJournal, IsTheSame) {
  const std::string expected_name = fs::path(GetParam()).replace_extension(".expected").string();
  const ExpectedReading expected = loadExpectedReading(kFolder + "/" + expected_name);
  const TempFolder folder;
  fs::copy_file(expected.journal_path, folder.path() + "/journal");
  { const Journal journal(folder.path(), {3'000'000}, expected.read_at); }
  EXPECT_TRUE(readFile(kFolder + "/" + GetParam()) == readFile(folder.path() + "/journal"));
}

std::string testName(const testing::TestParamInfo<std::string>& file) {
  std::string name;
  for (const char c : file.param.substr(0, file.param.rfind('.'))) {
    name += std::isalnum(static_cast<unsigned char>(c)) != 0 ? c : '_';
  }
  return name;
}
INSTANTIATE_TEST_SUITE_P(All, RecordedJournal, testing::ValuesIn(fileNames(".expected")), testName);
INSTANTIATE_TEST_SUITE_P(All, RewrittenJournal, testing::ValuesIn(fileNames(".rewritten")), testName);

// So that a file that is lost is missed.
TEST(RecordedJournals, AreAllThere) {
  std::vector<std::string> found;
  for (const char* extension : {".expected", ".journal", ".rewritten"}) {
    for (std::string& name : fileNames(extension)) {
      found.push_back(std::move(name));
    }
  }
  std::vector<std::string> listed;
  std::istringstream lines(readFile(kFolder + "/FILES"));
  for (std::string line; std::getline(lines, line);) {
    listed.push_back(line);
  }
  EXPECT_EQ(listed, found);
  EXPECT_FALSE(found.empty());
}

}  // namespace
}  // namespace delivery
