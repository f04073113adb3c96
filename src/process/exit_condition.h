// The rule that decides when a process has nothing left to do and exits.
#pragma once

#include <optional>

#include "common/deadline.h"

namespace delivery {

// The time from SIGTERM or SIGINT to the exit of the process at the latest. No call is started that could
// last longer. The platform may kill the process 3.7 s after SIGTERM; the difference is a safety margin.
constexpr Micros kShutdownTimeout = 3'400'000;

// Which process owns the journal, as this one sees it.
enum class OwnershipState {
  waiting,       // another process owns it, or this process is about to lock it
  active,        // this process owns it and serves clients
  handing_over,  // this process owns it, accepts no more clients and finishes their requests for a successor
  released,      // a successor may lock it, or has locked it; this process completes its calls
};

// The state of a process as far as its exit depends on it.
struct ExitConditions {
  OwnershipState ownership = OwnershipState::waiting;
  std::optional<Micros> time_since_stop;  // since SIGTERM or SIGINT; empty if neither was received
  Micros time_awaiting_ownership = 0;     // while released: since the release or the loss of the successor
  bool active_role_idle = false;          // while active: no message, request or completion notice is pending
  bool calls_in_flight = false;           // calls to endpoints whose outcomes are still to be reported
  bool has_successor = false;             // while released: the connection to the successor is open
  bool successor_serves = false;          // while released: the successor announced that it serves clients
  bool all_sent_to_successor = false;     // no line for the successor is waiting to be written
};

// True if the process exits now.
bool mayExit(const ExitConditions& conditions);

}  // namespace delivery
