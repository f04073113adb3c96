// The machine's clocks, and the conversion of points in time between the monotonic clock and stored records.
#pragma once

#include <string>

#include "common/deadline.h"

namespace delivery {

// A clock that never steps and goes on across processes until the machine reboots.
Micros monotonicNow();
// Unix time: it goes on across reboots, and may step when the machine's clock is set.
Micros unixNow();

// All clocks at one moment.
struct ClockReadings {
  Micros monotonic = 0;
  Micros unix = 0;
  std::string boot;  // identifies the time since the last reboot; empty if it is not known
};

ClockReadings readClocks();

// Converts points on the monotonic clock to the form in which they are stored, and back. A stored point is
// the monotonic one plus a shift, which is fixed when the first process after a reboot writes the journal:
// stored points were Unix time at that moment. The shift is stored with them and used until the next reboot,
// so that setting the machine's clock changes no deadline.
class PersistentClock {
 public:
  PersistentClock() = default;
  explicit PersistentClock(Micros shift) : shift_(shift) {}
  // For a journal whose stored points are Unix time as of `now`.
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
