// A module whose every decision throws, linked with the adapter to show what becomes of it on the wire.
#include <stdexcept>

#include "decision/scheduler.h"

namespace delivery {

struct DeliveryScheduler::Impl {};
// NOLINTNEXTLINE(performance-unnecessary-value-param): scheduler.h declares it so
DeliveryScheduler::DeliveryScheduler(Settings, std::uint64_t) {}
DeliveryScheduler::~DeliveryScheduler() = default;
std::vector<Action> DeliveryScheduler::decide(Micros, const std::vector<Event>&) {
  throw std::out_of_range("tag without a message");
}

}  // namespace delivery
