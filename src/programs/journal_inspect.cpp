// Tells what a sender's journal holds. Reads only, also beside a running sender.
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>

#include "storage/journal_format.h"

using namespace delivery;

namespace {

enum Exit { kSound = 0, kDamaged = 1, kUnreadable = 2 };

int check(const std::string& folder) {
  const std::string path = folder + "/journal";
  std::ifstream file(path, std::ios::binary);
  if (!file || std::filesystem::is_directory(path)) {
    std::cerr << "can't be read: " << path << '\n';
    return kUnreadable;
  }
  const std::string data{std::istreambuf_iterator<char>(file), {}};
  const Clocks now = readClocks();
  const JournalReading r = readJournal(data, now);
  if (!data.empty() && r.scan.records.empty()) {
    std::cerr << "not a journal: " << path << '\n';
    return kUnreadable;
  }
  std::size_t held = 0, tried = 0, owed = 0;
  for (const auto& [id, e] : r.state.entries) {
    if (e.notice_pending) {
      ++owed;
      std::cout << "owed " << id << ": " << (e.notice.returned ? "handed back" : "given up") << '\n';
      continue;
    }
    std::size_t may_have_run = 0;
    for (const JournaledAttempt& a : e.attempts)
      may_have_run += !a.never_ran;
    ++held;
    tried += may_have_run > 0;
    std::cout << "held " << id << ": destination " << e.message.destination << ", " << e.attempts.size()
              << " attempts, of which " << may_have_run << " may have run, "
              << e.message.deadline.remaining(now.monotonic) / 1000 << " ms left\n";
  }
  std::cout << r.scan.records.size() << " records in " << data.size() << " bytes, version " << r.head.version
            << (r.head.durable ? ", durable" : "") << (r.scan.torn ? ", a torn tail" : "") << '\n'
            << held << " messages held, " << tried << " of them may have run; " << owed << " notices owed\n";
  for (const auto& [from, to] : r.scan.damaged)
    std::cout << "damaged: bytes " << from << " to " << to << '\n';
  std::cout << r.scan.damaged.size() << " damaged stretches, " << r.missing << " gaps, " << r.unreadable
            << " records of an unknown kind, " << r.contradictory << " contradictory, " << r.scan.repeated
            << " repeated\n";
  std::error_code none;
  const auto aside = std::filesystem::file_size(folder + "/journal.damaged", none);
  if (!none)
    std::cout << "journal.damaged: " << aside << " bytes kept from earlier\n";
  return r.damaged() || r.scan.repeated > 0 ? kDamaged : kSound;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc == 3 && std::string(argv[1]) == "check")
    return check(argv[2]);
  std::cerr << "usage: journal_inspect check FOLDER\n";
  return kUnreadable;
}
