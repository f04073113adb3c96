// Outlier detection: finds endpoints that are slower or fail more often than usual, ejects destinations and
// endpoints that serve nothing, and limits the call slots that outliers may use.
#pragma once

#include "decision/state.h"

namespace delivery {

// This many failures in a row, throttled calls in a row or overdue calls show that nothing is served, and the
// scope is ejected. With many senders one failure is enough.
constexpr int kFailuresToEject = 3;

// A scope is ejected if a larger share of its latest outcomes are failures.
constexpr double kMaxFailureShare = 0.5;

// The weight of the newest outcome in the shares of HealthStats.
constexpr double kOutcomeGain = 0.25;

// An endpoint is slow if its recent latency is more than this ratio x the common slowdown x its baseline.
constexpr double kSlowRatio = 4;

// The weight of the newest latency in the recent latency, and its smallest weight in the baseline.
constexpr double kRecentLatencyGain = 0.25;
constexpr double kBaselineLatencyGain = 0.04;

// An endpoint is compared with others only if its baseline has more latency samples than this.
constexpr int kMinLatencySamples = 4;

// The common slowdown is measured only if at least this many endpoints can be compared.
constexpr std::size_t kMinEndpointsToCompare = 3;

// An endpoint counts as recently active for this many overload windows after its latest outcome.
constexpr Micros kRecentActivityWindows = 2;

// The time-out of a call, in baseline latencies.
constexpr double kTimeoutRatio = 8;

// A call is overdue if there is no answer after this ratio x the common slowdown x the baseline latency.
constexpr double kOverdueRatio = 4;

// All outliers together may use this share of the call slots, but at least one slot.
constexpr double kBulkheadShare = 0.5;

// Records outcomes and latencies, and decides which endpoints are outliers or ejected.
struct OutlierDetector {
  const DecisionContext& context;
  // How much slower than their baseline the endpoints are at present, by the median. 1 or more.
  double common_slowdown = 1;
  // The mean latency of all answered calls, in microseconds. Valid if there were any.
  double mean_latency = 0;
  int answered_calls = 0;
  // The endpoints with recent outcomes, by their id.
  std::map<std::string, Endpoint*> recently_active{};

  // Whether the scope is ejected, or in the slow start after an outage.
  bool isWarmingUp(const HealthStats& health) const {
    return health.ejected || context.now - health.warming_since < context.settings.slow_start_time;
  }

  bool isOutlier(const HealthStats& health) const {
    const bool is_slow =
        health.latency_samples > kMinLatencySamples && health.relative_latency > kSlowRatio * common_slowdown;
    return health.ejected || is_slow || health.overdue_calls > 0 || health.consecutive_failures > 0;
  }

  // Whether the endpoint itself or the scope that governs it is an outlier.
  bool isOutlier(Endpoint& endpoint) const {
    return isOutlier(endpoint.own_scope.health) || isOutlier(endpoint.governingScope().health);
  }

  // Returns the latency of the endpoint over the long term, in microseconds. Without samples of the endpoint
  // this is the baseline of its destination, else the mean latency of all calls, else a default.
  double baselineLatency(const Endpoint& endpoint) const {
    const HealthStats& shared_health = endpoint.destination->shared_scope.health;
    if (endpoint.own_scope.health.latency_samples > 0) {
      return endpoint.own_scope.health.baseline_latency;
    }
    if (shared_health.latency_samples > 0) {
      return shared_health.baseline_latency;
    }
    // The default makes the time-out of a call equal to the shortest latency objective.
    return answered_calls > 0 ? mean_latency : context.shortest_latency_objective / kTimeoutRatio;
  }

  void eject(HealthStats& health) const {
    health.ejected = true;
    health.warming_since = context.now;
    health.first_failure_at = std::min(health.first_failure_at, context.now);
  }

