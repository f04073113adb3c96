// Measures the rate of events with an exponentially decaying average.
#pragma once

#include <cmath>

#include "common/deadline.h"

namespace delivery {

// Returns the share of a weight that is left after `age` microseconds in an average over `span_seconds`.
inline double decayFactor(Micros age, double span_seconds) {
  return std::exp(-static_cast<double>(age) / 1e6 / span_seconds);  // 1e6: from microseconds to seconds
}

// The rate of events, in events a second. All calls on one object have to pass the same `span_seconds`.
struct DecayedRate {
  // The rate as of `updated_at`.
  double per_second = 0;
  Micros updated_at = 0;
  // The time of the first event. -1: there was no event yet.
  Micros first_event_at = -1;

  // Returns the rate as of `now`, if there was no event since `updated_at`.
  double rateAt(Micros now, double span_seconds) const {
    return per_second * decayFactor(now - updated_at, span_seconds);
  }

  // Adds one event.
  void addEvent(Micros now, double span_seconds) {
    if (first_event_at < 0) {
      first_event_at = now;
    }
    per_second = rateAt(now, span_seconds) + 1 / span_seconds;
    updated_at = now;
  }
};

}  // namespace delivery
