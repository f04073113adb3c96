// The rate limiter: RePAIR's upper bound. It paces calls within a destination's limit, its Retry-After and
// its recovery ramp, the slow start after an outage.
//
// All rates and limits are in calls a second.
#pragma once

#include "decision/outlier_detection.h"

namespace delivery {

// A burst may hold the calls of this span, which are then sent at once.
constexpr double kBurstSeconds = 0.5;

// The largest share of a limit that a sender claims for its own traffic, if an even share is not larger.
constexpr double kMaxLimitShare = 0.25;

// The initial quota, as a multiple of the claimed share; see claimedShare().
constexpr double kInitialQuotaShares = 2;

// A throttled call multiplies the quota, or an estimated limit, by this factor.
constexpr double kDecreaseFactor = 0.75;

// The smallest quota after throttled calls, as a multiple of the claimed share.
constexpr double kMinQuotaShares = 0.5;

// The additive increase of the quota in each overload window, as a multiple of the claimed share.
constexpr double kQuotaIncreaseShares = 0.05;

// The relative growth of an estimated limit for each call that was not throttled, and its upper bound.
constexpr double kEstimatedLimitGrowth = 0.02;
constexpr int kMaxEstimatedLimit = 1'000'000'000;

// The weights of the earlier limit and of a newly advertised one.
constexpr double kEarlierLimitWeight = 0.75;
constexpr double kAdvertisedLimitWeight = 0.25;

// The longest gap after consecutive throttled calls, in ordinary gaps.
constexpr double kMaxThrottledGaps = 4;

// The longest gap between trial calls to an ejected scope, in overload windows, unless the ordinary gap is
// longer.
constexpr double kMaxTrialGapWindows = 0.25;

// Where no limit is known, a sender with fewer messages than this in the slow start time has low traffic.
constexpr int kLowTrafficMessages = 2;

// Stands for the rate where no limit is known, and for a demand without a bound.
constexpr double kUnlimitedRate = 1e12;

// A smaller limit is replaced by this one before a division.
constexpr double kMinDividingLimit = 1e-9;

// The longest time that draining a backlog is assumed to take: 11.6 days.
constexpr Micros kMaxDrainTime = 1'000'000'000'000;

// Decides when calls may be sent, and keeps the limits and quotas up to date.
struct RateLimiter {
  DecisionContext& context;
  const OutlierDetector& detector;

  // Returns the share of a limit that this sender claims: an even share, or what it needs up to
  // kMaxLimitShare. Even shares alone would starve the busy senders.
  double claimedShare(double limit, double wanted_rate) const {
    return std::max(1.0 / context.settings.sender_count,
                    std::min(wanted_rate / std::max(limit, kMinDividingLimit), kMaxLimitShare));
  }

  // Returns the rate at which this sender has calls for the scope that governs the endpoint.
  double ownRate(const Endpoint& endpoint) const {
    const double rate = context.ratePerSecond(endpoint.destination->arrival_rate);
    return endpoint.hasOwnRoute() ? rate / endpoint.destination->readyEndpointCount() : rate;
  }

  // Returns the rate at which this sender may send calls to a scope. `limit` is the limit of the scope, and
  // `own_rate` the rate at which this sender has calls for it. Also updates the quota to the present time.
  double allowedRate(TrafficScope& scope, double limit, double own_rate) const {
    RateLimit& rate = scope.rate;
    if (rate.limit > 0) {
      const double windows = (context.now - rate.quota_updated_at) / context.overload_window_micros;
      const double increase = kQuotaIncreaseShares * claimedShare(rate.limit, own_rate) * windows;
      if (!rate.limit_is_estimated) {
        rate.quota_fraction = std::min(1.0, rate.quota_fraction + increase);
      }
      rate.quota_updated_at = context.now;
    }
    const double allowed = rate.limit > 0 ? rate.limit * rate.quota_fraction : kUnlimitedRate;
    if (!detector.isWarmingUp(scope.health)) {
      return allowed;
    }
    return std::min(allowed, rampRate(scope, limit, own_rate));
  }

