#include "storage/record_scanner.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string_view>

namespace delivery {
namespace {

class RecordScanner {
 public:
  explicit RecordScanner(std::string_view data) : data_(data) {}

  ScanResult scan() {
    while (offset_ < data_.size()) {
      step();
    }
    if (unreadable_from_) {
      classifyTail();
    }
    sortAndDropDuplicates();
    return std::move(result_);
  }

 private:
  void step() {
    const FrameParseResult frame = parseFrame(data_, offset_);
    if (frame.status == FrameParseResult::Status::valid) {
      takeRecord(frame);
    } else {
      skipToNextMark(frame.status);
    }
  }

  void takeRecord(const FrameParseResult& frame) {
    FramedRecord record = frame.record;
    if (record.version == 1) {
      record.sequence_number = nextVersion1Number();
    }
    if (unreadable_from_) {
      result_.damaged_ranges.push_back({*unreadable_from_, offset_});
    }
    unreadable_from_.reset();
    last_number_ = record.sequence_number;
    result_.records.push_back(record);
    offset_ += frame.frame_size;
    result_.sound_end = offset_;
  }

  // Version 1 has no sequence numbers: its records are counted, and one number is left out for each damaged
  // range, so that it shows as a gap.
  std::uint64_t nextVersion1Number() const { return last_number_ + (unreadable_from_ ? 2 : 1); }

  void skipToNextMark(FrameParseResult::Status status) {
    if (!unreadable_from_) {
      unreadable_from_ = offset_;
      looks_torn_ = status == FrameParseResult::Status::truncated || data_.size() - offset_ < kFrameHeadBytes;
    }
    offset_ = std::min(data_.find(kFrameMark, offset_ + 1), data_.size());
  }

  // In version 1, whose heads have no checksum, a torn write can't be told from damage: it is the likelier.
  void classifyTail() {
    const bool ends_in_version_1 = !result_.records.empty() && result_.records.back().version == 1;
    result_.torn_write = looks_torn_ || ends_in_version_1;
    result_.damaged_tail = !result_.torn_write;
    if (result_.damaged_tail) {
      result_.damaged_ranges.push_back({*unreadable_from_, data_.size()});
    }
  }

  void sortAndDropDuplicates() {
    std::vector<FramedRecord>& records = result_.records;
    std::stable_sort(records.begin(), records.end(), [](const FramedRecord& a, const FramedRecord& b) {
      return a.sequence_number < b.sequence_number;
    });
    const auto last = std::unique(
        records.begin(), records.end(),
        [](const FramedRecord& a, const FramedRecord& b) { return a.sequence_number == b.sequence_number; });
    result_.duplicate_records = static_cast<std::size_t>(records.end() - last);
    records.erase(last, records.end());
  }

  std::string_view data_;
  std::size_t offset_ = 0;
  std::uint64_t last_number_ = 0;               // the sequence number of the last sound record
  std::optional<std::size_t> unreadable_from_;  // the begin of the range that is being skipped
  bool looks_torn_ = false;                     // that range would be a torn write if nothing sound follows
  ScanResult result_;
};

}  // namespace

ScanResult scanRecords(const std::string& data) {
  return RecordScanner(data).scan();
}

}  // namespace delivery
