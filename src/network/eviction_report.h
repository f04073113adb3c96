// Reports the periods in which client connections are evicted: one event when a period starts, and one with
// totals after it has ended.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>

#include "common/deadline.h"

namespace delivery {

// The state of the connection table when an eviction period starts.
struct EvictionStarted {
  std::size_t connections = 0;  // client connections
  std::int64_t limit = 0;       // the maximum number of client connections
  std::size_t peers = 0;        // distinct addresses of the clients
};

// The totals of an eviction period.
struct EvictionEnded {
  Micros duration = 0;  // from the first eviction to the last
  std::size_t evictions = 0;
  std::string top_peer;  // the address with the most evictions
  std::size_t top_peer_evictions = 0;
};

using EvictionEvent = std::variant<EvictionStarted, EvictionEnded>;

class EvictionReport {
 public:
  void onEvicted(const std::string& peer_address, Micros now);
  // Returns an event that is due, each one once. `occupancy`: the present state of the connection table,
  // returned when a period has started.
  std::optional<EvictionEvent> poll(const EvictionStarted& occupancy, Micros now);
  // Whether a period has started and its end is not reported yet.
  bool isActive() const { return is_active_; }

 private:
  EvictionEnded endPeriod();

  bool is_active_ = false;
  bool start_reported_ = false;
  Micros started_at_ = 0;
  Micros last_eviction_at_ = 0;
  std::size_t evictions_ = 0;
  std::map<std::string, std::size_t> evictions_by_peer_;
};

// Writes the event to the log.
void logEvictionEvent(const EvictionEvent& event);

}  // namespace delivery
