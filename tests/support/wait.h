// Waiting in tests: on events, with generous limits, so that a busy machine fails no test.
#pragma once

#include <chrono>
#include <functional>
#include <thread>

namespace delivery::loopback {

constexpr std::chrono::seconds kWaitLimit{60};  // a wait that takes this long has failed

// Waits for a condition that has no event of its own. False: it did not come to hold within the limit.
inline bool eventually(const std::function<bool()>& holds) {
  constexpr std::chrono::milliseconds kInterval{5};
  const auto deadline = std::chrono::steady_clock::now() + kWaitLimit;
  while (!holds()) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(kInterval);
  }
  return true;
}

}  // namespace delivery::loopback
