// The summary of a journal's recovery for the log.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace delivery {

struct RecoveryReport {
  std::size_t records = 0;  // valid records, without duplicates
  std::size_t bytes = 0;    // bytes that were read from the file
  int read_errno = 0;       // errno of the read that failed; 0 if the whole file was read
  std::size_t damaged_ranges = 0;
  std::size_t gaps = 0;                   // ranges of missing sequence numbers
  std::size_t unreadable_records = 0;     // valid frames whose payload can't be decoded
  std::size_t contradictory_records = 0;  // ignored, as they do not fit the earlier ones
  std::size_t abandoned_messages = 0;     // found where the position in the file was lost
  std::size_t duplicate_records = 0;      // ignored, as an earlier record has the same sequence number
  bool torn_write = false;                // the newest write is incomplete
  bool power_cut = false;                 // the machine has rebooted, and the file was written without syncs
  bool quarantined = false;               // damaged bytes were stored in journal.damaged
  std::uint64_t unquarantined_bytes = 0;  // damaged bytes that could not be stored there

  struct Field {
    std::string_view name;
    std::string value;
  };
  // Returns the fields of the log line in their order. Values that are zero or false are omitted, except for
  // records, bytes and damaged_ranges.
  std::vector<Field> fields() const;
};

}  // namespace delivery
