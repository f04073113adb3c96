// Connection reuse: which idle connections are kept and used again.
//
// A firewall may drop idle connections without notice. Calls on connections that have been idle for long are
// then lost, while the destination answers the next call on a new connection. Each such pair is a sign of
// stale connections.
#pragma once

#include "decision/state.h"

namespace delivery {

// With more signs than this, connections that have been idle for long are assumed to be stale. The signs
// decay over the slow start time. With many senders the bound is half of this.
constexpr double kMinStaleSigns = 2.5;

// For how long a sign or a connect failure counts, in slow start times.
constexpr Micros kSignSlowStartTimes = 3;

// A connection with fewer expected uses is closed where kManySharingSenders or more share the endpoints. With
// fewer senders the bound is lower in proportion.
constexpr double kMinExpectedUses = 2;
constexpr double kManySharingSenders = 10;

// Decides on the idle connections of all endpoints.
struct ConnectionReuse {
  DecisionContext& context;
  // The number of signs of stale connections, decayed.
  double stale_signs = 0;
  // The shortest idle time after which a connection seems to be stale. kNever: no connection seems to be.
  Micros shortest_stale_idle_time = kNever;
  Micros last_sign_at = kLongAgo;

  // Closes all idle connections to the endpoint.
  void closeIdleConnections(Endpoint& endpoint) {
    context.actions.emplace_back(CloseIdleConnections{endpoint.info.id});
    endpoint.idle_connections.clear();
  }

  // Whether a sign or a connect failure at `moment` still counts.
  bool isRecent(Micros moment) const {
    return context.now - moment < kSignSlowStartTimes * context.settings.slow_start_time;
  }

  // Takes a connection for a call. Returns how long it has been idle, kNoIdleTime for a new one.
  Micros takeConnection(Endpoint& endpoint) {
    std::deque<Micros>& idle_since = endpoint.idle_connections;
    const Micros timeout = context.settings.connection_idle_timeout;
    while (!idle_since.empty() && timeout > 0 && context.now - idle_since.front() >= timeout) {
      idle_since.pop_front();
    }
    const bool stale_connections_likely =
        stale_signs > kMinStaleSigns / (context.hasManySenders() ? 2 : 1) && isRecent(last_sign_at);
    // Connections are closed from half of the shortest stale idle time on.
    if (stale_connections_likely && !idle_since.empty() &&
        context.now - idle_since.front() >= shortest_stale_idle_time / 2) {
      closeIdleConnections(endpoint);
    }
    if (idle_since.empty()) {
      return kNoIdleTime;
    }
    const Micros idle_time = context.now - idle_since.back();
    idle_since.pop_back();
    return idle_time;
  }

  // Keeps a connection after a call, or closes it. Endpoints accept few connections, so none is kept without
  // expected uses. With many senders none is kept after a recent connect failure either: the idle connections
  // of all senders may have used up what the endpoint accepts.
  void keepConnection(Endpoint& endpoint) {
    endpoint.idle_connections.push_back(context.now);
    const double own_rate = context.ratePerSecond(endpoint.destination->arrival_rate);
    // The message of this call has raised the rate by 1 / slow_start_seconds.
    const double other_rate = std::max(0.0, own_rate - 1 / context.slow_start_seconds);
    // In millionths, as the idle time-out is in microseconds.
    const double expected_uses =
        other_rate / endpoint.destination->readyEndpointCount() * context.settings.connection_idle_timeout;
    const double min_uses =
        kMinExpectedUses * std::min(1.0, context.settings.sender_count / kManySharingSenders);
    const bool endpoint_may_be_full = context.hasManySenders() && isRecent(endpoint.last_connect_failure_at);
    if (endpoint_may_be_full || expected_uses / kMicrosPerSecond < min_uses) {
      closeIdleConnections(endpoint);
    }
  }

  // Records what an outcome says about the connection of its call.
  void recordOutcome(const Attempt& attempt, AttemptResult result) {
    Endpoint& endpoint = *attempt.endpoint;
    if (result == AttemptResult::connect_failed) {
      endpoint.last_connect_failure_at = context.now;
    }
    if (result == AttemptResult::ok || result == AttemptResult::error || result == AttemptResult::throttled) {
      keepConnection(endpoint);
    }
    if (result == AttemptResult::ok) {
      recordSuccess(endpoint.destination->lost_call_idle_time, attempt.connection_idle_time);
    } else if (attempt.overdue && (result == AttemptResult::timeout || attempt.cancel_requested)) {
      endpoint.destination->lost_call_idle_time = attempt.connection_idle_time;
    }
  }

  // Records a call that was answered on a connection that had been idle for `idle_time`.
  // `lost_call_idle_time` is Destination::lost_call_idle_time of its destination.
  void recordSuccess(Micros& lost_call_idle_time, Micros idle_time) {
    // The call shows that connections live longer than was assumed.
    if (idle_time >= shortest_stale_idle_time) {
      stale_signs = 0;
      shortest_stale_idle_time = kNever;
    }
    // A connection that had been idle for a shorter time says nothing about the call that was lost.
    if (lost_call_idle_time < 0 || (idle_time >= 0 && idle_time < lost_call_idle_time)) {
      return;
    }
    // An answer on a new connection after a loss on a reused one is a sign.
    if (idle_time < 0) {
      const Micros since_last_sign = context.now - last_sign_at;
      const Micros slow_start_time = context.settings.slow_start_time;
      // 1 is added so that a slow start time of 0 can be divided by.
      stale_signs = stale_signs * std::exp(-since_last_sign / (slow_start_time + 1.0)) + 1;
      shortest_stale_idle_time = since_last_sign < slow_start_time
                                     ? std::min(shortest_stale_idle_time, lost_call_idle_time)
                                     : lost_call_idle_time;
      last_sign_at = context.now;
    }
    lost_call_idle_time = kNoIdleTime;
  }
};

}  // namespace delivery
