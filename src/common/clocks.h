// The clocks of the machine, and the conversion between points in time on the monotonic clock and in stored
// records.
#pragma once

#include <string>

#include "common/deadline.h"

namespace delivery {

// The monotonic clock in microseconds. It never steps, and all processes read the same clock until the
// machine reboots.
Micros monotonicNow();

// The Unix time in microseconds. It continues across reboots, and may step when the machine's clock is set.
Micros unixNow();

// The readings of all clocks at one moment.
struct ClockReadings {
  Micros monotonic = 0;
  Micros unix = 0;
  std::string boot;  // the kernel's boot id, which changes with each reboot; empty if unknown
};

ClockReadings readClocks();

// Converts points in time on the monotonic clock to stored points in time, and back. A stored point is the
// monotonic one plus a shift. The first process that writes the journal after a reboot chooses the shift so
// that stored points equal the Unix time at that moment. The shift is stored in the journal and used until
// the next reboot, so that setting the machine's clock does not change any deadline.
class PersistentClock {
 public:
  PersistentClock() = default;
  explicit PersistentClock(Micros shift) : shift_(shift) {}
  // Returns the clock whose stored points equal the Unix time at the moment `now`.
  static PersistentClock startingNow(const ClockReadings& now) {
    return PersistentClock(now.unix - now.monotonic);
  }

  Micros shift() const { return shift_; }

  Micros toStored(Micros monotonic) const { return monotonic + shift_; }
  Micros toStored(Deadline deadline) const { return toStored(deadline.at()); }
  Micros fromStored(Micros stored) const { return stored - shift_; }
  Deadline deadlineFromStored(Micros stored) const { return Deadline(fromStored(stored)); }

 private:
  Micros shift_ = 0;
};

}  // namespace delivery
