// Since when what is taken out of a queue of the kernel's may have waited there: a connection that
// is accepted, bytes that are read. A message's time runs from when its client sent it, not from when it was
// read. Plain: fed with what is seen of the queue, and the time.
#pragma once

#include <algorithm>

#include "common/deadline.h"

namespace delivery {

// A client waits so long for an answer: what it sent earlier, it does not wait for any more.
constexpr Micros kClientWaits = 400'000;

class QueueAge {
 public:
  explicit QueueAge(Micros nothing_before) : since_(nothing_before) {}
  void seenEmpty() { since_ = kAsItComes; }  // and watched: what comes is seen as it comes
  void seenFull(Micros now) { since_ = std::min(since_, now); }
  void taken(Micros now) { since_ = now; }  // all of it: what is there next came later
  // The earliest moment at which what is taken now can have come.
  Micros from(Micros now) const { return std::min(now, std::max(since_, now - kClientWaits)); }

 private:
  static constexpr Micros kAsItComes = INT64_MAX;
  Micros since_;
};

}  // namespace delivery
