// The settings of the decision module. protocol/settings_reader.h maps their names on the wire and validates
// their values. All spans are in microseconds.
#pragma once

#include <string>
#include <vector>

#include "common/deadline.h"

namespace delivery {

// Whether a message may be sent again after an attempt that may have run.
enum class Idempotency {
  idempotent,     // It may be repeated at any time.
  deduplicated,   // It may be repeated within its deduplication scope and window.
  non_idempotent  // It must not be repeated once it may have run.
};

// The endpoints that share one record of the messages received, and so recognize each other's repeats: all
// endpoints, those of one zone, or those of one zone and one destination.
enum class DeduplicationScope { all, zone, cell };

// How the value of a message falls after its latency objective: linearly until the deadline, or by half for
// each further objective, but not below late_weight_share. From the deadline on the value is 0.
enum class LateDecay { linear, halving };

// What EndpointInfo::weight says: nothing, the destination's limit, or an approximation of the limit.
enum class WeightKind { none, nominal, rough };

// How endpoint lists arrive: discovery sends each change, or the sender asks for the list.
enum class DiscoveryMode { push, poll };

// The rules for all messages of one class.
struct MessageClass {
  std::string name;
  // A message that is delivered within this span of its submission has its full value.
  Micros latency_objective = 0;
  // The span from the submission of a message to the end of its value. The message is abandoned shortly
  // before the deadline in its Arrival; its time of submission is taken to be at the latest this span before
  // that deadline.
  Micros deadline = 0;
  // The latency objective of a message is extended by this factor times its work estimate.
  double work_estimate_factor = 0;
  // The value of a message that is delivered within its latency objective.
  double priority_weight = 1;
  // The share of the priority weight that is left just before the deadline. With LateDecay::halving it is the
  // smallest share before the deadline.
  double late_weight_share = 0;
  Idempotency idempotency = Idempotency::idempotent;
  // Used only for deduplicated messages, as is the window below.
  DeduplicationScope deduplication_scope = DeduplicationScope::all;
  // For this long after an attempt was sent, a repeat of it is recognized and dropped.
  Micros deduplication_window = 0;
  // Messages of one order key are sent one at a time, in the order of their submission.
  bool ordered = false;
};

// A customer whose traffic is measured against a quota.
struct Tenant {
  std::string name;
  // Messages a second that have their full value, over all senders. 0: no quota.
  double quota = 0;
  // Read from the settings; no rule depends on it.
  double share = 0;
};

// Properties that all destinations of one kind have in common.
struct DestinationKind {
  std::string name;
  // Each endpoint has its own limit, Retry-After and outages.
  bool independent_routes = false;
  // The largest number of messages that one call may carry.
  int messages_per_call = 1;
};

// All settings of one sender's decision module.
struct Settings {
  std::vector<MessageClass> classes;
  std::vector<Tenant> tenants;
  std::vector<DestinationKind> destination_kinds;
  // The cost of a call into each zone, in the order of `zones`. A zone without an entry costs 0. It counts
  // only for endpoints with their own route.
  std::vector<double> zone_cost;
  std::vector<std::string> zones;
  LateDecay late_decay = LateDecay::linear;
  WeightKind weight_kind = WeightKind::none;
  DiscoveryMode discovery_mode = DiscoveryMode::push;
  // The number of senders that share the destinations, this one included.
  int sender_count = 1;
  // The largest number of calls in flight at once.
  int call_slots = 1;
  // The largest number of messages that are accepted and have not ended, queued or in flight.
  int max_messages = 1;
  // The largest number of attempts of one message, those of earlier processes included.
  int max_attempts = 1;
  // Calls in flight may be cancelled.
  bool may_cancel = false;
  // Two attempts of one message may be in flight at once.
  bool may_hedge = false;
  // Clients read Reject::retry_after.
  bool retry_after_supported = false;
  // The shortest gap between two decision rounds.
  Micros tick = 0;
  // Validated only; no rule depends on it.
  Micros answer_slack = 0;
  // The upper bound of the backoff after failed polls.
  Micros poll_interval = 0;
  // Validated only: no call to a draining endpoint is started at all.
  Micros drain_grace = 0;
  // A warming destination that is overloaded for this long fails again. Rates of change and the evidence for
  // an outage are measured in this span, too.
  Micros overload_window = 0;
  // How long a destination is warming up after an outage.
  Micros slow_start_time = 0;
  // How long an order key pauses after an attempt that may still run.
  Micros ordering_pause = 0;
  Micros connect_timeout = 0;
  // Endpoints close a connection that has been idle for this long, so it is no longer used then, or shortly
  // before. 0: they do not close it.
  Micros connection_idle_timeout = 0;
  // The longest pause that a client honours.
  Micros max_retry_after = 0;
  // The share of its capacity that a destination has right after an outage.
  double slow_start_share = 1;
  // A destination is overloaded at this multiple of its present capacity.
  double overload_factor = 1;
  // The factor of the priority weight for a tenant's traffic beyond its quota.
  double over_quota_weight = 1;
};

}  // namespace delivery
