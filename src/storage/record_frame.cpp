#include "storage/record_frame.h"

#include <boost/crc.hpp>

#include "storage/little_endian.h"
#include "storage/record_codec.h"

namespace delivery {
namespace {

constexpr std::size_t kVersionOffset = kFrameMark.size();
constexpr std::size_t kLengthOffset = kVersionOffset + 1;
constexpr std::size_t kPayloadChecksumOffset = kLengthOffset + 4;
constexpr std::size_t kHeaderChecksumOffset = kPayloadChecksumOffset + 4;  // since version 2
constexpr std::size_t kHeaderBytesVersion1 = kHeaderChecksumOffset;
static_assert(kFrameHeaderBytes == kHeaderChecksumOffset + 4);

constexpr std::uint32_t kMaxPayloadBytes = 4u << 20;

std::uint32_t crc32(std::string_view data) {
  boost::crc_32_type crc;
  crc.process_bytes(data.data(), data.size());
  return crc.checksum();
}

FrameParseResult withStatus(FrameParseResult::Status status) {
  FrameParseResult result;
  result.status = status;
  return result;
}

// `data` has to begin with a mark and to hold a frame header of version 1. That version has no checksum of
// the header, so a truncated payload can't be told from a damaged length.
FrameParseResult parseVersion1(std::string_view data) {
  const auto length = readLittleEndian<std::uint32_t>(data, kLengthOffset);
  if (length < 1 || length > kMaxPayloadBytes || length > data.size() - kHeaderBytesVersion1) {
    return withStatus(FrameParseResult::Status::invalid);
  }
  const std::string_view payload = data.substr(kHeaderBytesVersion1, length);
  if (crc32(payload) != readLittleEndian<std::uint32_t>(data, kPayloadChecksumOffset)) {
    return withStatus(FrameParseResult::Status::invalid);
  }
  return {FrameParseResult::Status::valid, {0, 1, payload}, kHeaderBytesVersion1 + length};
}

// `data` has to begin with a mark and to hold at least a frame header of version 1.
FrameParseResult parseVersion2(std::string_view data) {
  if (data.size() < kFrameHeaderBytes) {
    return withStatus(FrameParseResult::Status::invalid);
  }
  const std::string_view checked_header = data.substr(0, kHeaderChecksumOffset);
  if (crc32(checked_header) != readLittleEndian<std::uint32_t>(data, kHeaderChecksumOffset)) {
    return withStatus(FrameParseResult::Status::invalid);
  }
  const auto length = readLittleEndian<std::uint32_t>(data, kLengthOffset);
  if (length <= kSequenceNumberBytes || length > kMaxPayloadBytes) {
    return withStatus(FrameParseResult::Status::invalid);
  }
  if (length > data.size() - kFrameHeaderBytes) {
    return withStatus(FrameParseResult::Status::truncated);
  }
  const std::string_view numbered_payload = data.substr(kFrameHeaderBytes, length);
  if (crc32(numbered_payload) != readLittleEndian<std::uint32_t>(data, kPayloadChecksumOffset)) {
    return withStatus(FrameParseResult::Status::invalid);
  }
  const FramedRecord record{readLittleEndian<std::uint64_t>(numbered_payload, 0), kJournalVersion,
                            numbered_payload.substr(kSequenceNumberBytes)};
  return {FrameParseResult::Status::valid, record, kFrameHeaderBytes + length};
}

}  // namespace

std::string frameRecord(std::uint64_t sequence_number, const std::string& payload) {
  std::string numbered_payload;
  appendLittleEndian(numbered_payload, sequence_number);
  numbered_payload += payload;
  std::string frame(kFrameMark);
  frame.push_back('2');
  appendLittleEndian(frame, static_cast<std::uint32_t>(numbered_payload.size()));
  appendLittleEndian(frame, crc32(numbered_payload));
  appendLittleEndian(frame, crc32(frame));
  frame += numbered_payload;
  return frame;
}

FrameParseResult parseFrame(std::string_view data, std::size_t offset) {
  const std::string_view rest = data.substr(offset);
  if (rest.size() < kHeaderBytesVersion1 || rest.substr(0, kFrameMark.size()) != kFrameMark) {
    return withStatus(FrameParseResult::Status::invalid);
  }
  switch (rest[kVersionOffset]) {
    case '1':
      return parseVersion1(rest);
    case '2':
      return parseVersion2(rest);
    default:
      return withStatus(FrameParseResult::Status::invalid);
  }
}

}  // namespace delivery
