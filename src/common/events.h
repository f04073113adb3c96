// Events: what the event loop reports to the decision module. Types only.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/deadline.h"

namespace delivery {

// Attempts are started only at ready endpoints.
enum class EndpointState { ready, draining, removed };

// An entry of the endpoint list.
struct EndpointInfo {
  std::string id;
  std::string zone;
  // The name of a DestinationKind. An unknown name stands for a kind with default properties.
  std::string kind;
  std::int64_t destination = 0;
  EndpointState state = EndpointState::ready;
  // Calls a second that the destination takes, or the endpoint if it has its own route; see WeightKind.
  double weight = 0;
};

// A destination's rate limit, as reported with an answer.
struct LoadReport {
  // The share of the allowance that is left.
  double remaining_share = 0;
  // Calls a second. 0: no limit is reported.
  double limit_per_second = 0;
};

// How an attempt ended. The message has certainly not run only after throttled, connect_failed and not_sent.
enum class AttemptResult { ok, error, throttled, timeout, connect_failed, reset, cancelled, not_sent };

// A client submits a message.
struct Arrival {
  std::string id;
  std::string message_class;
  // Empty: the message names no tenant.
  std::string tenant;
  // Empty: the message is sent independently of others.
  std::string order_key;
  std::int64_t destination = 0;
  Deadline deadline;
  // How long the endpoint is expected to work on the message, in microseconds. 0: no estimate.
  Micros work_estimate = 0;
  // The client repeats an earlier request, or an earlier process accepted the message.
  bool is_retry = false;
};

// An attempt that an earlier process of this sender made.
struct RecoveredAttempt {
  // Empty if it is not known. The endpoint may have left the list since.
  std::string endpoint;
  // May lie before the first decision round of this process.
  Micros sent_at = 0;
  bool may_have_run = true;
  // The earlier process waits for the outcome and will forward it.
  bool in_flight = false;
};

// A message that an earlier process of this sender accepted, with its attempts.
struct RecoveredMessage {
  Arrival message;
  // False if the message was handed over by a process that still runs.
  bool after_restart = true;
  // In the order of their numbers.
  std::vector<RecoveredAttempt> attempts;
};

// The health of a destination or of an endpoint with its own route, persisted for the next process of this
// sender: an action when it changes, an event after a restart.
struct HealthRecord {
  // Empty: the record is about the whole destination.
  std::string endpoint;
  std::int64_t destination = 0;
  // The scope serves nothing and gets only single trial calls.
  bool ejected = false;
  // The start of the slow start after the latest outage. Far in the past if there was no outage, or only a
  // minor one that needed no slow start.
  Micros warming_since = 0;
  // No call may be sent before this moment.
  Micros retry_after_until = 0;
};

// Whether attempts can be recorded at present. Without a record none may be started, so no attempt is decided
// on until they can be recorded again.
struct JournalAvailability {
  bool is_writable = true;
};

// This process will end.
struct ShutdownScheduled {
  // On the monotonic clock. Outcomes that arrive later are lost.
  Micros at = 0;
};

// The message ends without an answer of the decision module and without further attempts. In the simulator
// its client no longer waits. In a sender process its acceptance could not be persisted, and the process
// itself replies to the client that it is busy.
struct Abandoned {
  std::string id;
};

// The outcome of one attempt, or a first part of it; see `still_in_flight`.
struct AttemptOutcome {
  std::string id;
  int attempt = 0;
  AttemptResult result = AttemptResult::ok;
  // The message has ended with this attempt and is not to be sent again.
  bool finished = false;
  // The attempt was not started, as it could not be recorded. It does not count towards the maximum.
  bool never_started = false;
  // The attempt has no outcome yet. Only the Retry-After in the head of its answer is reported.
  bool still_in_flight = false;
  // 0: the answer named no pause.
  Micros retry_after = 0;
  // 0: not measured.
  Micros round_trip_time = 0;
  std::optional<LoadReport> load_report;
};

// What an endpoint update holds.
enum class EndpointUpdateKind {
  delta,   // only the entries that changed
  full,    // the whole list, from discovery
  cached,  // the whole list, from a stored copy
  failed   // nothing, as no list could be fetched
};

// The endpoint list has changed, or could not be fetched.
struct EndpointsChanged {
  EndpointUpdateKind kind = EndpointUpdateKind::full;
  std::vector<EndpointInfo> endpoints;
};

// The delay of an earlier SetTimer has passed.
struct TimerFired {};

using Event = std::variant<Arrival, RecoveredMessage, HealthRecord, JournalAvailability, ShutdownScheduled,
                           Abandoned, AttemptOutcome, EndpointsChanged, TimerFired>;

}  // namespace delivery
