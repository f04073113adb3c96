// The point in time at which a message is given up. A type of its own, so that it is not taken for
// a span or for a time of another clock; all that is done with one never prolongs it.
#pragma once

#include <algorithm>
#include <cstdint>

namespace delivery {

using Micros = std::int64_t;  // a point in time or a span, in whole microseconds

class Deadline {
 public:
  Deadline() = default;  // over
  explicit Deadline(Micros at) : at_(at) {}
  // A span that a client names, from when its request began; far too large a one ends at the end of time.
  static Deadline after(Micros from, Micros span) {
    return Deadline(span > kEnd - std::max<Micros>(0, from) ? kEnd : from + span);
  }

  Micros at() const { return at_; }
  Micros remaining(Micros now) const { return at_ - now; }  // negative: over
  friend bool operator==(Deadline a, Deadline b) { return a.at_ == b.at_; }
  friend bool operator<(Deadline a, Deadline b) { return a.at_ < b.at_; }

 private:
  static constexpr Micros kEnd = INT64_MAX / 4;
  Micros at_ = 0;
};

}  // namespace delivery
