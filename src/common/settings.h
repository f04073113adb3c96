// The settings of the decision module. protocol/settings_reader.h maps their names on the wire and validates
// their values. Spans are in microseconds.
#pragma once

#include <string>
#include <vector>

#include "common/deadline.h"

namespace delivery {

enum class Idempotency {
  idempotent,     // may be repeated at will
  deduplicated,   // may be repeated inside its deduplication scope and window
  non_idempotent  // must not be repeated once it may have run
};
enum class DeduplicationScope { all, zone, cell };  // the endpoints that share a record of repeats
enum class LateDecay { linear, halving };           // how a message's value falls after its latency objective
enum class WeightKind { none, nominal, rough };     // meaning of EndpointInfo::weight
enum class DiscoveryMode { push, poll };

struct MessageClass {
  std::string name;
  Micros latency_objective = 0;     // full value when delivered within this
  Micros deadline = 0;              // abandoned after this
  double work_estimate_factor = 0;  // the objective grows by so much of the message's work estimate
  double priority_weight = 1;
  double late_weight_share = 0;  // share of the weight left at the deadline
  Idempotency idempotency = Idempotency::idempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::all;
  Micros deduplication_window = 0;  // deduplicated: how long a repeat is dropped
  bool ordered = false;             // one at a time per order key
};

struct Tenant {
  std::string name;
  double quota = 0;  // messages a second at full value, over all senders
  double share = 0;  // read only, no rule depends on it
};

struct DestinationKind {
  std::string name;
  bool independent_routes = false;  // each endpoint has its own limit, Retry-After and outages
  int messages_per_call = 1;
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
  int sender_count = 1;  // senders that share the destinations
  int call_slots = 1;    // calls in flight at once
  int max_messages = 1;  // messages that are accepted and not ended, queued or in flight
  int max_attempts = 1;
  bool may_cancel = false;
  bool may_hedge = false;              // two attempts of a message in flight at once
  bool retry_after_supported = false;  // clients read Reject::retry_after
  Micros tick = 0;                     // shortest gap between two turns
  Micros answer_slack = 0;             // validated only, no rule depends on it
  Micros poll_interval = 0;            // upper bound of the backoff after failed polls
  Micros drain_grace = 0;              // validated only: no call to a draining endpoint is started
  Micros overload_window = 0;          // a warming destination that is overloaded for this long fails again
  Micros slow_start_time = 0;          // how long a destination is warming up after an outage
  Micros ordering_pause = 0;           // of an order key, after an attempt that may still run
  Micros connect_timeout = 0;
  Micros connection_idle_timeout = 0;
  Micros max_retry_after = 0;   // the longest pause that a client honours
  double slow_start_share = 1;  // share of its capacity that a destination has right after an outage
  double overload_factor = 1;   // multiple of its present capacity at which a destination is overloaded
  double over_quota_weight = 1;
};

}  // namespace delivery
