// Recovers the state of a journal from the content of its file: scans the records and replays them in the
// order of their sequence numbers, reports damage, and decides how the file's clock continues. No file
// operations.
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
  FileHeader header;                      // the latest one; version 0 if there is none
  std::size_t contradictory_records = 0;  // ignored, as they do not fit the earlier ones
  std::size_t unreadable_records = 0;     // of an unknown type or a newer version, or too short
  std::size_t gaps = 0;                   // ranges of missing sequence numbers
  std::size_t abandoned_messages = 0;     // found in unverified records, and given a notice
  std::uint64_t next_sequence_number = 1;
  bool power_cut = false;        // the machine has rebooted, and the file was written without syncs
  bool clock_continues = false;  // the monotonic clock is still that of the process that wrote the file
  PersistentClock clock;         // for the times in the file and for those to be written

  // Whether records may have been lost other than by a torn write.
  bool damaged() const;
};

// `data` is the content of a journal file, and `now` the clocks at the moment of recovery. The records of the
// scan point into `data`, which has to outlive them.
ReplayResult replayJournal(const std::string& data, const ClockReadings& now,
                           const CompletedMessageLimits& completed_limits = {});

}  // namespace delivery
