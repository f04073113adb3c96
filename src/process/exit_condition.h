// The rule that says when a process has nothing left to do.
#pragma once

#include <optional>

#include "common/deadline.h"

namespace delivery {

// After SIGTERM: no call is started that would last longer. It leaves some room before the 3.7 s after which
// the platform may kill the process.
constexpr Micros kShutdownTimeout = 3'400'000;

// Which process owns the journal, as this one sees it.
enum class OwnershipState {
  waiting,       // another process owns it, or it is about to be locked
  active,        // this process owns it and serves clients
  handing_over,  // this process owns it, accepts no more clients and finishes their requests for a successor
  released,      // a successor may lock it, or has; this process completes its calls
};

struct ExitConditions {
  OwnershipState ownership = OwnershipState::waiting;
  std::optional<Micros> time_since_stop;  // since SIGTERM or SIGINT; none: not received
  Micros waited_for_ownership = 0;        // while released: since then, or since the successor was lost
  bool active_role_idle = false;          // while active: no message, request or completion notice is pending
  bool calls_in_flight = false;           // calls to endpoints
  bool has_successor = false;             // while released: the connection to the successor is open
  bool successor_serves = false;          // while released: the successor said so
  bool all_sent_to_successor = false;
};

// True: the process ends now.
bool mayExit(const ExitConditions& conditions);

}  // namespace delivery
