// Detects outlier endpoints, ejects those that serve nothing, and limits the call slots outliers may use.
#pragma once

#include "decision/state.h"

namespace delivery {

constexpr int kFailuresToEject = 3;  // in a row; where a sender is one of many, one
constexpr double kMaxFailureShare = 0.5;
constexpr double kOutcomeGain = 0.25;   // weight of the newest outcome in the shares
constexpr double kSlowRatio = 4;        // recent over usual latency, relative to the common slowdown
constexpr double kRecentGain = 0.25;    // weight of the newest latency in the recent one
constexpr double kUsualGain = 0.04;     // and in the usual one
constexpr double kTimeoutRatio = 8;     // time-out of a call, in usual latencies
constexpr double kOverdueRatio = 4;     // overdue after this many usual latencies without an answer
constexpr double kBulkheadShare = 0.5;  // of the slots, for all outliers together; one slot at least

struct OutlierDetector {
  const Turn& turn;
  double common_slowdown = 1, mean_latency = 0;  // mean_latency: of all answered calls, in microseconds
  int answered_calls = 0;
  std::map<std::string, Endpoint*> recently_active{};

  bool isWarmingUp(const HealthStats& health) const {
    return health.ejected || turn.now - health.warming_since < turn.settings.slow_start_time;
  }
  bool isOutlier(const HealthStats& health) const {
    const bool slow = health.latency_samples > 4 && health.relative_latency > kSlowRatio * common_slowdown;
    return health.ejected || slow || health.overdue_calls > 0 || health.consecutive_failures > 0;
  }
  bool isOutlier(Endpoint& endpoint) const {
    return isOutlier(endpoint.own.health) || isOutlier(endpoint.scope().health);
  }

  double usualLatency(const Endpoint& endpoint) const {
    const HealthStats& shared = endpoint.destination->shared.health;
    if (endpoint.own.health.latency_samples > 0) {
      return endpoint.own.health.usual_latency;
    }
    if (shared.latency_samples > 0) {
      return shared.usual_latency;
    }
    return answered_calls > 0 ? mean_latency : turn.tightest_objective / kTimeoutRatio;
  }

  void eject(HealthStats& health) const {
    health.ejected = true;
    health.warming_since = turn.now;
    health.first_failure = std::min(health.first_failure, turn.now);
  }

  // A slowdown that is common to all makes no outlier: each is compared with the median.
  void measureCommonSlowdown() {
    std::vector<double> ratios;
    for (auto it = recently_active.begin(); it != recently_active.end();) {
      const HealthStats& health = it->second->own.health;
      const bool recent = turn.now - health.last_outcome < 2 * turn.settings.overload_window;
      if (recent && health.latency_samples > 4) {
        ratios.push_back(health.relative_latency);
      }
      it = recent ? std::next(it) : recently_active.erase(it);
    }
    common_slowdown = 1;
    if (ratios.size() < 3) {
      return;
    }
    const auto median = ratios.begin() + static_cast<long>(ratios.size() / 2);
    std::nth_element(ratios.begin(), median, ratios.end());
    common_slowdown = std::max(1.0, *median);
  }

  // Overdue calls show a destination that hangs before any time-out does.
  void countOverdue(const InFlightCalls& calls) const {
    for (const auto& [order, reference] : calls.attempts) {
      clearOverdue(*reference.attempt().endpoint);
    }
    for (const auto& [order, reference] : calls.attempts) {
      Attempt& attempt = reference.attempt();
      HealthStats &own = attempt.endpoint->own.health, &health = attempt.endpoint->scope().health;
      const double limit = kOverdueRatio * common_slowdown * usualLatency(*attempt.endpoint);
      if (turn.now - attempt.sent_at < limit) {
        continue;
      }
      attempt.overdue = true;
      if (own.last_success < attempt.sent_at) {
        ++own.overdue_calls;
      }
      if (&health != &own && health.last_success < attempt.sent_at) {
        ++health.overdue_calls;
      }
      if (health.overdue_calls >= kFailuresToEject) {
        eject(health);
      }
    }
  }
  static void clearOverdue(Endpoint& endpoint) {
    endpoint.own.health.overdue_calls = endpoint.destination->shared.health.overdue_calls = 0;
  }

  void recordActivity(Endpoint& endpoint, bool answered, Micros latency) {
    recently_active[endpoint.info.id] = &endpoint;
    if (!answered) {
      return;
    }
    ++answered_calls;
    mean_latency += (latency - mean_latency) / answered_calls;
  }

