// Bounds how long input (a connection, bytes) may have waited in a queue of the kernel before this process
// took it: a message's time to live counts from when its client sent it, not from when it was read. Plain
// rules, fed with observations of the queue and the time on the monotonic clock.
#pragma once

#include <algorithm>

#include "common/deadline.h"

namespace delivery {

// Clients wait no longer for a reply, so older input is of no use to them.
constexpr Micros kClientReplyTimeout = 400'000;

class QueueAge {
 public:
  // `empty_until`: nothing arrived before.
  explicit QueueAge(Micros empty_until) : arrived_since_(empty_until) {}

  void onEmpty() { arrived_since_ = kNothingArrived; }  // and watched: the next arrival is seen at once
  void onReadable(Micros now) { arrived_since_ = std::min(arrived_since_, now); }
  void onAllTaken(Micros now) { arrived_since_ = now; }  // what is found there next arrived later

  // The earliest moment at which what is taken now can have arrived.
  Micros earliestArrival(Micros now) const {
    return std::min(now, std::max(arrived_since_, now - kClientReplyTimeout));
  }

 private:
  static constexpr Micros kNothingArrived = INT64_MAX;
  Micros arrived_since_;
};

}  // namespace delivery
