// Waiting in tests: for events and conditions, with a long time limit, so that no test fails because the
// machine is busy.
#pragma once

#include <chrono>
#include <functional>
#include <thread>

namespace delivery::loopback {

constexpr std::chrono::seconds kWaitLimit{60};  // a wait that lasts this long has failed

// Polls a condition that has no event of its own. Returns false if it is not true within the limit.
inline bool eventually(const std::function<bool()>& condition) {
  constexpr std::chrono::milliseconds kPollInterval{5};
  const auto deadline = std::chrono::steady_clock::now() + kWaitLimit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

}  // namespace delivery::loopback
