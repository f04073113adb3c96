// Which idle connections are kept and used again. A firewall may drop idle ones without a sign: then calls on
// connections that idled long are lost, while the destination answers the next on a fresh one.
#pragma once

#include "decision/state.h"

namespace delivery {

constexpr double kDeadSigns = 2.5;          // signs within the slow start time; half for one of many senders
constexpr Micros kSuspicionSlowStarts = 3;  // a sign counts for this many slow start times
constexpr double kMinReuses = 2;            // a connection with fewer expected uses is closed ...
constexpr double kCrowdedSenders = 10;      // ... where so many senders share an endpoint, less so below

struct ConnectionReuse {
  Turn& turn;
  double dead_signs = 0;  // of connections that die idle, decayed
  Micros shortest_dead = kNever, last_sign = -kNever;

  void closeIdle(Endpoint& endpoint) {
    turn.actions.emplace_back(CloseIdleConnections{endpoint.info.id});
    endpoint.idle_connections.clear();
  }
  bool isRecent(Micros moment) const {
    return turn.now - moment < kSuspicionSlowStarts * turn.settings.slow_start_time;
  }

  // Takes a connection for a call; returns how long it has idled, -1 for a fresh one.
  Micros take(Endpoint& endpoint) {
    std::deque<Micros>& idle = endpoint.idle_connections;
    const Micros timeout = turn.settings.connection_idle_timeout;
    while (!idle.empty() && timeout > 0 && turn.now - idle.front() >= timeout) {
      idle.pop_front();
    }
    const bool suspect = dead_signs > kDeadSigns / (turn.isOneOfMany() ? 2 : 1) && isRecent(last_sign);
    if (suspect && !idle.empty() && turn.now - idle.front() >= shortest_dead / 2) {
      closeIdle(endpoint);
    }
    if (idle.empty()) {
      return -1;
    }
    const Micros idled = turn.now - idle.back();
    idle.pop_back();
    return idled;
  }

  // Endpoints accept few connections: none is kept without expected uses or after a recent connect failure.
  void keep(Endpoint& endpoint) {
    endpoint.idle_connections.push_back(turn.now);
    const double own_rate = turn.perSecond(endpoint.destination->traffic);
    const double others = std::max(0.0, own_rate - 1 / turn.warm_up_seconds);
    const double uses =
        others / endpoint.destination->readyEndpoints() * turn.settings.connection_idle_timeout;
    const double least = kMinReuses * std::min(1.0, turn.settings.sender_count / kCrowdedSenders);
    const bool table_full = turn.isOneOfMany() && isRecent(endpoint.last_connect_failure);
    if (table_full || uses / kMicrosPerSecond < least) {
      closeIdle(endpoint);
    }
  }

  void recordOutcome(const Attempt& attempt, AttemptResult result) {
    Endpoint& endpoint = *attempt.endpoint;
    if (result == AttemptResult::connect_failed) {
      endpoint.last_connect_failure = turn.now;
    }
    if (result == AttemptResult::ok || result == AttemptResult::error || result == AttemptResult::throttled) {
      keep(endpoint);
    }
    if (result == AttemptResult::ok) {
      recordSuccess(endpoint.destination->lost_after_idle, attempt.connection_idled);
    } else if (attempt.overdue && (result == AttemptResult::timeout || attempt.cancel_requested)) {
      endpoint.destination->lost_after_idle = attempt.connection_idled;
    }
  }

  void recordSuccess(Micros& lost_after, Micros idled) {
    if (idled >= shortest_dead) {  // connections live longer than suspected
      dead_signs = 0;
      shortest_dead = kNever;
    }
    if (lost_after < 0 || (idled >= 0 && idled < lost_after)) {
      return;
    }
    if (idled < 0) {
      const Micros since_sign = turn.now - last_sign, slow_start = turn.settings.slow_start_time;
      dead_signs = dead_signs * std::exp(-since_sign / (slow_start + 1.0)) + 1;
      shortest_dead = since_sign < slow_start ? std::min(shortest_dead, lost_after) : lost_after;
      last_sign = turn.now;
    }
    lost_after = -1;
  }
};

}  // namespace delivery
