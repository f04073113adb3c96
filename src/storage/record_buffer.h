// A buffer of encoded and framed records with ascending sequence numbers, to be written to the journal.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "common/clocks.h"
#include "storage/record_codec.h"
#include "storage/record_frame.h"

namespace delivery {

class RecordBuffer {
 public:
  RecordBuffer() = default;
  RecordBuffer(const PersistentClock& clock, std::uint64_t next_sequence_number)
      : clock_(clock), next_sequence_number_(next_sequence_number) {}

  void append(const Record& record) {
    data_ += frameRecord(next_sequence_number_, encodeRecord(record, clock_));
    ++next_sequence_number_;
  }
  void clear() { data_.clear(); }  // does not reset the sequence numbers

  const std::string& data() const { return data_; }
  std::size_t size() const { return data_.size(); }  // in bytes
  bool empty() const { return data_.empty(); }
  std::uint64_t nextSequenceNumber() const { return next_sequence_number_; }

 private:
  PersistentClock clock_;
  std::uint64_t next_sequence_number_ = 1;
  std::string data_;
};

}  // namespace delivery
