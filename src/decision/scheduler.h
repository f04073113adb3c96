// The interface of the decision module. Types only: no decision and no tuned value stands here.
// One DeliveryScheduler decides for one sending process. It does no I/O and reads no clock: the host hands it
// what happened (events) and carries out what it answers (actions).
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/deadline.h"

namespace delivery {

enum class Idempotency {
  idempotent,
  with_key,
  non_idempotent
};  // repeat at will, repeat inside group and memory, never twice
enum class DeduplicationScope { all, zone, cell };  // keyed: which endpoints of the destination drop repeats
enum class LateDecay { linear, halving };           // how worth falls once the aim has passed
enum class WeightKind { none, nominal, rough };     // what EndpointInfo::weight tells
enum class DiscoveryMode { push, poll };            // does membership come by itself?

struct MessageClass {
  std::string name;
  Micros latency_objective = 0;  // full worth when delivered within this
  Micros deadline = 0;           // given up after this
  double objective_stretch = 0;
  double priority_weight = 1;
  double late_weight_share = 0;  // share of the worth left at the deadline
  Idempotency idempotency = Idempotency::idempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::all;
  Micros deduplication_window = 0;  // keyed: how long a repeat is dropped
  bool ordered = false;             // one at a time per order key
};

struct Tenant {
  std::string name;
  double quota = 0;  // messages a second inside its share, over all senders
  double share = 0;
};

struct DestinationKind {  // a kind of destination
  std::string name;
  bool independent_routes = false;  // each endpoint has its own limit, waits and outages
  int messages_per_call = 1;        // messages that may share a call
};

struct Settings {
  std::vector<MessageClass> classes;
  std::vector<Tenant> tenants;
  std::vector<DestinationKind> destination_kinds;
  std::vector<double> zone_cost;  // by position in zones
  std::vector<std::string> zones;
  LateDecay late_decay = LateDecay::linear;
  WeightKind weight_kind = WeightKind::none;
  DiscoveryMode discovery_mode = DiscoveryMode::push;
  int sender_count = 1;  // how many senders share the destinations
  int call_slots = 1;    // calls out at once
  int max_messages = 1;  // messages held, sent or not
  int max_attempts = 1;
  bool may_cancel = false;
  bool may_hedge = false;              // two attempts of a message out at once
  bool retry_after_supported = false;  // does a client hear Reject::pause?
  Micros tick = 0;                     // shortest gap between two calls of decide
  Micros answer_slack = 0;
  Micros poll_interval = 0;  // list by asking: unasked for this long, the list counts as told
  Micros drain_grace = 0;
  Micros overload_window = 0;  // a cold destination overloaded for this long falls over
  Micros slow_start_time = 0;  // warm after this at the latest
  Micros ordering_pause = 0;
  Micros connect_timeout = 0;
  Micros connection_idle_timeout = 0;
  Micros max_retry_after = 0;   // the longest pause that a client honours
  double slow_start_share = 1;  // share of capacity right after an outage
  double overload_factor = 1;   // times present capacity that makes it fall
  double over_quota_weight = 1;
};

enum class EndpointState { ready, draining, removed };

struct EndpointInfo {
  std::string id;
  std::string zone;
  std::string kind;
  std::int64_t destination = 0;
  EndpointState state = EndpointState::ready;
  double weight = 0;  // calls a second that the destination (or route) takes, see WeightKind
};

struct LoadReport {             // what an answer told of the destination's limit
  double remaining_share = 0;   // share of the allowance left
  double limit_per_second = 0;  // calls a second; 0: no limit
};

enum class AttemptResult { ok, error, throttled, timeout, connect_failed, reset, cancelled, not_sent };

// ---- events
struct Arrival {
  std::string id, message_class, tenant, order_key;
  std::int64_t destination = 0;
  Deadline deadline;
  Micros work_estimate = 0;  // guess of its own work, 0: none
  bool is_retry = false;     // a client's next try, or held before by a sender that died
};
// A message that this sender had taken on before its process ended, with its attempts.
struct RecoveredAttempt {
  std::string endpoint;  // may be listed no more, or unknown
  Micros sent_at = 0;    // may be before the first turn
  bool may_have_run = true;
  bool in_flight = false;  // the process before still has it out, and its outcome will come
};
struct RecoveredMessage {
  Arrival message;
  bool after_restart = true;  // false: from a process that hands over, and is one sender with this one
  std::vector<RecoveredAttempt> attempts;
};
// The health of a destination, or of an endpoint that is a route apart, for the next process of this sender:
// asked to be kept as an action, given back as an event. cold_since in the far past: healthy.
struct HealthRecord {
  std::string endpoint;  // empty: the destination
  std::int64_t destination = 0;
  bool down = false;
  Micros warming_since = 0;
  Micros retry_after_until = 0;  // told to wait
};
// This process ends at `at`: an outcome that comes later is not heard.
struct ShutdownScheduled {
  Micros at = 0;
};
struct Abandoned {
  std::string id;
};  // nobody wants it any more
struct AttemptOutcome {
  std::string id;
  int attempt = 0;
  AttemptResult result = AttemptResult::ok;
  bool finished = false;
  bool still_in_flight = false;  // no outcome yet, just the wait that its answer has told
  Micros retry_after = 0;        // full: nothing to this destination for so long; 0: none told
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

// ---- actions
struct SendAttempt {
  std::string id, endpoint;
  Micros timeout = 0;
};
struct CancelAttempt {
  std::string id;
  int attempt = 0;
};
struct Reject {
  std::string id;
  Micros retry_after = 0;
};  // final: handing it in again is harmless
struct Fail {
  std::string id;
};                             // final: no such promise
struct SubscribeEndpoints {};  // subscribe to membership changes
struct CloseIdleConnections {
  std::string endpoint;
};
struct SetTimer {
  Micros delay = 0;
};
using Action = std::variant<SendAttempt, CancelAttempt, Reject, Fail, SubscribeEndpoints,
                            CloseIdleConnections, SetTimer, HealthRecord>;

class DeliveryScheduler {
 public:
  // The settings have been checked where they were read.
  DeliveryScheduler(Settings settings, std::uint64_t seed);
  ~DeliveryScheduler();

  // All that happened at `now`, in order; answers what to do at the same moment. `now` never goes back.
  std::vector<Action> decide(Micros now, const std::vector<Event>& events);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace delivery
