// Finds the sound records of a journal file, wherever they stand among damaged bytes.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "storage/record_frame.h"

namespace delivery {

struct ByteRange {
  std::size_t begin = 0;
  std::size_t end = 0;  // the first byte behind the range
};

struct ScanResult {
  std::vector<FramedRecord> records;  // by sequence number, each once
  std::vector<ByteRange> damaged_ranges;
  std::size_t duplicate_records = 0;  // passed over: their sequence number was there before
  std::size_t sound_end = 0;          // the end of the last sound record in the file
  bool torn_write = false;            // the bytes from sound_end on are a write that was cut short
  bool damaged_tail = false;          // the bytes from sound_end on are damaged
};

// The records point into `data`, which has to outlive them.
ScanResult scanRecords(const std::string& data);

}  // namespace delivery
