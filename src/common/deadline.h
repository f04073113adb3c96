// Points in time and spans, and the deadline of a message.
#pragma once

#include <algorithm>
#include <cstdint>

namespace delivery {

// A point in time or a span, in whole microseconds. Points are on the monotonic clock of clocks.h unless
// their name says otherwise.
using Micros = std::int64_t;

constexpr Micros kMicrosPerMillisecond = 1000;

// The point on the monotonic clock at which a message expires. A type of its own, so that it can't be
// confused with a span or with a time of another clock. No operation prolongs it.
class Deadline {
 public:
  Deadline() = default;  // has passed
  explicit Deadline(Micros at) : at_(at) {}

  // The end of a span that starts at `from`. A span that would overflow ends at the latest point that is
  // used.
  static Deadline after(Micros from, Micros span) {
    const Micros longest_span = kLatest - std::max<Micros>(0, from);
    return Deadline(span > longest_span ? kLatest : from + span);
  }

  Micros at() const { return at_; }
  // Negative once the deadline has passed.
  Micros remaining(Micros now) const { return at_ - now; }

  friend bool operator==(Deadline left, Deadline right) { return left.at_ == right.at_; }
  friend bool operator<(Deadline left, Deadline right) { return left.at_ < right.at_; }

 private:
  // Sums of a few points and spans below this do not overflow.
  static constexpr Micros kLatest = INT64_MAX / 4;

  Micros at_ = 0;
};

}  // namespace delivery
