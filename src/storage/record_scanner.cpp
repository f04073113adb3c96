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
      scanNext();
    }
    if (unreadable_from_) {
      classifyTail();
    }
    sortAndDropDuplicates();
    return std::move(result_);
  }

 private:
  void scanNext() {
    const FrameParseResult frame = parseFrame(data_, offset_);
    if (frame.status == FrameParseResult::Status::valid) {
      addRecord(frame);
    } else {
      skipToNextMark(frame.status);
    }
  }

  void addRecord(const FrameParseResult& frame) {
    FramedRecord record = frame.record;
    if (record.version == 1) {
      record.sequence_number = nextVersion1Number();
    }
    if (unreadable_from_) {
      result_.damaged_ranges.push_back({*unreadable_from_, offset_});
    }
    unreadable_from_.reset();
    last_sequence_number_ = record.sequence_number;
    result_.records.push_back(record);
    offset_ += frame.frame_size;
    result_.valid_end = offset_;
  }

  // Version 1 has no sequence numbers, so its records are numbered here. One number is skipped for each
  // damaged range, so that the range counts as a gap.
  std::uint64_t nextVersion1Number() const { return last_sequence_number_ + (unreadable_from_ ? 2 : 1); }

  void skipToNextMark(FrameParseResult::Status status) {
    if (!unreadable_from_) {
      unreadable_from_ = offset_;
      looks_torn_ =
          status == FrameParseResult::Status::truncated || data_.size() - offset_ < kFrameHeaderBytes;
    }
    offset_ = std::min(data_.find(kFrameMark, offset_ + 1), data_.size());
  }

  // Frame headers of version 1 have no checksum, so a torn write can't be told from damage. A torn write
  // is assumed, as it is the more likely cause.
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
    const auto unique_end = std::unique(
        records.begin(), records.end(),
        [](const FramedRecord& a, const FramedRecord& b) { return a.sequence_number == b.sequence_number; });
    result_.duplicate_records = static_cast<std::size_t>(records.end() - unique_end);
    records.erase(unique_end, records.end());
  }

  std::string_view data_;
  std::size_t offset_ = 0;
  std::uint64_t last_sequence_number_ = 0;      // of the latest valid record
  std::optional<std::size_t> unreadable_from_;  // the begin of the range that is being skipped
  bool looks_torn_ = false;                     // that range is a torn write if no valid record follows
  ScanResult result_;
};

}  // namespace

ScanResult scanRecords(const std::string& data) {
  return RecordScanner(data).scan();
}

}  // namespace delivery
