// The decision module's entry: one DeliveryScheduler decides for one sending process. It does no I/O and
// reads no clock: the event loop passes events in and carries out the actions it gets back.
#pragma once

#include <memory>

#include "common/actions.h"
#include "common/events.h"
#include "common/settings.h"

namespace delivery {

class DeliveryScheduler {
 public:
  // The settings have been validated by their reader. `seed` makes all random choices reproducible.
  DeliveryScheduler(Settings settings, std::uint64_t seed);
  ~DeliveryScheduler();

  // Takes the events up to `now` in their order; returns the actions for that moment. `now` never goes back.
  std::vector<Action> decide(Micros now, const std::vector<Event>& events);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace delivery
