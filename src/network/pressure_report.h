// Reports each stretch of time in which client connections were evicted: once when it starts and once when
// it has ended.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>

#include "common/deadline.h"

namespace delivery {

struct PressureStarted {
  std::size_t connections = 0;  // of clients
  std::int64_t limit = 0;       // on them
  std::size_t peers = 0;        // addresses they come from
};

struct PressureEnded {
  Micros duration = 0;  // from the first eviction to the last
  std::size_t evictions = 0;
  std::string top_peer;  // the address with the most evictions
  std::size_t top_peer_evictions = 0;
};

using PressureEvent = std::variant<PressureStarted, PressureEnded>;

class PressureReport {
 public:
  void onEvicted(const std::string& peer_address, Micros now);
  // Each event once. `occupancy`: the table of connections as it is now.
  std::optional<PressureEvent> poll(const PressureStarted& occupancy, Micros now);
  bool isActive() const { return is_active_; }

 private:
  PressureEnded end();

  bool is_active_ = false;
  bool start_reported_ = false;
  Micros started_at_ = 0;
  Micros last_eviction_at_ = 0;
  std::size_t evictions_ = 0;
  std::map<std::string, std::size_t> evictions_by_peer_;
};

void logPressureEvent(const PressureEvent& event);

}  // namespace delivery
