// RePAIR's upper bound: paces calls within a destination's limit, its Retry-After and its recovery ramp.
#pragma once

#include "decision/outlier_detection.h"

namespace delivery {

constexpr double kBurstSeconds = 0.5;      // burst: the calls of this span may be sent at once
constexpr double kMaxShare = 0.25;         // of a limit: the largest portion claimed by own traffic
constexpr double kInitialPortions = 2;     // initial quota, in portions of a limit, see portion()
constexpr double kDecreaseFactor = 0.75;   // multiplicative decrease of the quota after a throttled call ...
constexpr double kMinPortions = 0.5;       // ... down to this many portions
constexpr double kIncrease = 0.05;         // additive increase of the quota, in portions per overload window
constexpr double kLearnedIncrease = 0.02;  // of a learned limit, per call that was not throttled
constexpr double kMaxStretch = 4;          // longest gap after consecutive throttled calls, in ordinary gaps
constexpr double kMaxTrialGap = 0.25;      // between trials of an ejected destination, in overload windows

struct RateLimiter {
  Turn& turn;
  const OutlierDetector& detector;

  // A sender's portion: an even one, or what it needs up to kMaxShare; even ones would starve the busy ones.
  double portion(double limit, double wanted) const {
    return std::max(1.0 / turn.settings.sender_count, std::min(wanted / std::max(limit, 1e-9), kMaxShare));
  }

  // This sender's calls a second within the endpoint's scope.
  double ownRate(const Endpoint& endpoint) const {
    const double rate = turn.perSecond(endpoint.destination->traffic);
    return endpoint.hasOwnRoute() ? rate / endpoint.destination->readyEndpoints() : rate;
  }

  // Calls a second that this sender may send to a scope, of `limit` and with `own_rate` of its own there.
  double allowedRate(TrafficScope& scope, double limit, double own_rate) const {
    RateLimit& rate = scope.rate;
    if (rate.limit > 0) {
      const double windows = (turn.now - rate.quota_updated_at) / turn.overload_micros;
      const double growth = kIncrease * portion(rate.limit, own_rate) * windows;
      if (!rate.limit_is_learned) {
        rate.quota_fraction = std::min(1.0, rate.quota_fraction + growth);
      }
      rate.quota_updated_at = turn.now;
    }
    const double allowed = rate.limit > 0 ? rate.limit * rate.quota_fraction : 1e12;
    if (!detector.isWarmingUp(scope.health)) {
      return allowed;
    }
    return std::min(allowed, warmingRate(scope, limit, own_rate));
  }

  // Recovery ramp: all senders together stay inside slow start share x overload factor x their usual traffic.
  double warmingRate(const TrafficScope& scope, double limit, double own_rate) const {
    const double start = turn.settings.slow_start_share;
    const double age = (turn.now - scope.health.warming_since) / kMicrosPerSecond;
    const double warmth = scope.health.ejected ? 0 : std::min(1.0, age / turn.warm_up_seconds);
    if (limit > 0 && !scope.rate.limit_is_learned) {
      own_rate = limit * portion(limit, own_rate);
    }
    own_rate = std::max(own_rate, 1 / turn.warm_up_seconds);
    return own_rate * (start + (1 - start) * warmth) * turn.settings.overload_factor;
  }

  // A random delay in microseconds, so that not all senders return to an ejected destination at once.
  double returnDelay(const TrafficScope& scope, const Destination& destination) const {
    const double rate = warmingRate(scope, scope.rate.limit, turn.perSecond(destination.traffic));
    const double most = std::min(turn.warm_up_seconds, 1 / rate) * kMicrosPerSecond;
    return scope.health.ejected ? std::uniform_real_distribution<double>(0, most)(turn.random) : 0;
  }

  static Micros opensAt(const TrafficScope& scope, Micros must_leave_by) {
    const auto paced = static_cast<Micros>(std::ceil(scope.rate.next_send_tag));
    const bool passes = must_leave_by != kNever && !scope.health.ejected && paced >= must_leave_by;
    return passes ? scope.rate.retry_after_until : std::max(scope.rate.retry_after_until, paced);
  }

  // When the next call may be sent. If this sender is one of many, the first attempt of `message` ignores
  // pacing that would outlast its deadline, unless the destination is ejected.
  Micros opensAt(Endpoint& endpoint, const Message* message) const {
    const Destination& destination = *endpoint.destination;
    const double limit = endpoint.scope().rate.limit;
    const double queued_rate = destination.queued.size() / turn.warm_up_seconds;
    const double own_rate = std::max(turn.perSecond(destination.traffic), queued_rate);
    const bool rare = own_rate < (limit > 0 ? kRareShare * limit : 2 / turn.warm_up_seconds);
    Micros must_leave_by = kNever;
    if (message && message->attempts.empty() && turn.isOneOfMany() && rare) {
      must_leave_by = message->expires_at - static_cast<Micros>(detector.usualLatency(endpoint));
    }
    return std::max(opensAt(endpoint.own, must_leave_by), opensAt(destination.shared, must_leave_by));
  }

