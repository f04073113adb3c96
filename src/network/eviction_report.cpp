#include "network/eviction_report.h"

#include <algorithm>

#include "common/log.h"

namespace delivery {

namespace {

// A period ends when no connection has been evicted for this long.
constexpr Micros kEndAfterInactivity = 1000 * kMicrosPerMillisecond;

void logEvent(const EvictionStarted& started) {
  logWarning("connections", "eviction_started")
      .field("connections", started.connections)
      .field("limit", started.limit)
      .field("peers", started.peers);
}

void logEvent(const EvictionEnded& ended) {
  logInfo("connections", "eviction_ended")
      .field("duration_ms", ended.duration / kMicrosPerMillisecond)
      .field("evicted", ended.evictions)
      .field("top_peer", ended.top_peer)
      .field("top_peer_evicted", ended.top_peer_evictions);
}

}  // namespace

void EvictionReport::onEvicted(const std::string& peer_address, Micros now) {
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

std::optional<EvictionEvent> EvictionReport::poll(const EvictionStarted& occupancy, Micros now) {
  if (!is_active_) {
    return std::nullopt;
  }
  if (!start_reported_) {
    start_reported_ = true;
    return occupancy;
  }
  if (now - last_eviction_at_ < kEndAfterInactivity) {
    return std::nullopt;
  }
  return endPeriod();
}

EvictionEnded EvictionReport::endPeriod() {
  is_active_ = false;
  const auto top_peer = std::max_element(evictions_by_peer_.begin(), evictions_by_peer_.end(),
                                         [](const auto& a, const auto& b) { return a.second < b.second; });
  EvictionEnded ended;
  ended.duration = last_eviction_at_ - started_at_;
  ended.evictions = evictions_;
  ended.top_peer = top_peer->first;
  ended.top_peer_evictions = top_peer->second;
  return ended;
}

void logEvictionEvent(const EvictionEvent& event) {
  std::visit([](const auto& typed_event) { logEvent(typed_event); }, event);
}

}  // namespace delivery
