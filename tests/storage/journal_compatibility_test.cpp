// Journals that an earlier version wrote are read as that version read them: the files and what they told are
// in tests/data/journal, and how they came about in tests/data/README.md. These files are never made anew.
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>

#include "storage/journal.h"
#include "support/journal_dump.h"
#include "support/loopback.h"

namespace delivery {
namespace {

using loopback::TempFolder;
namespace fs = std::filesystem;

const std::string kFolder = std::string(TEST_DATA_DIR) + "/journal";

std::string readFile(const std::string& path) {
  std::ifstream f(path, std::ios::binary);
  EXPECT_TRUE(f) << path;
  return {std::istreambuf_iterator<char>(f), {}};
}

// A recorded reading: FILE.CASE.expected, of FILE.journal, at the clocks that its first three lines state.
struct Recorded {
  std::string name, journal;
  ClockReadings at;
  std::string file, open;  // the parts of the text: of the file as such, and of what it leaves open
};

Recorded recorded(const fs::path& path) {
  Recorded r;
  r.name = path.filename().string();
  r.journal = kFolder + "/" + r.name.substr(0, r.name.find('.')) + ".journal";
  std::istringstream in(readFile(path.string()));
  const auto stated = [&](const std::string& what) {
    std::string line;
    std::getline(in, line);
    EXPECT_EQ(0u, line.find(what)) << r.name;
    return line.substr(std::min(what.size(), line.size()));
  };
  r.at.monotonic = std::stoll(stated("read at monotonic us: "));
  r.at.unix = std::stoll(stated("read at Unix us: "));
  r.at.boot = stated("read in boot: ");
  bool open = false;
  for (std::string line; std::getline(in, line);) {
    open = open || line.rfind("accepted messages still open: ", 0) == 0;
    (open ? r.open : r.file) += line + "\n";
  }
  EXPECT_FALSE(r.file.empty() || r.open.empty()) << r.name;
  return r;
}

std::vector<std::string> names(const char* extension) {
  std::vector<std::string> out;
  for (const auto& f : fs::directory_iterator(kFolder))
    if (f.path().extension() == extension)
      out.push_back(f.path().filename().string());
  std::sort(out.begin(), out.end());
  return out;
}

class RecordedJournal : public testing::TestWithParam<std::string> {};
class RewrittenJournal : public testing::TestWithParam<std::string> {};

TEST_P(RecordedJournal, IsReadAsItWas) {
  const Recorded r = recorded(kFolder + "/" + GetParam());
  const std::string data = readFile(r.journal);
  const RecoveredJournal reading = readJournal(data, r.at);
  EXPECT_EQ(r.file, journal_dump::fileText(reading));
  EXPECT_EQ(r.open, journal_dump::openText(reading));
}

// Opened for good, which may write it anew; what it then left is opened once more.
TEST_P(RecordedJournal, IsRecoveredAsItWas) {
  const Recorded r = recorded(kFolder + "/" + GetParam());
  TempFolder folder;
  fs::copy_file(r.journal, folder.path() + "/journal");
  for (const char* time : {"first", "second"}) {
    Journal j(folder.path(), {3'000'000}, r.at);
    const Journal::Recovered& found = j.recovered();
    EXPECT_EQ(r.open, journal_dump::openText(found.entries, found.endpoint_list, found.health_records))
        << time << " opening";
    const bool damaged = r.file.find("\ncounts as damaged: yes\n") != std::string::npos;
    EXPECT_EQ(damaged && time == std::string("first"), found.damaged) << time << " opening";
  }
}

// What the opening leaves, byte for byte, so that a sender can go back to the version before.
TEST_P(RewrittenJournal, IsTheSame) {
  const Recorded r = recorded(kFolder + "/" + fs::path(GetParam()).replace_extension(".expected").string());
  TempFolder folder;
  fs::copy_file(r.journal, folder.path() + "/journal");
  { Journal j(folder.path(), {3'000'000}, r.at); }
  EXPECT_TRUE(readFile(kFolder + "/" + GetParam()) == readFile(folder.path() + "/journal"));
}

std::string testName(const testing::TestParamInfo<std::string>& file) {
  std::string name;
  for (const char c : file.param.substr(0, file.param.rfind('.')))
    name += std::isalnum(c) ? c : '_';
  return name;
}
INSTANTIATE_TEST_SUITE_P(All, RecordedJournal, testing::ValuesIn(names(".expected")), testName);
INSTANTIATE_TEST_SUITE_P(All, RewrittenJournal, testing::ValuesIn(names(".rewritten")), testName);

// So that a file that is lost is missed.
TEST(RecordedJournals, AreAllThere) {
  std::vector<std::string> there, listed;
  for (const char* extension : {".expected", ".journal", ".rewritten"})
    for (std::string& name : names(extension))
      there.push_back(std::move(name));
  std::istringstream lines(readFile(kFolder + "/FILES"));
  for (std::string line; std::getline(lines, line);)
    listed.push_back(line);
  EXPECT_EQ(listed, there);
  EXPECT_FALSE(there.empty());
}

}  // namespace
}  // namespace delivery
