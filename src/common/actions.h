// What the decision module asks the event loop to do. Types only: no decision stands here.
#pragma once

#include "common/events.h"

namespace delivery {

struct SendAttempt {
  std::string id, endpoint;
  Micros timeout = 0;
};
struct CancelAttempt {
  std::string id;
  int attempt = 0;
};
struct Reject {  // final; submitting the message again does no harm
  std::string id;
  Micros retry_after = 0;
};
struct Fail {  // final; the message may have run
  std::string id;
};
struct SubscribeEndpoints {};
struct CloseIdleConnections {
  std::string endpoint;
};
struct SetTimer {
  Micros delay = 0;
};
using Action = std::variant<SendAttempt, CancelAttempt, Reject, Fail, SubscribeEndpoints,
                            CloseIdleConnections, SetTimer, HealthRecord>;

}  // namespace delivery
