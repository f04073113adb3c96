// Builds journal records of version 1, which the journal reads and no longer writes. That version has no
// sequence numbers.
#pragma once

#include <boost/crc.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

namespace delivery {

template <class Unsigned>
std::string littleEndian(Unsigned value) {
  std::string bytes;
  for (std::size_t i = 0; i < sizeof value; ++i) {
    bytes.push_back(static_cast<char>(value >> (8 * i) & 0xff));
  }
  return bytes;
}

inline std::string version1Integer(std::int64_t value) {
  return littleEndian(static_cast<std::uint64_t>(value));
}

inline std::string version1Text(const std::string& text) {
  return version1Integer(static_cast<std::int64_t>(text.size())) + text;
}

inline std::string version1Record(const std::string& payload) {
  boost::crc_32_type crc;
  crc.process_bytes(payload.data(), payload.size());
  return "\xA7GJ1" + littleEndian(static_cast<std::uint32_t>(payload.size())) +
         littleEndian(static_cast<std::uint32_t>(crc.checksum())) + payload;
}

}  // namespace delivery
