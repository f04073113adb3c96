#include "network/quiet_time_policy.h"

#include <algorithm>

namespace delivery {

namespace {

constexpr Micros kQuietTimePerGap = 2;
constexpr Micros kGapMemory = 60'000'000;  // how long an observed gap counts after the latest one

}  // namespace

bool QuietTimePolicy::isRecent(const Observation& observation, Micros now) const {
  return now - observation.last_at < kGapMemory;
}

Micros QuietTimePolicy::quietTime(const std::string& endpoint, Micros now) const {
  const auto entry = observations_.find(endpoint);
  if (entry == observations_.end() || !isRecent(entry->second, now)) {
    return kMinQuietTime;
  }
  return std::clamp(kQuietTimePerGap * entry->second.longest_gap, kMinQuietTime, kMaxQuietTime);
}

std::int64_t QuietTimePolicy::onUnsolicitedData(const std::string& endpoint, Micros gap, Micros now) {
  Observation& observation = observations_[endpoint];
  if (!isRecent(observation, now)) {
    observation.longest_gap = 0;
  }
  // Behind a longer gap the data has nothing to do with the response; waiting would not help.
  if (gap <= kMaxQuietTime) {
    observation.longest_gap = std::max(observation.longest_gap, gap);
  }
  observation.last_at = now;
  return ++observation.count;
}

}  // namespace delivery
