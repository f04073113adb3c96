// Prints the content of a sender's journal and whether it is damaged. The program only reads, so it can run
// while a sender uses the journal.
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>

#include "common/clocks.h"
#include "storage/recovery.h"

namespace {

using delivery::ByteRange;
using delivery::ClockReadings;
using delivery::JournaledMessage;
using delivery::ReplayResult;

enum class ExitCode {
  intact = 0,
  damaged = 1,
  unreadable_or_usage = 2,
};

std::optional<std::string> readFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file || std::filesystem::is_directory(path)) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

std::size_t countAttemptsThatMayHaveRun(const JournaledMessage& entry) {
  std::size_t count = 0;
  for (const delivery::JournaledAttempt& attempt : entry.attempts) {
    if (!attempt.never_ran) {
      ++count;
    }
  }
  return count;
}

void printPendingNotice(const JournaledMessage& entry) {
  std::cout << "notice pending " << entry.message.id << ": "
            << (entry.notice.returned ? "returned" : "abandoned") << '\n';
}

void printOpenMessage(const JournaledMessage& entry, std::size_t may_have_run, delivery::Micros now) {
  std::cout << "open " << entry.message.id << ": destination " << entry.message.destination << ", "
            << entry.attempts.size() << " attempts, of which " << may_have_run << " may have run, "
            << entry.message.deadline.remaining(now) / delivery::kMicrosPerMillisecond << " ms left\n";
}

struct EntryCounts {
  std::size_t open = 0;
  std::size_t may_have_run = 0;  // open messages with an attempt that may have run
  std::size_t pending_notices = 0;
};

EntryCounts printEntries(const ReplayResult& journal, delivery::Micros now) {
  EntryCounts counts;
  for (const auto& [message_id, entry] : journal.state.messages()) {
    if (entry.notice_pending) {
      ++counts.pending_notices;
      printPendingNotice(entry);
      continue;
    }
    const std::size_t may_have_run = countAttemptsThatMayHaveRun(entry);
    ++counts.open;
    if (may_have_run > 0) {
      ++counts.may_have_run;
    }
    printOpenMessage(entry, may_have_run, now);
  }
  return counts;
}

void printSummary(const ReplayResult& journal, std::size_t bytes, const EntryCounts& counts) {
  std::cout << journal.scan.records.size() << " records in " << bytes << " bytes, version "
            << journal.header.version << (journal.header.durable ? ", durable" : "")
            << (journal.scan.torn_write ? ", a torn write at the end" : "") << '\n';
  std::cout << counts.open << " messages open, " << counts.may_have_run << " of them may have run; "
            << counts.pending_notices << " notices pending\n";
}

void printDamage(const ReplayResult& journal) {
  for (const ByteRange& range : journal.scan.damaged_ranges) {
    std::cout << "damaged: bytes " << range.begin << " to " << range.end << '\n';
  }
  if (journal.scan.position_lost) {
    std::cout << "position lost in the last damaged range: " << journal.scan.unverified_records.size()
              << " unverified records, " << journal.abandoned_messages << " messages abandoned for them\n";
  }
  std::cout << journal.scan.damaged_ranges.size() << " damaged ranges, " << journal.gaps << " gaps, "
            << journal.unreadable_records << " unreadable records, " << journal.contradictory_records
            << " contradictory records, " << journal.scan.duplicate_records << " duplicate records\n";
}

void printQuarantine(const std::string& folder) {
  std::error_code error;
  const auto bytes = std::filesystem::file_size(folder + "/journal.damaged", error);
  if (!error) {
    std::cout << "journal.damaged: " << bytes << " bytes kept from earlier\n";
  }
}

ExitCode check(const std::string& folder) {
  const std::string path = folder + "/journal";
  const std::optional<std::string> data = readFile(path);
  if (!data) {
    std::cerr << "can't be read: " << path << '\n';
    return ExitCode::unreadable_or_usage;
  }
  const ClockReadings now = delivery::readClocks();
  const ReplayResult journal = delivery::replayJournal(*data, now);
  if (!data->empty() && journal.scan.records.empty() && journal.scan.unverified_records.empty()) {
    std::cerr << "not a journal: " << path << '\n';
    return ExitCode::unreadable_or_usage;
  }
  const EntryCounts counts = printEntries(journal, now.monotonic);
  printSummary(journal, data->size(), counts);
  printDamage(journal);
  printQuarantine(folder);
  const bool is_intact = !journal.damaged() && journal.scan.duplicate_records == 0;
  return is_intact ? ExitCode::intact : ExitCode::damaged;
}

ExitCode run(int argument_count, char** arguments) {
  if (argument_count == 3 && std::string(arguments[1]) == "check") {
    return check(arguments[2]);
  }
  std::cerr << "usage: journal_inspect check FOLDER\n";
  return ExitCode::unreadable_or_usage;
}

}  // namespace

int main(int argc, char** argv) {
  return static_cast<int>(run(argc, argv));
}
