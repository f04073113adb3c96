#include "process/exit_condition.h"

namespace delivery {
namespace {

// How long a stopped process goes on serving new clients. They may connect for up to 0.4 s after SIGTERM,
// until the platform has taken the address out of use.
constexpr Micros kLateClientGrace = 600'000;
// How long a process that released the journal and lost its successor tries to lock the journal again. If it
// can't lock it within this time, a third process owns it.
constexpr Micros kReclaimTimeout = 1'000'000;

// Without a stop, time_since_stop is empty and compares less than any span.
bool mayExitActive(const ExitConditions& conditions) {
  return conditions.time_since_stop > kLateClientGrace && conditions.active_role_idle &&
         !conditions.calls_in_flight;
}

bool mayExitReleased(const ExitConditions& conditions) {
  const bool stop_requested = conditions.time_since_stop.has_value();
  if (!conditions.has_successor) {
    return stop_requested || conditions.time_awaiting_ownership > kReclaimTimeout;
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
