// Which messages may be sent, repeated or returned, with which time-out, and when the next attempt is due.
#pragma once

#include "decision/rate_limiter.h"

namespace delivery {

constexpr double kNonIdempotentPatience = 2;  // factor of a non-idempotent call's time-out
constexpr double kMaxUnknownShare = 0.3;      // none is started where more of the latest outcomes are unknown

struct RetryPolicy {
  const Turn& turn;
  const OutlierDetector& detector;
  const RateLimiter& limiter;

  // The idempotency rule: what may have run is repeated only if it is idempotent, or while and where its key
  // is deduplicated; two attempts are in flight at once only if the site allows hedging.
  bool maySend(const Message& message, Endpoint& endpoint) const {
    const MessageClass& rules = *message.rules;
    if (static_cast<int>(message.attempts.size()) >= turn.settings.max_attempts) {
      return false;
    }
    if (message.attempts_in_flight > 0 && !turn.settings.may_hedge) {
      return false;
    }
    if (rules.idempotency == Idempotency::idempotent || !message.mayHaveRun()) {
      return true;
    }
    if (rules.idempotency == Idempotency::non_idempotent) {
      return false;
    }
    return std::all_of(message.attempts.begin(), message.attempts.end(), [&](const Attempt& earlier) {
      return !earlier.may_have_run || isDeduplicated(rules, earlier, endpoint);
    });
  }

  bool isDeduplicated(const MessageClass& rules, const Attempt& earlier, Endpoint& endpoint) const {
    const bool all = rules.deduplication_scope == DeduplicationScope::all;
    const bool cell = rules.deduplication_scope == DeduplicationScope::cell;
    if (!all && (!earlier.endpoint || earlier.endpoint->info.zone != endpoint.info.zone)) {
      return false;
    }
    if (cell && earlier.endpoint->destination != endpoint.destination) {
      return false;
    }
    // The repeat may have to wait for its connection to come up.
    const Micros longest_way = 2 * turn.settings.tick + turn.settings.connect_timeout;
    return turn.now <= earlier.sent_at + rules.deduplication_window - longest_way;
  }

  // A rejection promises that submitting the message again does no harm.
  static bool mayReject(const Message& message) {
    const MessageClass& rules = *message.rules;
    if (rules.idempotency == Idempotency::idempotent || !message.mayHaveRun()) {
      return true;
    }
    return rules.idempotency == Idempotency::deduplicated &&
           rules.deduplication_scope == DeduplicationScope::all;
  }

  bool hasAttemptLeft(const Message& message) const {
    for (Endpoint* endpoint : message.destination->endpoints) {
      if (maySend(message, *endpoint) && endpoint->scope().rate.retry_after_until < message.expires_at) {
        return true;
      }
    }
    return message.attempts.empty() && message.destination->endpoints.empty();
  }

  // kTimeoutRatio usual latencies, stretched by the present slowdown; at least a tick, as outcomes are
  // processed once a tick.
  Micros timeout(const Message& message, Endpoint& endpoint) const {
    const HealthStats& health = endpoint.own.health;
    const double left = std::max<Micros>(1, message.expires_at - turn.now), tick = turn.settings.tick;
    const double recent = health.latency_samples > 0 ? health.relative_latency : 1.0;
    const double slowness = std::max({1.0, detector.common_slowdown, recent});
    const bool repeatable = message.rules->idempotency != Idempotency::non_idempotent;
    const double patience = kTimeoutRatio * (repeatable ? 1 : kNonIdempotentPatience);
    const double most = patience * detector.usualLatency(endpoint) * slowness;
    return static_cast<Micros>(std::min(left, std::max({1.0, tick, most})));
  }

  // Exponential backoff, sized so that the remaining attempts last for the time left. One of many senders
  // waits for an objective at least, as an earlier retry would displace a first attempt still in time.
  Micros nextAttemptAt(const Message& message, Endpoint& endpoint) const {
    const int attempts_left = turn.settings.max_attempts - static_cast<int>(message.attempts.size());
    const double left = message.expires_at - turn.now;
    double least = detector.usualLatency(endpoint);
    if (turn.isOneOfMany()) {
      least = turn.tightest_objective + limiter.returnDelay(endpoint.scope(), *message.destination);
    }
    return turn.now + static_cast<Micros>(std::max(least, left * std::exp2(-std::min(attempts_left, 60))));
  }
};

}  // namespace delivery