  // How long it takes to send a destination's queued messages at its present rate, in microseconds.
  Micros drainTime(const Destination& destination) const {
    double rate = 0;
    for (Endpoint* endpoint : destination.endpoints) {
      if (!endpoint->isReady()) {
        continue;
      }
      TrafficScope& scope = endpoint->scope();
      const double allowed = allowedRate(scope, scope.rate.limit, ownRate(*endpoint));
      rate = endpoint->hasOwnRoute() ? rate + allowed : allowed;
    }
    const double wait = destination.queued.size() * kMicrosPerSecond / std::max(rate, 1e-6);
    return static_cast<Micros>(std::clamp<double>(wait, turn.settings.tick, 1e12));
  }

  void charge(TrafficScope& scope, double limit, double own_rate) const {
    const auto now = static_cast<double>(turn.now);
    const double gap = kMicrosPerSecond / allowedRate(scope, limit, own_rate);
    const double burst = detector.isWarmingUp(scope.health) ? 0 : kBurstSeconds * kMicrosPerSecond;
    const double trial_gap = scope.health.ejected ? gap * scope.health.consecutive_failures : 0;
    const double stretched = std::max(gap, std::min(kMaxTrialGap * turn.overload_micros, trial_gap));
    scope.rate.next_send_tag = std::clamp(scope.rate.next_send_tag, now - burst, now) + stretched;
  }

  // For a call that is sent now. An endpoint without its own route also has an even part of the limit.
  void chargeCall(Endpoint& endpoint) const {
    TrafficScope& scope = endpoint.scope();
    const double ready = endpoint.destination->readyEndpoints();
    const double own_rate = turn.perSecond(endpoint.destination->traffic);
    charge(endpoint.own, scope.rate.limit / (endpoint.hasOwnRoute() ? 1 : ready), own_rate / ready);
    if (!endpoint.hasOwnRoute()) {
      charge(scope, scope.rate.limit, own_rate);
    }
  }

  static void recordAdvertisedLimit(RateLimit& rate, double limit) {
    rate.limit = rate.limit_is_advertised ? 0.75 * rate.limit + 0.25 * limit : limit;
    rate.limit_is_advertised = true;
    rate.limit_is_learned = false;
  }

  // A limit in the endpoint list holds until the destination advertises one.
  void recordListedLimit(RateLimit& rate, double limit) const {
    const bool listed = limit > 0 && turn.settings.weight_kind != WeightKind::none;
    if (!rate.limit_is_advertised && listed) {
      rate.limit = limit;
    }
    const double initial = kInitialPortions * portion(rate.limit, 1e12);
    if (rate.quota_updated_at == 0) {
      rate.quota_fraction = std::min(1.0, initial);
    }
    rate.quota_updated_at = turn.now;
  }

  void recordServed(RateLimit& rate) const {
    turn.count(rate.served);
    if (rate.limit_is_learned) {
      rate.limit = std::min(1e9, rate.limit * (1 + kLearnedIncrease));
    }
  }

  // Throttled: this sender takes less of the limit; without one it learns a limit from what was served.
  void recordThrottled(Endpoint& endpoint, bool has_retry_after) const {
    const HealthStats& health = endpoint.scope().health;
    RateLimit& rate = endpoint.scope().rate;
    const double served = turn.perSecond(rate.served), own_rate = ownRate(endpoint);
    const bool limit_unknown = rate.limit <= 0;
    if (limit_unknown) {
      const double latency = health.latency_samples > 0 ? health.usual_latency : turn.tightest_objective;
      rate.limit_is_learned = true;
      rate.quota_fraction = 1;
      rate.limit = std::max(served, kMicrosPerSecond / std::max(1.0, latency));
      rate.quota_updated_at = turn.now;
    }
    const double stretch = std::min<double>(kMaxStretch, health.consecutive_throttles);
    const double gap = stretch * kMicrosPerSecond / allowedRate(endpoint.scope(), rate.limit, own_rate);
    if (!has_retry_after) {
      rate.next_send_tag = std::max(rate.next_send_tag, turn.now + gap);
    }
    if (limit_unknown || turn.now - rate.last_decrease <= turn.settings.overload_window / 4) {
      return;
    }
    const double most = std::min(rate.quota_fraction, kInitialPortions * portion(rate.limit, served));
    const double least = kMinPortions * portion(rate.limit, own_rate);
    rate.last_decrease = turn.now;
    if (rate.limit_is_learned) {
      rate.limit = std::max(served, kDecreaseFactor * rate.limit);
    } else {
      rate.quota_fraction = std::max(least, most * kDecreaseFactor);
    }
  }
};

}  // namespace delivery
