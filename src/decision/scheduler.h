// The entry of the decision module: one DeliveryScheduler decides for one sending process. It does no I/O and
// reads no clock. The event loop passes events in and carries out the actions that it gets back.
#pragma once

#include <memory>

#include "common/actions.h"
#include "common/events.h"
#include "common/settings.h"

namespace delivery {

// Decides which message is sent when and to which endpoint, which one is rejected, and which call is
// cancelled.
class DeliveryScheduler {
 public:
  // The settings have to be valid; their reader checks them. `seed` makes all random choices reproducible.
  DeliveryScheduler(Settings settings, std::uint64_t seed);
  ~DeliveryScheduler();

  // Runs one decision round: applies the events in their order and returns the actions to carry out at `now`.
  // `now` is on the monotonic clock and never goes back from one call to the next.
  std::vector<Action> decide(Micros now, const std::vector<Event>& events);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace delivery
