#include "storage/record_frame.h"

#include "storage/frame_layout.h"
#include "storage/little_endian.h"
#include "storage/record_codec.h"

namespace delivery {

using namespace frame_layout;

namespace {

// `data` has to begin with a mark and to hold a frame header of version 1. That version has no checksum of
// the header, so a truncated payload can't be told from a damaged length.
FrameParseResult parseVersion1(std::string_view data) {
  FrameParseResult result;
  const auto length = readLittleEndian<std::uint32_t>(data, kLengthOffset);
  if (length < 1 || length > kMaxPayloadBytes) {
    return result;
  }
  result.frame_size = kHeaderBytesVersion1 + length;
  if (result.frame_size > data.size()) {
    result.status = FrameParseResult::Status::truncated;
    return result;
  }
  const std::string_view payload = data.substr(kHeaderBytesVersion1, length);
  if (crc32(payload) != readLittleEndian<std::uint32_t>(data, kPayloadChecksumOffset)) {
    result.status = FrameParseResult::Status::invalid_payload;
    return result;
  }
  result.status = FrameParseResult::Status::valid;
  result.record = {0, 1, payload};
  return result;
}

// `data` has to begin with a mark and to hold at least a frame header of version 1.
FrameParseResult parseVersion2(std::string_view data) {
  FrameParseResult result;
  if (data.size() < kFrameHeaderBytes) {
    return result;
  }
  const std::string_view checked_header = data.substr(0, kHeaderChecksumOffset);
  if (crc32(checked_header) != readLittleEndian<std::uint32_t>(data, kHeaderChecksumOffset)) {
    return result;
  }
  const auto length = readLittleEndian<std::uint32_t>(data, kLengthOffset);
  if (length <= kSequenceNumberBytes) {
    return result;
  }
  result.frame_size = kFrameHeaderBytes + length;
  result.size_is_verified = true;
  if (result.frame_size > data.size()) {
    result.status = FrameParseResult::Status::truncated;
    return result;
  }
  const std::string_view numbered_payload = data.substr(kFrameHeaderBytes, length);
  if (crc32(numbered_payload) != readLittleEndian<std::uint32_t>(data, kPayloadChecksumOffset)) {
    result.status = FrameParseResult::Status::invalid_payload;
    return result;
  }
  result.status = FrameParseResult::Status::valid;
  result.record = {readLittleEndian<std::uint64_t>(numbered_payload, 0), kJournalVersion,
                   numbered_payload.substr(kSequenceNumberBytes)};
  return result;
}

}  // namespace

std::string frameRecord(std::uint64_t sequence_number, const std::string& payload) {
  std::string numbered_payload;
  appendLittleEndian(numbered_payload, sequence_number);
  numbered_payload += payload;
  std::string frame(kFrameMark);
  frame.push_back(kVersion2);
  appendLittleEndian(frame, static_cast<std::uint32_t>(numbered_payload.size()));
  appendLittleEndian(frame, crc32(numbered_payload));
  appendLittleEndian(frame, crc32(frame));
  frame += numbered_payload;
  return frame;
}

FrameParseResult parseFrame(std::string_view data, std::size_t offset) {
  const std::string_view rest = data.substr(offset);
  if (rest.size() < kHeaderBytesVersion1 || rest.substr(0, kFrameMark.size()) != kFrameMark) {
    return {};
  }
  switch (rest[kVersionOffset]) {
    case kVersion1:
      return parseVersion1(rest);
    case kVersion2:
      return parseVersion2(rest);
    default:
      return {};
  }
}

}  // namespace delivery
