// Reads a whole journal file: what it leaves open, what was damaged, and how its clock continues. Makes no
// file calls.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "common/clocks.h"
#include "storage/journal_state.h"
#include "storage/record_codec.h"
#include "storage/record_scanner.h"

namespace delivery {

struct ReplayResult {
  ScanResult scan;
  JournalState state;
  FileHeader header;                      // the newest; version 0: none was found
  std::size_t contradictory_records = 0;  // passed over
  std::size_t unreadable_records = 0;     // of an unknown type or a newer version, or too short
  std::size_t gaps = 0;                   // ranges of sequence numbers that are missing
  std::uint64_t next_sequence_number = 1;
  bool power_cut = false;        // another boot, and what was promised need not have been synced before
  bool clock_continues = false;  // the monotonic clock is the one of the process that wrote the file
  PersistentClock clock;         // of the times in the file, and of those to come

  // Whether anything was lost other than by a write that was cut short.
  bool damaged() const;
};

// The scan's records point into `data`, which has to outlive them.
ReplayResult replayJournal(const std::string& data, const ClockReadings& now);

}  // namespace delivery
