// Actions: what the decision module asks the event loop to do. Types only.
#pragma once

#include "common/events.h"

namespace delivery {

// The next attempt of a message. Attempts are numbered from 0, those of earlier processes included.
struct SendAttempt {
  std::string id, endpoint;
  Micros timeout = 0;  // from now on, connecting included
};
// Its outcome is still to be reported.
struct CancelAttempt {
  std::string id;
  int attempt = 0;
};
struct Reject {  // final; submitting the message again does no harm
  std::string id;
  Micros retry_after = 0;  // the pause the client should make; 0: none named
};
struct Fail {  // final; the message may have run
  std::string id;
};
struct SubscribeEndpoints {};  // for the simulator; a process watches the list in any case
struct CloseIdleConnections {
  std::string endpoint;
};
struct SetTimer {
  Micros delay = 0;  // until a TimerFired is due
};
using Action = std::variant<SendAttempt, CancelAttempt, Reject, Fail, SubscribeEndpoints,
                            CloseIdleConnections, SetTimer, HealthRecord>;

}  // namespace delivery
