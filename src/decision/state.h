// What the parts of the decision module share: a turn's context, endpoints, destinations and messages.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <tuple>

#include "common/actions.h"
#include "common/decayed_rate.h"
#include "common/find.h"
#include "common/settings.h"

namespace delivery {

constexpr double kMicrosPerSecond = 1e6;
constexpr Micros kNever = INT64_MAX / 4;
constexpr double kRareShare = 0.05;  // a sender with less of a destination's traffic is one of many

struct Turn {  // settings, clock, random source and the actions so far
  Settings settings;
  std::mt19937_64 random;
  Micros now = 0, next_wake = kNever;
  std::vector<Action> actions;
  double overload_micros = std::max<Micros>(1, settings.overload_window);
  double warm_up_seconds = std::max<Micros>(1, settings.slow_start_time) / kMicrosPerSecond;
  double tightest_objective = 1e300;  // the shortest latency objective of all classes, in microseconds

  Turn(Settings given, std::uint64_t seed) : settings(std::move(given)), random(seed) {
    for (const MessageClass& each : settings.classes) {
      tightest_objective = std::min<double>(tightest_objective, each.latency_objective);
    }
  }
  void wakeAt(Micros when) {
    if (when > now) {
      next_wake = std::min(next_wake, when);
    }
  }
  bool isOneOfMany() const { return kRareShare * settings.sender_count > 1; }
  // Corrected for the part of the span not observed yet, except for one of many: a few events are no rate.
  double perSecond(const DecayedRate& rate) const {
    const Micros observed = std::max(now - rate.first_event, settings.overload_window + 1);
    return rate.at(now, warm_up_seconds) / (isOneOfMany() ? 1 : 1 - decayOver(observed, warm_up_seconds));
  }
  void count(DecayedRate& rate) const { rate.count(now, warm_up_seconds); }
};

struct RateLimit {
  double limit = 0;                  // calls a second of all senders; 0: none known
  bool limit_is_advertised = false;  // by the destination's load reports
  bool limit_is_learned = false;     // from throttled calls, for this sender alone
  double quota_fraction = 1;         // of the limit, for this sender
  Micros quota_updated_at = 0, last_decrease = -kNever;
  double next_send_tag = 0;  // RePAIR's upper-bound tag: no call before this moment
  Micros retry_after_until = 0;
  DecayedRate served;  // own calls that were not throttled
};

struct HealthStats {
  double usual_latency = 0, relative_latency = 1;  // microseconds; recent latency over the usual one
  int latency_samples = 0;
  double failure_share = 0, unknown_share = 0;  // of the latest outcomes; unknown: it may have run
  int consecutive_failures = 0, consecutive_throttles = 0;
  Micros last_success = -kNever, first_failure = kNever;  // first_failure: since the last success
  Micros last_outcome = -kNever;
  bool ejected = false;
  Micros warming_since = -kNever, last_persisted = -kNever;  // last_persisted: warming_since at that time
  int overdue_calls = 0;                                     // with no success since they were sent
};

struct TrafficScope {  // kept for each destination and each endpoint
  RateLimit rate;
  HealthStats health;
};

struct Destination;
struct Endpoint {
  EndpointInfo info;  // as last listed
  Destination* destination = nullptr;
  const DestinationKind* kind = nullptr;
  int calls_in_flight = 0;
  Micros last_used = -kNever, last_connect_failure = -kNever;
  std::deque<Micros> idle_connections;  // since when each idles, oldest first
  std::uint64_t forming_call = 0;       // of this turn
  int forming_room = 0;                 // for further messages in that call
  TrafficScope own;

  bool isReady() const { return info.state == EndpointState::ready; }
  bool hasOwnRoute() const { return kind->independent_routes; }
  TrafficScope& scope();  // where its limit and its outages are decided
};

struct Tag {  // RePAIR, section 3.1
  double local = 0, global = 0;
};

struct Message;
struct Destination {
  std::int64_t id = 0;
  std::vector<Endpoint*> endpoints;
  std::vector<Message*> queued;  // neither in flight nor ended
  std::deque<Tag> tags;          // one for each queued message; the next message to send takes the first
  Tag last_tag{-1e18, -1e18};
  double reservation_period = 1;  // 1/M, in microseconds
  DecayedRate traffic;            // own messages
  Micros lost_after_idle = -1;    // idle time of a connection that lost a call, until a call is answered
  Micros blocked_at = -kNever;    // the turn in which nothing could leave
  TrafficScope shared;

  double readyEndpoints() const {  // one at least, to divide by
    const auto is_ready = [](const Endpoint* each) { return each->isReady(); };
    return std::max<double>(1, std::count_if(endpoints.begin(), endpoints.end(), is_ready));
  }
};

inline TrafficScope& Endpoint::scope() {
  return hasOwnRoute() ? own : destination->shared;
}

struct Attempt {
  Endpoint* endpoint = nullptr;
  Micros sent_at = 0;
  std::uint64_t call = 0, order = 0;
  bool in_flight = true, may_have_run = true;
  Micros connection_idled = -1;  // -1: a fresh connection
  bool overdue = false, cancel_requested = false;
};

struct Message {
  std::string id, order_key;
  const MessageClass* rules = nullptr;
  const Tenant* tenant = nullptr;
  Destination* destination = nullptr;
  Micros arrived_at = 0, submitted_at = 0, expires_at = 0, not_before = 0, latency_objective = 0;
  std::uint64_t order = 0;
  std::vector<Attempt> attempts;
  bool queued = false, ended = false, recovered = false;  // recovered: accepted before a restart
  int attempts_in_flight = 0;

  bool mayHaveRun() const {
    return std::any_of(attempts.begin(), attempts.end(), [](auto& each) { return each.may_have_run; });
  }
  bool isRecoveredUntried() const { return recovered && attempts.empty(); }  // sent first
};

struct AttemptRef {
  Message* message = nullptr;
  std::size_t index = 0;
  Attempt& attempt() const { return message->attempts[index]; }
};

struct InFlightCalls {  // a call takes one slot and may carry several messages, each with its own attempt
  const Turn& turn;
  std::map<std::uint64_t, AttemptRef> attempts{};  // the oldest first
  std::map<std::uint64_t, int> attempts_in_call{};
  std::uint64_t last_call = 0, last_attempt = 0;

  bool allSlotsUsed() const { return static_cast<int>(attempts_in_call.size()) >= turn.settings.call_slots; }

  void add(Message& message, Attempt attempt) {
    attempt.order = ++last_attempt;
    message.attempts.push_back(attempt);
    if (!attempt.in_flight) {
      return;
    }
    attempts[attempt.order] = {&message, message.attempts.size() - 1};
    ++message.attempts_in_flight;
    if (++attempts_in_call[attempt.call] == 1) {
      ++attempt.endpoint->calls_in_flight;
    }
  }

  void remove(Message& message, Attempt& attempt) {
    attempt.in_flight = false;
    --message.attempts_in_flight;
    attempts.erase(attempt.order);
    if (--attempts_in_call[attempt.call] > 0) {
      return;
    }
    attempts_in_call.erase(attempt.call);
    --attempt.endpoint->calls_in_flight;
  }
};

}  // namespace delivery
