// Summary of a journal's recovery for the operators' log.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace delivery {

struct RecoveryReport {
  std::size_t records = 0;  // sound ones, each once
  std::size_t bytes = 0;    // that were read
  int read_errno = 0;       // why reading ended before the end of the file; 0: it did not
  std::size_t damaged_ranges = 0;
  std::size_t gaps = 0;                   // ranges of sequence numbers that are missing
  std::size_t unreadable_records = 0;     // sound ones of an unknown type or a newer version
  std::size_t contradictory_records = 0;  // that do not fit those before them
  std::size_t duplicate_records = 0;
  bool torn_write = false;                // the newest write was cut short
  bool power_cut = false;                 // the machine rebooted, and writes were not synced
  bool quarantined = false;               // the damaged bytes were kept in journal.damaged
  std::uint64_t unquarantined_bytes = 0;  // of them, the bytes that were not kept

  struct Field {
    std::string_view name;
    std::string value;
  };
  // The values by name, in the order for the log. Counters of what did not happen are left out, except for
  // records, bytes and damaged_ranges.
  std::vector<Field> fields() const;
};

}  // namespace delivery
