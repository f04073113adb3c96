// Tests the output and the exit codes of the program journal_inspect.
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <array>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <string>

#include "storage/journal_fixture.h"
#include "support/loopback.h"

namespace delivery {
namespace {

using loopback::TempFolder;

struct ProgramResult {
  int exit_code = 0;
  std::string output;  // standard output and standard error
};

ProgramResult runJournalInspect(const std::string& arguments) {
  const std::string command = std::string(JOURNAL_INSPECT) + " " + arguments + " 2>&1";
  FILE* pipe = ::popen(command.c_str(), "r");
  ProgramResult result;
  std::array<char, 4096> buffer{};
  for (;;) {
    const std::size_t count = std::fread(buffer.data(), 1, buffer.size(), pipe);
    if (count == 0) {
      break;
    }
    result.output.append(buffer.data(), count);
  }
  result.exit_code = WEXITSTATUS(::pclose(pipe));
  return result;
}

bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

TEST(JournalInspect, PrintsOpenMessagesPendingNoticesAndDamage) {
  const TempFolder folder;
  const std::string journal_path = folder.path() + "/journal";
  const std::string check_folder = "check " + folder.path();
  const auto write_journal = [&](const std::string& data) {
    std::ofstream(journal_path, std::ios::binary | std::ios::trunc) << data;
  };
  EXPECT_EQ(2, runJournalInspect("").exit_code);
  EXPECT_EQ(2, runJournalInspect("repair " + folder.path()).exit_code);
  EXPECT_EQ(2, runJournalInspect(check_folder).exit_code) << "the folder has no journal";

  const std::string complete = journalWithEveryRecordType(false, readClocks());
  write_journal(complete);
  const ProgramResult intact = runJournalInspect(check_folder);
  EXPECT_EQ(0, intact.exit_code) << intact.output;
  EXPECT_TRUE(contains(intact.output, "open run: destination 7, 1 attempts, of which 1 may have run"))
      << intact.output;
  EXPECT_TRUE(contains(intact.output, "notice pending pending: returned")) << intact.output;

  // An incomplete last write is no damage: it occurs while a sender is running.
  write_journal(complete.substr(0, complete.size() - 3));
  EXPECT_EQ(0, runJournalInspect(check_folder).exit_code);

  std::string damaged_data = complete;
  damaged_data[complete.size() / 2] ^= 1;
  write_journal(damaged_data);
  const ProgramResult damaged = runJournalInspect(check_folder);
  EXPECT_EQ(1, damaged.exit_code);
  EXPECT_TRUE(contains(damaged.output, "1 damaged ranges")) << damaged.output;
  std::ifstream file(journal_path, std::ios::binary);
  EXPECT_EQ(damaged_data, std::string(std::istreambuf_iterator<char>(file), {}))
      << "the program must only read";

  write_journal("no journal at all");
  EXPECT_EQ(2, runJournalInspect(check_folder).exit_code);
}

}  // namespace
}  // namespace delivery
