// Conversion of unsigned integers to and from the journal's file format: least significant byte first.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace delivery {

template <class Unsigned>
void appendLittleEndian(std::string& output, Unsigned value) {
  for (std::size_t i = 0; i < sizeof value; ++i) {
    output.push_back(static_cast<char>(value >> (8 * i) & 0xff));
  }
}

// The caller has to make sure that `data` holds sizeof(Unsigned) bytes from `offset` on.
template <class Unsigned>
Unsigned readLittleEndian(std::string_view data, std::size_t offset) {
  Unsigned value = 0;
  for (std::size_t i = 0; i < sizeof value; ++i) {
    const auto byte = static_cast<unsigned char>(data[offset + i]);
    value = static_cast<Unsigned>(value | static_cast<Unsigned>(byte) << (8 * i));
  }
  return value;
}

}  // namespace delivery