  // Returns the rate that the recovery ramp allows to this sender. All senders together stay within their
  // usual traffic x overload factor x a share that grows from slow_start_share to 1 during the slow start.
  double rampRate(const TrafficScope& scope, double limit, double own_rate) const {
    const double start_share = context.settings.slow_start_share;
    const double age_seconds = (context.now - scope.health.warming_since) / kMicrosPerSecond;
    const double progress =
        scope.health.ejected ? 0 : std::min(1.0, age_seconds / context.slow_start_seconds);
    if (limit > 0 && !scope.rate.limit_is_estimated) {
      own_rate = limit * claimedShare(limit, own_rate);
    }
    own_rate = std::max(own_rate, 1 / context.slow_start_seconds);
    return own_rate * (start_share + (1 - start_share) * progress) * context.settings.overload_factor;
  }

  // Returns a random delay in microseconds, so that not all senders return to an ejected scope at once. 0 for
  // a scope that is not ejected.
  double returnDelay(const TrafficScope& scope, const Destination& destination) const {
    const double rate = rampRate(scope, scope.rate.limit, context.ratePerSecond(destination.arrival_rate));
    const double max_delay = std::min(context.slow_start_seconds, 1 / rate) * kMicrosPerSecond;
    return scope.health.ejected ? std::uniform_real_distribution<double>(0, max_delay)(context.random) : 0;
  }

  // Returns when the scope allows the next call. Pacing is ignored if it reaches to `must_send_by` or beyond
  // and the scope is not ejected; kNever: it is not ignored.
  static Micros nextCallAt(const TrafficScope& scope, Micros must_send_by) {
    const auto paced_until = static_cast<Micros>(std::ceil(scope.rate.next_send_tag));
    const bool ignores_pacing =
        must_send_by != kNever && !scope.health.ejected && paced_until >= must_send_by;
    return ignores_pacing ? scope.rate.retry_after_until
                          : std::max(scope.rate.retry_after_until, paced_until);
  }

  // Returns when the next call to the endpoint may be sent. `message` is the message that it would carry;
  // null: any message. With many senders and low traffic, the first attempt of a message ignores pacing that
  // would outlast its deadline, as the message would only be lost by it, unless the scope is ejected.
  Micros nextCallAt(Endpoint& endpoint, const Message* message) const {
    const Destination& destination = *endpoint.destination;
    const double limit = endpoint.governingScope().rate.limit;
    const double queued_rate = destination.queued_messages.size() / context.slow_start_seconds;
    const double own_rate = std::max(context.ratePerSecond(destination.arrival_rate), queued_rate);
    const bool has_low_traffic =
        own_rate < (limit > 0 ? kLowTrafficShare * limit : kLowTrafficMessages / context.slow_start_seconds);
    Micros must_send_by = kNever;
    if (message && message->attempts.empty() && context.hasManySenders() && has_low_traffic) {
      must_send_by = message->expires_at - static_cast<Micros>(detector.baselineLatency(endpoint));
    }
    return std::max(nextCallAt(endpoint.own_scope, must_send_by),
                    nextCallAt(destination.shared_scope, must_send_by));
  }

  // Returns how long it takes to send the queued messages of a destination at its present rate, in
  // microseconds. It is a tick at least.
  Micros drainTime(const Destination& destination) const {
    double rate = 0;
    for (Endpoint* endpoint : destination.endpoints) {
      if (!endpoint->isReady()) {
        continue;
      }
      TrafficScope& scope = endpoint->governingScope();
      const double allowed = allowedRate(scope, scope.rate.limit, ownRate(*endpoint));
      rate = endpoint->hasOwnRoute() ? rate + allowed : allowed;
    }
    // A smaller rate than 1e-6 calls a second is replaced by it, as a rate of 0 can't be divided by.
    const double wait = destination.queued_messages.size() * kMicrosPerSecond / std::max(rate, 1e-6);
    return static_cast<Micros>(std::clamp<double>(wait, context.settings.tick, kMaxDrainTime));
  }

  // Advances the upper-bound tag of a scope by one call. While the scope is warming up no burst is allowed.
  // While it is ejected the gap between trial calls grows with the consecutive failures.
  void charge(TrafficScope& scope, double limit, double own_rate) const {
    const auto now = static_cast<double>(context.now);
    const double ordinary_gap = kMicrosPerSecond / allowedRate(scope, limit, own_rate);
    const double burst = detector.isWarmingUp(scope.health) ? 0 : kBurstSeconds * kMicrosPerSecond;
    const double trial_gap = scope.health.ejected ? ordinary_gap * scope.health.consecutive_failures : 0;
    const double gap =
        std::max(ordinary_gap, std::min(kMaxTrialGapWindows * context.overload_window_micros, trial_gap));
    // A call that ignored the pacing leaves no debt: the tag is never more than one gap ahead of now.
    scope.rate.next_send_tag = std::clamp(scope.rate.next_send_tag, now - burst, now) + gap;
  }

