// The clocks, and the change of points in time between the monotonic clock and the disk.
#pragma once

#include <string>

#include "common/deadline.h"

namespace delivery {

Micros monotonicNow();  // a clock that only goes forward, and goes on across processes until a reboot
Micros unixNow();       // a clock that holds across reboots, and may step

struct Clocks {
  Micros monotonic = 0, unix = 0;
  std::string boot;  // names the time since the last reboot; empty: not known
};
Clocks readClocks();

// Times on disk are monotonic ones, shifted so that they were Unix time when the shift was fixed. The shift
// is carried on while the monotonic clock goes on; guards against a wall clock that steps.
class DiskClock {
 public:
  DiskClock() = default;
  explicit DiskClock(Micros shift) : shift_(shift) {}
  static DiskClock of(const Clocks& c) { return DiskClock(c.unix - c.monotonic); }
  Micros shift() const { return shift_; }
  Micros toDisk(Micros monotonic) const { return monotonic + shift_; }
  Micros fromDisk(Micros at) const { return at - shift_; }
  Micros toDisk(Deadline d) const { return toDisk(d.at()); }
  Deadline deadlineFromDisk(Micros at) const { return Deadline(fromDisk(at)); }

 private:
  Micros shift_ = 0;
};

}  // namespace delivery
