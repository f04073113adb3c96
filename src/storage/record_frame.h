// The frame of a journal record: mark, version, length, checksums and sequence number in front of the
// payload. Format: docs/journal.md.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace delivery {

// The magic bytes at the start of each frame of any version. They let a reader find the next record after
// damage.
constexpr std::string_view kFrameMark = "\xA7GJ";

// The size of a frame header of version 2. Fewer bytes than that at the end of a file are a torn write.
constexpr std::size_t kFrameHeaderBytes = 16;
constexpr std::size_t kSequenceNumberBytes = 8;

// The number of bytes that a frame of version 2 adds to its payload.
constexpr std::size_t kFrameOverheadBytes = kFrameHeaderBytes + kSequenceNumberBytes;

struct FramedRecord {
  std::uint64_t sequence_number = 0;  // 0 in version 1, which has no sequence numbers
  std::int64_t version = 0;
  std::string_view payload;  // begins with the type, is never empty, and points into the parsed data
};

struct FrameParseResult {
  enum class Status {
    valid,
    invalid,          // the mark is missing, the header's checksum is wrong, or the length is impossible
    invalid_payload,  // the payload does not have its checksum
    truncated,        // the data ends before the payload does, if the length is right
  };
  Status status = Status::invalid;
  FramedRecord record;            // set only if the frame is valid
  std::size_t frame_size = 0;     // in bytes, as the header states it; 0 if the frame is invalid
  bool size_is_verified = false;  // the header's checksum is right; version 1 has none
};

// Returns a frame of version 2 with this payload.
std::string frameRecord(std::uint64_t sequence_number, const std::string& payload);

// Parses the frame that begins at `offset`, which has to be within `data`. Supports versions 1 and 2.
FrameParseResult parseFrame(std::string_view data, std::size_t offset);

}  // namespace delivery
