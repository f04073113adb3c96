// The journal's file format, as docs/journal.md states it: what a record says, how it is found
// among damage, and what all of them together leave open. No file calls.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/clocks.h"
#include "decision/scheduler.h"
#include "storage/accepted_message.h"

namespace delivery {

struct JournalEntry {
  AcceptedMessage message;
  std::vector<JournaledAttempt> attempts;
  bool notice_pending = false;  // its notice is owed
  CompletionNotice notice;
  std::uint64_t order = 0;
};

// What the first record of a file says.
struct JournalHead {
  std::int64_t version = 0;
  bool durable = false;
  Micros clock_shift = 0;  // the shift of its times
  Micros written_at = 0;   // when it was written, on disk's clock
  std::string boot;
};

constexpr std::int64_t kJournalVersion = 2;
constexpr std::size_t kRecordOverhead = 24;  // of version 2, besides type and fields

// Payloads of version 2, from the type on.
std::string headPayload(const JournalHead& h);
std::string acceptedPayload(const AcceptedMessage& m, const DiskClock& clock);
std::string attemptedPayload(const std::string& id, const JournaledAttempt& a, const DiskClock& clock);
std::string neverRanPayload(const std::string& id, std::size_t attempt);
std::string owedPayload(const std::string& id, const CompletionNotice& n);
std::string overPayload(const std::string& id);
std::string listPayload(const std::string& list);
std::string ailingPayload(const HealthRecord& a, const DiskClock& clock);
std::string framed(std::uint64_t number, const std::string& payload);
std::size_t sizeOnDisk(const AcceptedMessage& m);

// The records of a file, wherever they stand.
struct JournalScan {
  struct Record {
    std::uint64_t number = 0;
    std::int64_t version = kJournalVersion;
    std::string_view payload;  // from the type on, in the scanned data
  };
  std::vector<Record> records;                               // by number, each once
  std::vector<std::pair<std::size_t, std::size_t>> damaged;  // stretches that can't be read: from, to
  std::size_t repeated = 0;                                  // records that came before
  std::size_t sound_end = 0;                                 // of the last record in the file
  bool torn = false;                                         // the tail is a write that was cut short
  bool damaged_tail = false;
};
JournalScan scanJournal(const std::string& data);

// What the records leave open.
class JournalState {
 public:
  // What may apply() say of a record?
  enum class Applied { yes, contradicts, unreadable };
  Applied apply(std::string_view payload, std::int64_t version, const DiskClock& clock);
  // Each open message may have had an attempt that is not known, sent last or long ago. Guards against a
  // second effect. Harm: unsafe ones among them are given up though they may never have been sent.
  void assumeUnknownAttempts();

  std::map<std::string, JournalEntry> entries;
  std::string endpoint_list;  // discovery's last, empty if none
  std::map<std::pair<std::int64_t, std::string>, HealthRecord> health_records;  // the latest of each

 private:
  std::uint64_t next_order_ = 0;
};

// A whole file, read.
struct JournalReading {
  JournalScan scan;
  JournalState state;
  JournalHead head;               // the newest; version 0: none
  std::size_t contradictory = 0;  // records that contradict others
  std::size_t unreadable = 0;     // sound ones of an unknown type or a newer version, or too short
  std::size_t missing = 0;        // stretches of numbers
  std::uint64_t next_number = 1;
  bool power_cut = false;   // another boot, and not all that was promised had to be on disk
  bool same_clock = false;  // the monotonic clock goes on
  DiskClock clock;          // for the times in it, and those to come
  bool damaged() const { return !scan.damaged.empty() || missing > 0 || unreadable > 0 || contradictory > 0; }
};
JournalReading readJournal(const std::string& data, const Clocks& now);

}  // namespace delivery
