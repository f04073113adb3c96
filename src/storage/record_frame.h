// The frame of a journal record: mark, length, checksums and sequence number around its payload.
// Format: docs/journal.md.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace delivery {

// The first bytes of each frame, of any version. They let a reader find the next record after damage.
constexpr std::string_view kFrameMark = "\xA7GJ";

// The head of a frame of version 2: fewer bytes than these at the end of a file are a torn write.
constexpr std::size_t kFrameHeadBytes = 16;
constexpr std::size_t kSequenceNumberBytes = 8;

// What a frame of version 2 adds to its payload.
constexpr std::size_t kFrameOverheadBytes = kFrameHeadBytes + kSequenceNumberBytes;

struct FramedRecord {
  std::uint64_t sequence_number = 0;  // 0 in version 1, which has none
  std::int64_t version = 0;
  std::string_view payload;  // from the type on, never empty; points into the parsed data
};

struct FrameParseResult {
  enum class Status {
    valid,
    invalid,    // no mark, a checksum that is wrong, or a length that can't be
    truncated,  // the head is sound, but the data ends before the payload does
  };
  Status status = Status::invalid;
  FramedRecord record;         // if valid
  std::size_t frame_size = 0;  // if valid; in bytes
};

// One frame of version 2.
std::string frameRecord(std::uint64_t sequence_number, const std::string& payload);

// Parses the frame that begins at `offset`, which has to be within `data`. Reads versions 1 and 2.
FrameParseResult parseFrame(std::string_view data, std::size_t offset);

}  // namespace delivery
