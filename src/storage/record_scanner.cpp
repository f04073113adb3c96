#include "storage/record_scanner.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string_view>

#include "storage/damaged_frame.h"

namespace delivery {
namespace {

class RecordScanner {
 public:
  explicit RecordScanner(std::string_view data) : data_(data) {}

  ScanResult scan() {
    while (offset_ < data_.size()) {
      scanNext();
    }
    if (damaged_from_) {
      result_.damaged_tail = true;
      result_.damaged_ranges.push_back({*damaged_from_, data_.size()});
    }
    sortAndDropDuplicates();
    return std::move(result_);
  }

 private:
  using Status = FrameParseResult::Status;

  void scanNext() {
    const FrameParseResult frame = parseFrame(data_, offset_);
    if (frame.status == Status::valid) {
      addOrReject(frame);
    } else if (isTornWrite(frame)) {
      result_.torn_write = !damaged_from_;
      offset_ = data_.size();
    } else {
      skipDamagedFrame();
    }
  }

  void addOrReject(const FrameParseResult& frame) {
    if (damaged_from_ && !continuesAfterDamage(frame.record)) {
      losePosition();
      return;
    }
    FramedRecord record = frame.record;
    if (record.version == 1) {
      record.sequence_number = nextVersion1Number();
    }
    if (damaged_from_) {
      result_.damaged_ranges.push_back({*damaged_from_, offset_});
    }
    damaged_from_.reset();
    damaged_frames_ = 0;
    last_ = record;
    result_.records.push_back(record);
    offset_ += frame.frame_size;
    result_.valid_end = offset_;
  }

  // Whether a record can be the next one after the damaged frames, judging by the sequence numbers. If frames
  // at the end of a file are damaged, the next process may use their numbers again.
  bool continuesAfterDamage(const FramedRecord& record) const {
    if (!last_ || last_->version == 1) {
      return true;
    }
    return record.version != 1 && record.sequence_number > last_->sequence_number &&
           record.sequence_number - last_->sequence_number <= damaged_frames_ + 1;
  }

  // Version 1 has no sequence numbers, so its records are numbered here. One number is skipped for each
  // damaged range, so that the range counts as a gap.
  std::uint64_t nextVersion1Number() const {
    return (last_ ? last_->sequence_number : 0) + (damaged_from_ ? 2 : 1);
  }

  // Nothing can follow an incomplete write. In version 1 a damaged length may look like one.
  bool isTornWrite(const FrameParseResult& frame) const {
    if (frame.status == Status::truncated) {
      return frame.size_is_verified || !sizeOfDamagedFrame(data_, offset_);
    }
    return data_.size() - offset_ < kFrameHeaderBytes;
  }

  void skipDamagedFrame() {
    if (!damaged_from_) {
      damaged_from_ = offset_;
    }
    ++damaged_frames_;
    if (const auto size = sizeOfDamagedFrame(data_, offset_)) {
      offset_ += *size;
    } else {
      losePosition();
    }
  }

  void losePosition() {
    result_.position_lost = true;
    findUnverifiedRecords(*damaged_from_ + 1);
    offset_ = data_.size();
  }

  void findUnverifiedRecords(std::size_t offset) {
    std::size_t rejected_bytes = 0;
    for (offset = data_.find(kFrameMark, offset);
         offset < data_.size() && rejected_bytes < kMaxRejectedBytes;) {
      const FrameParseResult frame = parseFrame(data_, offset);
      if (frame.status == Status::valid) {
        result_.unverified_records.push_back(frame.record);
        offset = data_.find(kFrameMark, offset + frame.frame_size);
      } else {
        rejected_bytes += frame.status == Status::invalid_payload ? frame.frame_size : 0;
        offset = data_.find(kFrameMark, offset + 1);
      }
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

  // How many bytes of frames with a wrong checksum are read in the search for unverified records. It bounds
  // the time that a file with very many marks takes.
  static constexpr std::size_t kMaxRejectedBytes = 512u << 20;

  std::string_view data_;
  std::size_t offset_ = 0;
  std::optional<FramedRecord> last_;         // the latest valid record
  std::optional<std::size_t> damaged_from_;  // the begin of the damaged frames after that record
  std::size_t damaged_frames_ = 0;           // their number
  ScanResult result_;
};

}  // namespace

ScanResult scanRecords(const std::string& data) {
  return RecordScanner(data).scan();
}

}  // namespace delivery