  // Measures the common slowdown. A slowdown that all endpoints share makes none of them an outlier, so each
  // is compared with the median of those that were recently active.
  void measureCommonSlowdown() {
    std::vector<double> relative_latencies;
    for (auto it = recently_active.begin(); it != recently_active.end();) {
      const HealthStats& health = it->second->own_scope.health;
      const bool is_recent =
          context.now - health.last_outcome_at < kRecentActivityWindows * context.settings.overload_window;
      if (is_recent && health.latency_samples > kMinLatencySamples) {
        relative_latencies.push_back(health.relative_latency);
      }
      it = is_recent ? std::next(it) : recently_active.erase(it);
    }
    common_slowdown = 1;
    if (relative_latencies.size() < kMinEndpointsToCompare) {
      return;
    }
    const auto median = relative_latencies.begin() + static_cast<long>(relative_latencies.size() / 2);
    std::nth_element(relative_latencies.begin(), median, relative_latencies.end());
    common_slowdown = std::max(1.0, *median);
  }

  // Counts the overdue calls of all endpoints and destinations anew, and ejects those with too many. Overdue
  // calls show that a destination hangs before any of its calls times out.
  void countOverdueCalls(const InFlightCalls& calls) const {
    for (const auto& [sequence_number, reference] : calls.attempts) {
      clearOverdueCalls(*reference.attempt().endpoint);
    }
    for (const auto& [sequence_number, reference] : calls.attempts) {
      Attempt& attempt = reference.attempt();
      HealthStats& own_health = attempt.endpoint->own_scope.health;
      HealthStats& governing_health = attempt.endpoint->governingScope().health;
      const double overdue_after = kOverdueRatio * common_slowdown * baselineLatency(*attempt.endpoint);
      if (context.now - attempt.sent_at < overdue_after) {
        continue;
      }
      attempt.overdue = true;
      if (own_health.last_success_at < attempt.sent_at) {
        ++own_health.overdue_calls;
      }
      if (&governing_health != &own_health && governing_health.last_success_at < attempt.sent_at) {
        ++governing_health.overdue_calls;
      }
      if (governing_health.overdue_calls >= kFailuresToEject) {
        eject(governing_health);
      }
    }
  }

  static void clearOverdueCalls(Endpoint& endpoint) {
    endpoint.own_scope.health.overdue_calls = endpoint.destination->shared_scope.health.overdue_calls = 0;
  }

  // Records that an endpoint had an outcome, and if it answered, the latency in the mean of all calls.
  void recordActivity(Endpoint& endpoint, bool answered, Micros latency) {
    recently_active[endpoint.info.id] = &endpoint;
    if (!answered) {
      return;
    }
    ++answered_calls;
    mean_latency += (latency - mean_latency) / answered_calls;
  }

  // Records a latency in microseconds. The latency of a call without an answer counts only as a recent one,
  // and only if it is longer than the recent ones: a quick failure says nothing about the latency.
  void recordLatency(HealthStats& health, double latency, bool answered) const {
    if (health.latency_samples == 0 && !answered) {
      return;
    }
    if (health.latency_samples == 0) {
      health.baseline_latency = latency;
    }
    double& baseline = health.baseline_latency;
    const double relative_latency = latency / std::max(1.0, baseline);
    if (!answered && relative_latency < health.relative_latency) {
      return;
    }
    health.relative_latency += kRecentLatencyGain * (relative_latency - health.relative_latency);
    // The first samples are averaged evenly.
    const double gain = std::max(kBaselineLatencyGain, 1.0 / (health.latency_samples + 1));
    if (answered && !isOutlier(health)) {
      baseline += gain * (std::min(latency, kSlowRatio * baseline) - baseline);
    }
    if (answered) {
      ++health.latency_samples;
    }
  }

  // Records an outcome. Returns whether it ejects the scope, or ends its ejection.
  bool recordOutcome(HealthStats& health, AttemptResult result) const {
    health.last_outcome_at = context.now;
    const bool is_unknown =
        result == AttemptResult::error || result == AttemptResult::timeout || result == AttemptResult::reset;
    health.unknown_outcome_share += kOutcomeGain * ((is_unknown ? 1.0 : 0.0) - health.unknown_outcome_share);
    if (result == AttemptResult::ok) {
      return recordSuccess(health);
    }
    return recordFailure(health, result == AttemptResult::throttled);
  }

