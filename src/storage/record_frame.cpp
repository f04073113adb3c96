#include "storage/record_frame.h"

#include <boost/crc.hpp>

#include "storage/little_endian.h"
#include "storage/record_codec.h"

namespace delivery {
namespace {

constexpr std::size_t kVersionOffset = kFrameMark.size();
constexpr std::size_t kLengthOffset = kVersionOffset + 1;
constexpr std::size_t kPayloadChecksumOffset = kLengthOffset + 4;
constexpr std::size_t kHeadChecksumOffset = kPayloadChecksumOffset + 4;  // from version 2 on
constexpr std::size_t kHeadBytesVersion1 = kHeadChecksumOffset;
static_assert(kFrameHeadBytes == kHeadChecksumOffset + 4);

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

// `data` begins with a mark and holds a head of version 1. That version has no checksum of the head, so a
// payload that was cut short can't be told from a damaged length.
FrameParseResult parseVersion1(std::string_view data) {
  const auto length = readLittleEndian<std::uint32_t>(data, kLengthOffset);
  if (length < 1 || length > kMaxPayloadBytes || length > data.size() - kHeadBytesVersion1) {
    return withStatus(FrameParseResult::Status::invalid);
  }
  const std::string_view payload = data.substr(kHeadBytesVersion1, length);
  if (crc32(payload) != readLittleEndian<std::uint32_t>(data, kPayloadChecksumOffset)) {
    return withStatus(FrameParseResult::Status::invalid);
  }
  return {FrameParseResult::Status::valid, {0, 1, payload}, kHeadBytesVersion1 + length};
}

// `data` begins with a mark and holds at least a head of version 1.
FrameParseResult parseVersion2(std::string_view data) {
  if (data.size() < kFrameHeadBytes) {
    return withStatus(FrameParseResult::Status::invalid);
  }
  const std::string_view checked_head = data.substr(0, kHeadChecksumOffset);
  if (crc32(checked_head) != readLittleEndian<std::uint32_t>(data, kHeadChecksumOffset)) {
    return withStatus(FrameParseResult::Status::invalid);
  }
  const auto length = readLittleEndian<std::uint32_t>(data, kLengthOffset);
  if (length <= kSequenceNumberBytes || length > kMaxPayloadBytes) {
    return withStatus(FrameParseResult::Status::invalid);
  }
  if (length > data.size() - kFrameHeadBytes) {
    return withStatus(FrameParseResult::Status::truncated);
  }
  const std::string_view numbered_payload = data.substr(kFrameHeadBytes, length);
  if (crc32(numbered_payload) != readLittleEndian<std::uint32_t>(data, kPayloadChecksumOffset)) {
    return withStatus(FrameParseResult::Status::invalid);
  }
  const FramedRecord record{readLittleEndian<std::uint64_t>(numbered_payload, 0), kJournalVersion,
                            numbered_payload.substr(kSequenceNumberBytes)};
  return {FrameParseResult::Status::valid, record, kFrameHeadBytes + length};
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
  if (rest.size() < kHeadBytesVersion1 || rest.substr(0, kFrameMark.size()) != kFrameMark) {
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
