// Measures the rate of events with an exponentially decaying average.
#pragma once

#include <cmath>

#include "common/deadline.h"

namespace delivery {

// The part of a weight that is left after `age`, for an average over `span_seconds`.
inline double decayOver(Micros age, double span_seconds) {
  return std::exp(-static_cast<double>(age) / 1e6 / span_seconds);
}

// Events a second. All calls on one object have to pass the same `span_seconds`.
struct DecayedRate {
  double per_second = 0;  // as of `updated_at`
  Micros updated_at = 0;
  Micros first_event = -1;  // -1: none yet

  double at(Micros now, double span_seconds) const {
    return per_second * decayOver(now - updated_at, span_seconds);
  }
  void count(Micros now, double span_seconds) {
    if (first_event < 0)
      first_event = now;
    per_second = at(now, span_seconds) + 1 / span_seconds;
    updated_at = now;
  }
};

}  // namespace delivery