  // Charges a call that is sent now. An endpoint without its own route is limited to an even share of its
  // destination's limit as well.
  void chargeCall(Endpoint& endpoint) const {
    TrafficScope& scope = endpoint.governingScope();
    const double ready_endpoints = endpoint.destination->readyEndpointCount();
    const double own_rate = context.ratePerSecond(endpoint.destination->arrival_rate);
    charge(endpoint.own_scope, scope.rate.limit / (endpoint.hasOwnRoute() ? 1 : ready_endpoints),
           own_rate / ready_endpoints);
    if (!endpoint.hasOwnRoute()) {
      charge(scope, scope.rate.limit, own_rate);
    }
  }

  // Records a limit from a load report of the destination. Later ones are averaged with the earlier limit.
  static void recordAdvertisedLimit(RateLimit& rate, double limit) {
    rate.limit =
        rate.limit_is_advertised ? kEarlierLimitWeight * rate.limit + kAdvertisedLimitWeight * limit : limit;
    rate.limit_is_advertised = true;
    rate.limit_is_estimated = false;
  }

  // Records a limit from the endpoint list. It holds until the destination advertises one.
  void recordListedLimit(RateLimit& rate, double limit) const {
    const bool is_listed = limit > 0 && context.settings.weight_kind != WeightKind::none;
    if (!rate.limit_is_advertised && is_listed) {
      rate.limit = limit;
    }
    const double initial_fraction = kInitialQuotaShares * claimedShare(rate.limit, kUnlimitedRate);
    if (rate.quota_updated_at == 0) {
      rate.quota_fraction = std::min(1.0, initial_fraction);
    }
    rate.quota_updated_at = context.now;
  }

  // Records a call that was not throttled.
  void recordServed(RateLimit& rate) const {
    context.addEvent(rate.served_rate);
    if (rate.limit_is_estimated) {
      rate.limit = std::min<double>(kMaxEstimatedLimit, rate.limit * (1 + kEstimatedLimitGrowth));
    }
  }

  // Records a throttled call: this sender takes less of the limit. If no limit is known, it is estimated from
  // the rate that was served.
  void recordThrottled(Endpoint& endpoint, bool has_retry_after) const {
    const HealthStats& health = endpoint.governingScope().health;
    RateLimit& rate = endpoint.governingScope().rate;
    const double served_rate = context.ratePerSecond(rate.served_rate);
    const double own_rate = ownRate(endpoint);
    const bool limit_unknown = rate.limit <= 0;
    if (limit_unknown) {
      const double latency =
          health.latency_samples > 0 ? health.baseline_latency : context.shortest_latency_objective;
      rate.limit_is_estimated = true;
      rate.quota_fraction = 1;
      // The estimate is at least the rate at which single calls would follow one another.
      rate.limit = std::max(served_rate, kMicrosPerSecond / std::max(1.0, latency));
      rate.quota_updated_at = context.now;
    }
    const double ordinary_gaps = std::min<double>(kMaxThrottledGaps, health.consecutive_throttles);
    const double gap =
        ordinary_gaps * kMicrosPerSecond / allowedRate(endpoint.governingScope(), rate.limit, own_rate);
    if (!has_retry_after) {
      rate.next_send_tag = std::max(rate.next_send_tag, context.now + gap);
    }
    // There is at most one decrease in each quarter of an overload window.
    if (limit_unknown || context.now - rate.last_decrease_at <= context.settings.overload_window / 4) {
      return;
    }
    const double used_fraction =
        std::min(rate.quota_fraction, kInitialQuotaShares * claimedShare(rate.limit, served_rate));
    const double min_fraction = kMinQuotaShares * claimedShare(rate.limit, own_rate);
    rate.last_decrease_at = context.now;
    if (rate.limit_is_estimated) {
      rate.limit = std::max(served_rate, kDecreaseFactor * rate.limit);
    } else {
      rate.quota_fraction = std::max(min_fraction, used_fraction * kDecreaseFactor);
    }
  }
};

}  // namespace delivery
