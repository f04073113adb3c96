// Unsigned integers as the journal's file format stores them, least significant byte first.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace delivery {

template <class Unsigned>
void appendLittleEndian(std::string& out, Unsigned value) {
  for (std::size_t i = 0; i < sizeof value; ++i) {
    out.push_back(static_cast<char>(value >> (8 * i) & 0xff));
  }
}

// The caller makes sure that `in` holds sizeof(Unsigned) bytes from `offset` on.
template <class Unsigned>
Unsigned readLittleEndian(std::string_view in, std::size_t offset) {
  Unsigned value = 0;
  for (std::size_t i = 0; i < sizeof value; ++i) {
    const auto byte = static_cast<unsigned char>(in[offset + i]);
    value = static_cast<Unsigned>(value | static_cast<Unsigned>(byte) << (8 * i));
  }
  return value;
}

}  // namespace delivery
