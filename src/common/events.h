// What the event loop reports to the decision module. Types only: no decision stands here.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/deadline.h"

namespace delivery {

enum class EndpointState { ready, draining, removed };

struct EndpointInfo {
  std::string id;
  std::string zone;
  std::string kind;
  std::int64_t destination = 0;
  EndpointState state = EndpointState::ready;
  double weight = 0;  // calls a second that the destination (or route) takes, see WeightKind
};

struct LoadReport {             // of the destination's rate limit, sent with an answer
  double remaining_share = 0;   // share of the allowance left
  double limit_per_second = 0;  // calls a second; 0: no limit
};

enum class AttemptResult { ok, error, throttled, timeout, connect_failed, reset, cancelled, not_sent };

struct Arrival {
  std::string id, message_class, tenant, order_key;
  std::int64_t destination = 0;
  Deadline deadline;
  Micros work_estimate = 0;  // 0: none
  bool is_retry = false;     // a repeated request of the client, or accepted by an earlier process
};

struct RecoveredAttempt {
  std::string endpoint;  // may be listed no more, or unknown
  Micros sent_at = 0;    // may be before the first turn
  bool may_have_run = true;
  bool in_flight = false;  // the earlier process waits for its outcome and will forward it
};

// A message that an earlier process of this sender accepted, with its attempts.
struct RecoveredMessage {
  Arrival message;
  bool after_restart = true;  // false: handed over by a process that still runs
  std::vector<RecoveredAttempt> attempts;
};

// The health of a destination or of an endpoint with its own route, persisted for the next process of this
// sender: an action when it changes, an event after a restart.
struct HealthRecord {
  std::string endpoint;  // empty: the destination
  std::int64_t destination = 0;
  bool ejected = false;
  Micros warming_since = 0;  // far in the past: healthy
  Micros retry_after_until = 0;
};

struct ShutdownScheduled {
  Micros at = 0;  // outcomes that come later are lost
};

struct Abandoned {  // the client no longer waits for this message
  std::string id;
};

struct AttemptOutcome {
  std::string id;
  int attempt = 0;
  AttemptResult result = AttemptResult::ok;
  bool finished = false;
  bool still_in_flight = false;  // no outcome yet, only the Retry-After of the answer's head
  Micros retry_after = 0;        // 0: none given
  Micros round_trip_time = 0;
  std::optional<LoadReport> load_report;
};

enum class EndpointUpdateKind { delta, full, cached, failed };
struct EndpointsChanged {
  EndpointUpdateKind kind = EndpointUpdateKind::full;
  std::vector<EndpointInfo> endpoints;
};

struct TimerFired {};

using Event = std::variant<Arrival, RecoveredMessage, HealthRecord, ShutdownScheduled, Abandoned,
                           AttemptOutcome, EndpointsChanged, TimerFired>;

}  // namespace delivery
