// A decision module that throws in every decision. It is linked with the simulator adapter to test what the
// adapter then sends to the simulator.
#include <stdexcept>

#include "decision/scheduler.h"

namespace delivery {

struct DeliveryScheduler::Impl {};
// NOLINTNEXTLINE(performance-unnecessary-value-param): scheduler.h declares the parameter by value
DeliveryScheduler::DeliveryScheduler(Settings, std::uint64_t) {}
DeliveryScheduler::~DeliveryScheduler() = default;
std::vector<Action> DeliveryScheduler::decide(Micros, const std::vector<Event>&) {
  throw std::out_of_range("tag without a message");
}

}  // namespace delivery
