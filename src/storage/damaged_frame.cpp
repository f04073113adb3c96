#include "storage/damaged_frame.h"

#include <algorithm>
#include <cstdint>
#include <string>

#include "storage/frame_layout.h"
#include "storage/little_endian.h"

namespace delivery {

using namespace frame_layout;

namespace {

// What is left of one damaged frame, at the front of `rest_`.
class DamagedFrame {
 public:
  explicit DamagedFrame(std::string_view rest)
      : rest_(rest),
        length_(readLittleEndian<std::uint32_t>(rest, kLengthOffset)),
        payload_checksum_(readLittleEndian<std::uint32_t>(rest, kPayloadChecksumOffset)),
        header_checksum_(readLittleEndian<std::uint32_t>(rest, kHeaderChecksumOffset)) {}

  std::optional<std::size_t> findSize() const {
    if (headerIsIntact() || payloadIsIntact(kFrameHeaderBytes) || onlyPayloadChecksumIsDamaged()) {
      return kFrameHeaderBytes + length_;
    }
    if (const auto length = findLength(kFrameHeaderBytes)) {
      return kFrameHeaderBytes + *length;
    }
    return findSizeVersion1();
  }

 private:
  bool isWithinData(std::size_t header_bytes) const {
    return length_ > 0 && header_bytes + length_ <= rest_.size();
  }

  // The payload is damaged, or the version is not known and its frame has the same header.
  bool headerIsIntact() const {
    return isWithinData(kFrameHeaderBytes) &&
           crc32(rest_.substr(0, kHeaderChecksumOffset)) == header_checksum_;
  }

  // The mark, the version or the header checksum is damaged.
  bool payloadIsIntact(std::size_t header_bytes) const {
    return isWithinData(header_bytes) && crc32(rest_.substr(header_bytes, length_)) == payload_checksum_;
  }

  bool onlyPayloadChecksumIsDamaged() const {
    return isWithinData(kFrameHeaderBytes) &&
           headerChecksumFor(length_, crc32(rest_.substr(kFrameHeaderBytes, length_))) == header_checksum_;
  }

  // The checksum that the header of a frame of version 2 has if its fields have these values.
  static std::uint32_t headerChecksumFor(std::uint32_t length, std::uint32_t payload_checksum) {
    std::string header(kFrameMark);
    header.push_back(kVersion2);
    appendLittleEndian(header, length);
    appendLittleEndian(header, payload_checksum);
    return crc32(header);
  }

  // The length is damaged: finds the one at which the payload has its checksum.
  std::optional<std::size_t> findLength(std::size_t header_bytes) const {
    if (rest_.size() <= header_bytes) {
      return std::nullopt;
    }
    const std::string_view payload = rest_.substr(header_bytes, kMaxPayloadBytes);
    boost::crc_32_type crc;
    for (std::size_t length = 1; length <= payload.size(); ++length) {
      crc.process_byte(static_cast<unsigned char>(payload[length - 1]));
      if (crc.checksum() == payload_checksum_ && confirmsLength(header_bytes, length)) {
        return length;
      }
    }
    return std::nullopt;
  }

  // Of the many lengths that are tried, one may have the payload's checksum by chance.
  bool confirmsLength(std::size_t header_bytes, std::size_t length) const {
    if (header_bytes == kFrameHeaderBytes) {
      return headerChecksumFor(static_cast<std::uint32_t>(length), payload_checksum_) == header_checksum_;
    }
    return isFollowedByFrame(header_bytes + length);
  }

  std::optional<std::size_t> findSizeVersion1() const {
    if (payloadIsIntact(kHeaderBytesVersion1)) {
      return kHeaderBytesVersion1 + length_;
    }
    const bool mark_is_intact =
        rest_.substr(0, kFrameMark.size()) == kFrameMark && rest_[kVersionOffset] == kVersion1;
    if (!mark_is_intact) {
      return std::nullopt;
    }
    if (const auto length = findLength(kHeaderBytesVersion1)) {
      return kHeaderBytesVersion1 + *length;
    }
    if (isWithinData(kHeaderBytesVersion1) && isFollowedByFrame(kHeaderBytesVersion1 + length_)) {
      return kHeaderBytesVersion1 + length_;
    }
    return std::nullopt;
  }

  bool isFollowedByFrame(std::size_t size) const {
    return size == rest_.size() || parseFrame(rest_, size).status == FrameParseResult::Status::valid;
  }

  const std::string_view rest_;
  const std::uint32_t length_;
  const std::uint32_t payload_checksum_;
  const std::uint32_t header_checksum_;
};

}  // namespace

std::optional<std::size_t> sizeOfDamagedFrame(std::string_view data, std::size_t offset) {
  const std::string_view rest = data.substr(offset);
  if (rest.size() < kFrameHeaderBytes) {
    return std::nullopt;
  }
  return DamagedFrame(rest).findSize();
}

}  // namespace delivery
