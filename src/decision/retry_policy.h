// The retry policy: which messages may be sent, sent again or rejected, with which time-out, and when the
// next attempt is due.
#pragma once

#include "decision/rate_limiter.h"

namespace delivery {

// The factor of the time-out of a non-idempotent message, which can't be sent again after a time-out.
constexpr double kNonIdempotentTimeoutFactor = 2;

// A non-idempotent message is not sent where a larger share of the latest outcomes is unknown.
constexpr double kMaxUnknownOutcomeShare = 0.3;

// The backoff is halved for each remaining attempt, up to this number of attempts.
constexpr int kMaxBackoffHalvings = 60;

// A repeat is assumed to arrive within this many ticks and the connect time-out.
constexpr Micros kMaxTicksToArrive = 2;

// Decides on repeats, rejections and time-outs of messages.
struct RetryPolicy {
  const DecisionContext& context;
  const OutlierDetector& detector;
  const RateLimiter& limiter;

  // Whether the message may be sent to the endpoint. A message that may have run is sent again only if it is
  // idempotent, or while and where it is deduplicated. Two attempts of a message are in flight at once only
  // if the settings allow it.
  bool maySend(const Message& message, Endpoint& endpoint) const {
    const MessageClass& message_class = *message.message_class;
    if (message.startedAttempts() >= context.settings.max_attempts) {
      return false;
    }
    if (message.attempts_in_flight > 0 && !context.settings.may_hedge) {
      return false;
    }
    if (message_class.idempotency == Idempotency::idempotent || !message.mayHaveRun()) {
      return true;
    }
    if (message_class.idempotency == Idempotency::non_idempotent) {
      return false;
    }
    return std::all_of(message.attempts.begin(), message.attempts.end(), [&](const Attempt& earlier) {
      return !earlier.may_have_run || isDeduplicated(message_class, earlier, endpoint);
    });
  }

  // Whether the endpoint would recognize a message sent now as a repeat of the earlier attempt.
  bool isDeduplicated(const MessageClass& message_class, const Attempt& earlier, Endpoint& endpoint) const {
    const bool scope_is_all = message_class.deduplication_scope == DeduplicationScope::all;
    const bool scope_is_cell = message_class.deduplication_scope == DeduplicationScope::cell;
    if (!scope_is_all && (!earlier.endpoint || earlier.endpoint->info.zone != endpoint.info.zone)) {
      return false;
    }
    if (scope_is_cell && earlier.endpoint->destination != endpoint.destination) {
      return false;
    }
    // The repeat has to arrive within the window, and may have to wait for its connection to come up.
    const Micros max_time_to_arrive =
        kMaxTicksToArrive * context.settings.tick + context.settings.connect_timeout;
    return context.now <= earlier.sent_at + message_class.deduplication_window - max_time_to_arrive;
  }

  // Whether the message may be rejected. A rejection promises that submitting the message again does no harm.
  static bool mayReject(const Message& message) {
    const MessageClass& message_class = *message.message_class;
    if (message_class.idempotency == Idempotency::idempotent || !message.mayHaveRun()) {
      return true;
    }
    return message_class.idempotency == Idempotency::deduplicated &&
           message_class.deduplication_scope == DeduplicationScope::all;
  }

  // Whether the message can still be sent before it expires. A first attempt can also wait for endpoints that
  // are not listed yet.
  bool hasAttemptLeft(const Message& message) const {
    for (Endpoint* endpoint : message.destination->endpoints) {
      if (maySend(message, *endpoint) &&
          endpoint->governingScope().rate.retry_after_until < message.expires_at) {
        return true;
      }
    }
    return message.attempts.empty() && message.destination->endpoints.empty();
  }

  // Returns the time-out of an attempt: kTimeoutRatio baseline latencies, multiplied by the present slowdown,
  // but not beyond the expiry of the message. It is a tick at least, as outcomes are processed once a tick.
  Micros attemptTimeout(const Message& message, Endpoint& endpoint) const {
    const HealthStats& health = endpoint.own_scope.health;
    const double time_left = std::max<Micros>(1, message.expires_at - context.now);
    const double tick = context.settings.tick;
    const double relative_latency = health.latency_samples > 0 ? health.relative_latency : 1.0;
    const double slowdown = std::max({1.0, detector.common_slowdown, relative_latency});
    const bool may_repeat = message.message_class->idempotency != Idempotency::non_idempotent;
    const double timeout_ratio = kTimeoutRatio * (may_repeat ? 1 : kNonIdempotentTimeoutFactor);
    const double timeout = timeout_ratio * detector.baselineLatency(endpoint) * slowdown;
    return static_cast<Micros>(std::min(time_left, std::max({1.0, tick, timeout})));
  }

  // Returns when the next attempt may be started after one that failed at the endpoint. The backoff is
  // exponential and sized so that the remaining attempts last for the time left. With many senders it is at
  // least the shortest latency objective, as an earlier retry would displace a first attempt that is still in
  // time, and a random delay keeps them from returning to an ejected destination at once.
  Micros nextAttemptAt(const Message& message, Endpoint& endpoint) const {
    const int attempts_left = context.settings.max_attempts - message.startedAttempts();
    const double time_left = message.expires_at - context.now;
    double min_backoff = detector.baselineLatency(endpoint);
    if (context.hasManySenders()) {
      min_backoff = context.shortest_latency_objective +
                    limiter.returnDelay(endpoint.governingScope(), *message.destination);
    }
    const int halvings = std::min(attempts_left, kMaxBackoffHalvings);
    return context.now + static_cast<Micros>(std::max(min_backoff, time_left * std::exp2(-halvings)));
  }
};

}  // namespace delivery
