#include "process/exit_condition.h"

namespace delivery {
namespace {

// New clients may connect for up to 0.4 s after SIGTERM, until the platform has taken the address out of use.
constexpr Micros kLateClientGrace = 600'000;
// A process that released the journal and lost its successor waits this long for the lock; if it can't have
// it by then, a third process has it.
constexpr Micros kReclaimTimeout = 1'000'000;

// Without a stop the time since it is empty, which compares less than any span.
bool mayExitActive(const ExitConditions& conditions) {
  return conditions.time_since_stop > kLateClientGrace && conditions.active_role_idle &&
         !conditions.calls_in_flight;
}

bool mayExitReleased(const ExitConditions& conditions) {
  const bool stop_requested = conditions.time_since_stop.has_value();
  if (!conditions.has_successor) {
    return stop_requested || conditions.waited_for_ownership > kReclaimTimeout;
  }
  return (conditions.successor_serves || stop_requested) && !conditions.calls_in_flight &&
         conditions.all_sent_to_successor;
}

}  // namespace

bool mayExit(const ExitConditions& conditions) {
  if (conditions.time_since_stop >= kShutdownTimeout) {
    return true;
  }
  switch (conditions.ownership) {
    case OwnershipState::waiting:
      return conditions.time_since_stop.has_value();
    case OwnershipState::active:
      return mayExitActive(conditions);
    case OwnershipState::handing_over:
      return false;
    case OwnershipState::released:
      return mayExitReleased(conditions);
  }
  return false;
}

}  // namespace delivery
