#include "common/clocks.h"

#include <chrono>
#include <fstream>

namespace delivery {
namespace {

template <class Clock>
Micros microsNow() {
  const auto since_epoch = Clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count();
}

}  // namespace

Micros monotonicNow() {
  return microsNow<std::chrono::steady_clock>();
}

Micros unixNow() {
  return microsNow<std::chrono::system_clock>();
}

Clocks readClocks() {
  Clocks clocks;
  clocks.monotonic = monotonicNow();
  clocks.unix = unixNow();
  std::ifstream("/proc/sys/kernel/random/boot_id") >> clocks.boot;
  return clocks;
}

}  // namespace delivery
