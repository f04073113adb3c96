// Types for points in time, time spans and the deadline of a message.
#pragma once

#include <algorithm>
#include <cstdint>

namespace delivery {

// A point in time or a time span, in whole microseconds. Points in time are on the monotonic clock (see
// clocks.h) unless their name says otherwise.
using Micros = std::int64_t;

constexpr Micros kMicrosPerMillisecond = 1000;

// The point in time on the monotonic clock at which a message expires. It is a separate type so that it can't
// be confused with a time span or with a time on another clock. No operation extends a deadline.
class Deadline {
 public:
  Deadline() = default;  // a deadline in the past
  explicit Deadline(Micros at) : at_(at) {}

  // Returns the end of a span that starts at `from`. The result is at most kLatest, so that it can't
  // overflow.
  static Deadline after(Micros from, Micros span) {
    const Micros longest_span = kLatest - std::max<Micros>(0, from);
    return Deadline(span > longest_span ? kLatest : from + span);
  }

  Micros at() const { return at_; }
  // The time left, in microseconds; negative after the deadline.
  Micros remaining(Micros now) const { return at_ - now; }

  friend bool operator==(Deadline left, Deadline right) { return left.at_ == right.at_; }
  friend bool operator<(Deadline left, Deadline right) { return left.at_ < right.at_; }

 private:
  // The latest deadline. It is small enough that the sum of a few such values does not overflow.
  static constexpr Micros kLatest = INT64_MAX / 4;

  Micros at_ = 0;
};

}  // namespace delivery
