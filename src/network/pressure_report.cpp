#include "network/pressure_report.h"

#include <algorithm>

#include "common/log.h"

namespace delivery {

namespace {

constexpr Micros kEndsAfter = 1000 * kMicrosPerMillisecond;  // without an eviction

void logEvent(const PressureStarted& started) {
  logWarning("connections", "eviction_started")
      .field("connections", started.connections)
      .field("limit", started.limit)
      .field("peers", started.peers);
}

void logEvent(const PressureEnded& ended) {
  logInfo("connections", "eviction_ended")
      .field("duration_ms", ended.duration / kMicrosPerMillisecond)
      .field("evicted", ended.evictions)
      .field("top_peer", ended.top_peer)
      .field("top_peer_evicted", ended.top_peer_evictions);
}

}  // namespace

void PressureReport::onEvicted(const std::string& peer_address, Micros now) {
  if (!is_active_) {
    is_active_ = true;
    start_reported_ = false;
    started_at_ = now;
    evictions_ = 0;
    evictions_by_peer_.clear();
  }
  last_eviction_at_ = now;
  ++evictions_;
  ++evictions_by_peer_[peer_address];
}

std::optional<PressureEvent> PressureReport::poll(const PressureStarted& occupancy, Micros now) {
  if (!is_active_) {
    return std::nullopt;
  }
  if (!start_reported_) {
    start_reported_ = true;
    return occupancy;
  }
  if (now - last_eviction_at_ < kEndsAfter) {
    return std::nullopt;
  }
  return end();
}

PressureEnded PressureReport::end() {
  is_active_ = false;
  const auto top_peer = std::max_element(evictions_by_peer_.begin(), evictions_by_peer_.end(),
                                         [](const auto& a, const auto& b) { return a.second < b.second; });
  PressureEnded ended;
  ended.duration = last_eviction_at_ - started_at_;
  ended.evictions = evictions_;
  ended.top_peer = top_peer->first;
  ended.top_peer_evictions = top_peer->second;
  return ended;
}

void logPressureEvent(const PressureEvent& event) {
  std::visit([](const auto& of_kind) { logEvent(of_kind); }, event);
}

}  // namespace delivery
