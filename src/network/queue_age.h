// Estimates how long input (connections or bytes) may have waited in a queue of the kernel before this
// process read it: a message's time to live counts from when its client sent it, not from when it was read.
// This class does no input or output: it is given observations of the queue and points in time on the
// monotonic clock.
#pragma once

#include <algorithm>

#include "common/deadline.h"

namespace delivery {

// Clients wait for a reply no longer than this, so they have no use for a reply to older input.
constexpr Micros kClientReplyTimeout = 400'000;

class QueueAge {
 public:
  // `empty_until`: the queue was empty before this time.
  explicit QueueAge(Micros empty_until) : earliest_possible_arrival_(empty_until) {}

  // The queue is empty and is being waited on, so the next arrival will be observed at once.
  void onEmpty() { earliest_possible_arrival_ = kNothingArrived; }
  // The queue holds input.
  void onReadable(Micros now) { earliest_possible_arrival_ = std::min(earliest_possible_arrival_, now); }
  // The input was read, so what is read next arrived after `now`.
  void onAllRead(Micros now) { earliest_possible_arrival_ = now; }

  // The earliest time at which input that is read now can have arrived.
  Micros earliestArrival(Micros now) const {
    return std::min(now, std::max(earliest_possible_arrival_, now - kClientReplyTimeout));
  }

 private:
  static constexpr Micros kNothingArrived = INT64_MAX;
  Micros earliest_possible_arrival_;
};

}  // namespace delivery
