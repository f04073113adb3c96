// Finds the valid records of a journal file, also after damaged ones. A record is trusted only if the scan
// can tell where it begins: bytes of a payload, which clients choose, may look like a record.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "storage/record_frame.h"

namespace delivery {

struct ByteRange {
  std::size_t begin = 0;
  std::size_t end = 0;  // the offset after the last byte of the range
};

struct ScanResult {
  std::vector<FramedRecord> records;  // in the order of their sequence numbers, without duplicates
  // Records behind damage at which the position in the file was lost, in the order of the file. Each may be
  // a real one, or part of the payload of a damaged one.
  std::vector<FramedRecord> unverified_records;
  std::vector<ByteRange> damaged_ranges;
  std::size_t duplicate_records = 0;  // ignored, as an earlier record has the same sequence number
  std::size_t valid_end = 0;          // the offset after the last of `records` in the file
  bool position_lost = false;         // where the next record begins after valid_end is unknown
  bool torn_write = false;            // the bytes from valid_end on are an incomplete write
  bool damaged_tail = false;          // the bytes from valid_end on are damaged
};

// The returned records point into `data`, which has to outlive them.
ScanResult scanRecords(const std::string& data);

}  // namespace delivery
