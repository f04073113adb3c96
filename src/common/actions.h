// Actions: what the decision module asks the event loop to do. Types only.
#pragma once

#include "common/events.h"

namespace delivery {

// Starts the next attempt of a message. Attempts are numbered from 0, those of earlier processes included.
struct SendAttempt {
  std::string id;
  std::string endpoint;
  // Counts from now on and includes the time to connect.
  Micros timeout = 0;
};

// Cancels an attempt in flight. Its outcome is still to be reported.
struct CancelAttempt {
  std::string id;
  int attempt = 0;
};

// Rejects a message for good. Submitting the message again does no harm.
struct Reject {
  std::string id;
  // The pause that the client should make before it submits the message again. 0: none is named.
  Micros retry_after = 0;
};

// Ends a message for good as failed. It may have run.
struct Fail {
  std::string id;
};

// Asks for the endpoint list. Only the simulator needs it; a sender process watches the list in any case.
struct SubscribeEndpoints {};

// Closes the idle connections to an endpoint.
struct CloseIdleConnections {
  std::string endpoint;
};

// Asks for a TimerFired event.
struct SetTimer {
  // From now until the event is due.
  Micros delay = 0;
};

using Action = std::variant<SendAttempt, CancelAttempt, Reject, Fail, SubscribeEndpoints,
                            CloseIdleConnections, SetTimer, HealthRecord>;

}  // namespace delivery
