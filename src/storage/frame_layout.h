// Where the fields of a record frame are, and how its checksums are computed. Format: docs/journal.md.
#pragma once

#include <boost/crc.hpp>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "storage/record_frame.h"

namespace delivery::frame_layout {

constexpr std::size_t kVersionOffset = kFrameMark.size();
constexpr std::size_t kLengthOffset = kVersionOffset + 1;
constexpr std::size_t kPayloadChecksumOffset = kLengthOffset + 4;
constexpr std::size_t kHeaderChecksumOffset = kPayloadChecksumOffset + 4;  // since version 2
constexpr std::size_t kHeaderBytesVersion1 = kHeaderChecksumOffset;
static_assert(kFrameHeaderBytes == kHeaderChecksumOffset + 4);

constexpr char kVersion1 = '1';
constexpr char kVersion2 = '2';

// The largest payload of version 1, and of version 2 as far as earlier programs read it.
constexpr std::uint32_t kMaxPayloadBytes = 4u << 20;

inline std::uint32_t crc32(std::string_view data) {
  boost::crc_32_type crc;
  crc.process_bytes(data.data(), data.size());
  return crc.checksum();
}

}  // namespace delivery::frame_layout
