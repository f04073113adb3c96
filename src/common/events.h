// Events: what the event loop reports to the decision module. Types only.
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

struct LoadReport {             // a destination's rate limit, as reported with an answer
  double remaining_share = 0;   // share of the allowance left
  double limit_per_second = 0;  // calls a second; 0: no limit
};

// Only after throttled, connect_failed and not_sent has the message certainly not run.
enum class AttemptResult { ok, error, throttled, timeout, connect_failed, reset, cancelled, not_sent };

// A client submits a message.
struct Arrival {
  std::string id, message_class, tenant, order_key;
  std::int64_t destination = 0;
  Deadline deadline;
  Micros work_estimate = 0;  // 0: none
  bool is_retry = false;     // a repeated request of the client, or accepted by an earlier process
};

struct RecoveredAttempt {
  std::string endpoint;  // empty: not known; else it may have left the list
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
  Micros at = 0;  // monotonic; outcomes that arrive later are lost
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

// delta: only what changed; full, cached: the whole list, from discovery or from a copy; failed: no list.
enum class EndpointUpdateKind { delta, full, cached, failed };
struct EndpointsChanged {
  EndpointUpdateKind kind = EndpointUpdateKind::full;
  std::vector<EndpointInfo> endpoints;
};

struct TimerFired {};

using Event = std::variant<Arrival, RecoveredMessage, HealthRecord, ShutdownScheduled, Abandoned,
                           AttemptOutcome, EndpointsChanged, TimerFired>;

}  // namespace delivery