  void recordLatency(HealthStats& health, double latency, bool answered) const {
    if (health.latency_samples == 0 && !answered) {
      return;
    }
    if (health.latency_samples == 0) {
      health.usual_latency = latency;
    }
    double& usual = health.usual_latency;
    const double ratio = latency / std::max(1.0, usual);
    if (!answered && ratio < health.relative_latency) {
      return;  // a quick failure is no sample of the latency
    }
    health.relative_latency += kRecentGain * (ratio - health.relative_latency);
    const double gain = std::max(kUsualGain, 1.0 / (health.latency_samples + 1));
    if (answered && !isOutlier(health)) {
      usual += gain * (std::min(latency, kSlowRatio * usual) - usual);
    }
    if (answered) {
      ++health.latency_samples;
    }
  }

  // Returns whether this outcome ejects, or ends an ejection.
  bool recordOutcome(HealthStats& health, AttemptResult result) const {
    health.last_outcome = turn.now;
    const bool unknown =
        result == AttemptResult::error || result == AttemptResult::timeout || result == AttemptResult::reset;
    health.unknown_share += kOutcomeGain * ((unknown ? 1.0 : 0.0) - health.unknown_share);
    if (result == AttemptResult::ok) {
      return recordSuccess(health);
    }
    return recordFailure(health, result == AttemptResult::throttled);
  }

  bool recordSuccess(HealthStats& health) const {
    const Micros now = turn.now, window = turn.settings.overload_window;
    const bool was_ejected = health.ejected;
    const bool was_failing = health.consecutive_failures > 0 && health.first_failure != kNever;
    const bool brief = health.failure_share <= kMaxFailureShare && now - health.first_failure < window / 2;
    if (was_ejected || (was_failing && now - health.last_success > window)) {
      health.warming_since = was_ejected && brief ? -kNever : now;
    }
    health.failure_share -= kOutcomeGain * health.failure_share;
    health.ejected = false;
    health.consecutive_failures = health.consecutive_throttles = 0;
    health.first_failure = kNever;
    health.last_success = now;
    return was_ejected;
  }

  // Failures, time-outs, failed connects and unbroken throttling all show that nothing is served.
  bool recordFailure(HealthStats& health, bool throttled) const {
    const Micros window = turn.settings.overload_window;
    int &failures = health.consecutive_failures, &throttles = health.consecutive_throttles;
    health.first_failure = std::min(health.first_failure, turn.now);
    throttles += throttled ? 1 : 0;
    failures += throttled ? 0 : 1;
    if (!throttled) {
      health.failure_share += kOutcomeGain * (1 - health.failure_share);
    }
    const Micros failing_for = turn.now - std::max(health.last_success, health.first_failure);
    const bool refuses_all = throttles >= kFailuresToEject && failing_for > window / 2;
    const bool lasting = turn.isOneOfMany() || failures >= kFailuresToEject || failing_for > window;
    const bool dead = failures > 0 && lasting;
    if (health.failure_share <= kMaxFailureShare && !refuses_all && !dead) {
      return false;
    }
    if (refuses_all && throttled) {
      failures = std::max(failures, 1);
    }
    eject(health);
    return true;
  }
};

// Isolates outliers: all of them together use at most half of the call slots.
struct OutlierBulkhead {
  Turn& turn;
  const InFlightCalls& calls;
  const OutlierDetector& detector;

  bool hasRoom() const { return excess() < 0; }

  int excess() const {
    std::set<std::uint64_t> outlier_calls;
    for (const auto& [order, reference] : calls.attempts) {
      if (detector.isOutlier(*reference.attempt().endpoint)) {
        outlier_calls.insert(reference.attempt().call);
      }
    }
    const int size = std::max(1, static_cast<int>(kBulkheadShare * turn.settings.call_slots));
    return static_cast<int>(outlier_calls.size()) - size;
  }

  // Calls that were in flight when their destination became an outlier may exceed the bulkhead. When no slot
  // is left for others, overdue ones are cancelled, those first that may be repeated.
  void cancelExcess() const {
    if (!turn.settings.may_cancel || !calls.allSlotsUsed()) {
      return;
    }
    int to_cancel = excess();
    std::multimap<Idempotency, AttemptRef> overdue;
    for (const auto& [order, reference] : calls.attempts) {
      const Attempt& attempt = reference.attempt();
      if (attempt.cancel_requested) {
        --to_cancel;
      } else if (attempt.overdue && detector.isOutlier(*attempt.endpoint)) {
        overdue.insert({reference.message->rules->idempotency, reference});
      }
    }
    for (const auto& [idempotency, reference] : overdue) {
      if (to_cancel <= 0) {
        return;
      }
      --to_cancel;
      reference.attempt().cancel_requested = true;
      turn.actions.emplace_back(CancelAttempt{reference.message->id, static_cast<int>(reference.index)});
    }
  }
};

}  // namespace delivery