  // Records a success. It ends an ejection, and starts the slow start after an outage: after an ejection, or
  // after failures with no success for a whole overload window. An ejection after few failures within less
  // than half a window needs no slow start.
  bool recordSuccess(HealthStats& health) const {
    const Micros now = context.now;
    const Micros window = context.settings.overload_window;
    const bool was_ejected = health.ejected;
    const bool was_failing = health.consecutive_failures > 0 && health.first_failure_at != kNever;
    const bool failures_were_minor =
        health.failure_share <= kMaxFailureShare && now - health.first_failure_at < window / 2;
    if (was_ejected || (was_failing && now - health.last_success_at > window)) {
      health.warming_since = was_ejected && failures_were_minor ? kLongAgo : now;
    }
    health.failure_share -= kOutcomeGain * health.failure_share;
    health.ejected = false;
    health.consecutive_failures = health.consecutive_throttles = 0;
    health.first_failure_at = kNever;
    health.last_success_at = now;
    return was_ejected;
  }

  // Records a failed or throttled call. Failures, time-outs, failed connects and unbroken throttling all show
  // that nothing is served. Returns whether the scope is ejected for it.
  bool recordFailure(HealthStats& health, bool throttled) const {
    const Micros window = context.settings.overload_window;
    int& failures = health.consecutive_failures;
    int& throttles = health.consecutive_throttles;
    health.first_failure_at = std::min(health.first_failure_at, context.now);
    throttles += throttled ? 1 : 0;
    failures += throttled ? 0 : 1;
    if (!throttled) {
      health.failure_share += kOutcomeGain * (1 - health.failure_share);
    }
    const Micros failing_for = context.now - std::max(health.last_success_at, health.first_failure_at);
    const bool throttles_all = throttles >= kFailuresToEject && failing_for > window / 2;
    const bool has_enough_evidence =
        context.hasManySenders() || failures >= kFailuresToEject || failing_for > window;
    const bool fails_all = failures > 0 && has_enough_evidence;
    if (health.failure_share <= kMaxFailureShare && !throttles_all && !fails_all) {
      return false;
    }
    if (throttles_all && throttled) {
      failures = std::max(failures, 1);
    }
    eject(health);
    return true;
  }
};

// Isolates outliers: the calls to all of them together use only a share of the call slots.
struct OutlierBulkhead {
  DecisionContext& context;
  const InFlightCalls& calls;
  const OutlierDetector& detector;

  // Whether a further call to an outlier may be started.
  bool hasRoom() const { return excessCalls() < 0; }

  // Returns by how many calls to outliers the bulkhead is exceeded; negative while there is room.
  int excessCalls() const {
    std::set<std::uint64_t> outlier_calls;
    for (const auto& [sequence_number, reference] : calls.attempts) {
      if (detector.isOutlier(*reference.attempt().endpoint)) {
        outlier_calls.insert(reference.attempt().call_number);
      }
    }
    const int max_calls = std::max(1, static_cast<int>(kBulkheadShare * context.settings.call_slots));
    return static_cast<int>(outlier_calls.size()) - max_calls;
  }

  // Cancels overdue calls to outliers while no slot is left for others. The bulkhead may be exceeded by calls
  // that were in flight when their destination became an outlier. Calls of messages that may be repeated are
  // cancelled first.
  void cancelExcessCalls() const {
    if (!context.settings.may_cancel || !calls.allSlotsUsed()) {
      return;
    }
    int calls_to_cancel = excessCalls();
    std::multimap<Idempotency, AttemptRef> overdue_attempts;
    for (const auto& [sequence_number, reference] : calls.attempts) {
      const Attempt& attempt = reference.attempt();
      if (attempt.cancel_requested) {
        --calls_to_cancel;
      } else if (attempt.overdue && detector.isOutlier(*attempt.endpoint)) {
        overdue_attempts.insert({reference.message->message_class->idempotency, reference});
      }
    }
    for (const auto& [idempotency, reference] : overdue_attempts) {
      if (calls_to_cancel <= 0) {
        return;
      }
      --calls_to_cancel;
      reference.attempt().cancel_requested = true;
      context.actions.emplace_back(CancelAttempt{reference.message->id, static_cast<int>(reference.index)});
    }
  }
};

}  // namespace delivery
