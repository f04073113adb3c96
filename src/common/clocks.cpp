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

ClockReadings readClocks() {
  ClockReadings now;
  now.monotonic = monotonicNow();
  now.unix = unixNow();
  std::ifstream("/proc/sys/kernel/random/boot_id") >> now.boot;
  return now;
}

}  // namespace delivery
