// What the files of the decision module share: the context of a decision round, and the state of endpoints,
// destinations, messages and calls.
//
// A decision round is one call of DeliveryScheduler::decide(). All points in time are on the monotonic clock,
// and all points and spans are in microseconds unless a name or a comment says otherwise.
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

// A point in time that is never reached, and one before all events. A few spans can be added to either
// without an overflow.
constexpr Micros kNever = INT64_MAX / 4;
constexpr Micros kLongAgo = -kNever;

// A span in microseconds, or a tag, that is larger than any other: the start value of a search for a minimum.
constexpr double kUnboundedMicros = 1e300;

// A sender with a smaller share of a destination's traffic than this has low traffic there. There are many
// senders if an even share is smaller than this; see DecisionContext::hasManySenders().
constexpr double kLowTrafficShare = 0.05;

// The value of Attempt::connection_idle_time for a new connection, and of Destination::lost_call_idle_time
// while no call is known to be lost on a reused connection.
constexpr Micros kNoIdleTime = -1;

// What all parts of the decision module need in a decision round: the settings, the clock, the random source
// and the actions so far.
struct DecisionContext {
  Settings settings;
  std::mt19937_64 random;
  // The time of the present round.
  Micros now = 0;
  // When the next round has to take place, if no event causes an earlier one. kNever: no wake-up is needed.
  Micros next_wakeup = kNever;
  // The actions that this round has decided on.
  std::vector<Action> actions;
  // The overload window, at least 1 so that it can be divided by.
  double overload_window_micros = std::max<Micros>(1, settings.overload_window);
  // The slow start time in seconds, above 0 so that it can be divided by. Rates are averaged over it.
  double slow_start_seconds = std::max<Micros>(1, settings.slow_start_time) / kMicrosPerSecond;
  // The shortest latency objective of all classes, in microseconds.
  double shortest_latency_objective = kUnboundedMicros;

  DecisionContext(Settings initial_settings, std::uint64_t seed)
      : settings(std::move(initial_settings)), random(seed) {
    for (const MessageClass& message_class : settings.classes) {
      shortest_latency_objective =
          std::min<double>(shortest_latency_objective, message_class.latency_objective);
    }
  }

  // Asks for a round at `moment` or earlier. Has no effect if `moment` is not in the future.
  void wakeAt(Micros moment) {
    if (moment > now) {
      next_wakeup = std::min(next_wakeup, moment);
    }
  }

  // Whether there are so many senders that an even share of the traffic is below kLowTrafficShare.
  bool hasManySenders() const { return kLowTrafficShare * settings.sender_count > 1; }

  // Returns the present rate, in events a second. The average starts from 0, so it is corrected for the part
  // of its span that has not been observed yet. With many senders it is not corrected, as each of them sees
  // only a few events, and a few events do not make a rate.
  double ratePerSecond(const DecayedRate& rate) const {
    const Micros observed = std::max(now - rate.first_event_at, settings.overload_window + 1);
    return rate.rateAt(now, slow_start_seconds) /
           (hasManySenders() ? 1 : 1 - decayFactor(observed, slow_start_seconds));
  }

  // Adds one event of the present round to `rate`.
  void addEvent(DecayedRate& rate) const { rate.addEvent(now, slow_start_seconds); }
};

// The rate limit of a destination or an endpoint, and the pacing of this sender's calls within it.
struct RateLimit {
  // Calls a second that all senders together may send. 0: no limit is known.
  double limit = 0;
  // The limit comes from the load reports of the destination.
  bool limit_is_advertised = false;
  // The limit was estimated from throttled calls and holds for this sender alone.
  bool limit_is_estimated = false;
  // The share of the limit that this sender uses.
  double quota_fraction = 1;
  // When `quota_fraction` was last updated. 0: never.
  Micros quota_updated_at = 0;
  // When a throttled call last decreased the quota or the estimated limit.
  Micros last_decrease_at = kLongAgo;
  // RePAIR's upper-bound tag: pacing allows no call before this moment.
  double next_send_tag = 0;
  // A Retry-After allows no call before this moment.
  Micros retry_after_until = 0;
  // The rate of this sender's calls that were not throttled.
  DecayedRate served_rate;
};

// What is known about the health of a destination or an endpoint from the outcomes of calls.
struct HealthStats {
  // The latency of answered calls over the long term, in microseconds. Valid if there are samples.
  double baseline_latency = 0;
  // The latency of recent calls, as a multiple of the baseline.
  double relative_latency = 1;
  // The number of answered calls in the baseline.
  int latency_samples = 0;
  // The share of failures in the latest outcomes. A throttled call is no failure.
  double failure_share = 0;
  // The share of the latest outcomes after which the message may or may not have run.
  double unknown_outcome_share = 0;
  // The numbers of failures and of throttled calls since the last success.
  int consecutive_failures = 0;
  int consecutive_throttles = 0;
  Micros last_success_at = kLongAgo;
  // The first failed or throttled call since the last success. kNever: there was none.
  Micros first_failure_at = kNever;
  Micros last_outcome_at = kLongAgo;
  // Nothing is served, so only single trial calls are sent.
  bool ejected = false;
  // The start of the slow start after the latest outage. kLongAgo: there was no outage.
  Micros warming_since = kLongAgo;
  // The value of `warming_since` in the latest HealthRecord that was written or restored.
  Micros persisted_warming_since = kLongAgo;
  // Overdue calls in flight with no success since they were sent.
  int overdue_calls = 0;
};

// The limit and the health that are kept for each destination and for each endpoint.
struct TrafficScope {
  RateLimit rate;
  HealthStats health;
};

struct Destination;

// An endpoint that is listed now, or was.
struct Endpoint {
  // The entry of the list that named the endpoint last.
  EndpointInfo info;
  // This and the kind are not null once the endpoint is in the directory.
  Destination* destination = nullptr;
  const DestinationKind* kind = nullptr;
  int calls_in_flight = 0;
  // When the latest call was sent.
  Micros last_used_at = kLongAgo;
  Micros last_connect_failure_at = kLongAgo;
  // For each idle connection the time since when it has been idle, the longest idle first.
  std::deque<Micros> idle_connections;
  // The number of the call of this round that further messages may join.
  std::uint64_t batch_call_number = 0;
  // How many further messages may join that call.
  int batch_capacity_left = 0;
  TrafficScope own_scope;

  bool isReady() const { return info.state == EndpointState::ready; }
  bool hasOwnRoute() const { return kind->independent_routes; }

  // Returns the scope that decides on the endpoint's limit and outages: its own if it has its own route, else
  // that of its destination.
  TrafficScope& governingScope();
};

// The tags of one queued message (RePAIR, section 3.1): points in time in microseconds.
struct Tag {
  // When the reservation of the destination entitles the message to be sent.
  double local = 0;
  // The position among all destinations by weight, before FairQueue::global_tag_shift is added.
  double global = 0;
};

// Both tags before the first message of a destination, and a bound that lies between that value and all
// assigned tags.
constexpr double kUnassignedTag = -1e18;
constexpr double kSmallestAssignedTag = -1e17;

struct Message;

// A destination with its queue.
struct Destination {
  std::int64_t id = 0;
  // The endpoints that are listed now, or were.
  std::vector<Endpoint*> endpoints;
  // The messages that are neither in flight nor ended.
  std::vector<Message*> queued_messages;
  // One tag for each queued message, in ascending order. Tags belong to the queue and not to a certain
  // message: the message that is sent next takes the first tag.
  std::deque<Tag> tags;
  // The tag that was assigned last.
  Tag last_tag{kUnassignedTag, kUnassignedTag};
  // RePAIR's 1/M, in microseconds.
  double reservation_period = 1;
  // The rate at which this sender receives messages for the destination.
  DecayedRate arrival_rate;
  // How long the connection had been idle on which a call was lost, until a call shows whether that was the
  // cause. kNoIdleTime: no call was lost on a reused connection.
  Micros lost_call_idle_time = kNoIdleTime;
  // The latest round in which no message could be sent.
  Micros blocked_at = kLongAgo;
  // Governs all endpoints without their own routes.
  TrafficScope shared_scope;

  // Returns the number of ready endpoints, but at least 1 so that it can be divided by.
  double readyEndpointCount() const {
    const auto is_ready = [](const Endpoint* endpoint) { return endpoint->isReady(); };
    return std::max<double>(1, std::count_if(endpoints.begin(), endpoints.end(), is_ready));
  }
};

inline TrafficScope& Endpoint::governingScope() {
  return hasOwnRoute() ? own_scope : destination->shared_scope;
}

// One attempt to deliver a message.
struct Attempt {
  // Null if an earlier process made the attempt and its endpoint is not in the directory.
  Endpoint* endpoint = nullptr;
  Micros sent_at = 0;
  // The call that carries the attempt. Attempts of several messages may share a call.
  std::uint64_t call_number = 0;
  // Ascending over the attempts of all messages.
  std::uint64_t sequence_number = 0;
  bool in_flight = true;
  // The endpoint may have processed the message.
  bool may_have_run = true;
  // How long the connection had been idle before the call. kNoIdleTime: it was a new connection.
  Micros connection_idle_time = kNoIdleTime;
  // There has been no answer for unusually long; see kOverdueRatio.
  bool overdue = false;
  bool cancel_requested = false;
};

// A message that has not ended, or has attempts in flight.
struct Message {
  std::string id;
  // Empty: the message is sent independently of others.
  std::string order_key;
  const MessageClass* message_class = nullptr;
  // Null: the message belongs to no tenant of the settings.
  const Tenant* tenant = nullptr;
  Destination* destination = nullptr;
  // When this process received the message.
  Micros arrived_at = 0;
  // When the client submitted it, to this process or an earlier one.
  Micros submitted_at = 0;
  // When the message is abandoned, a little before its deadline.
  Micros expires_at = 0;
  // The next attempt is not started before this moment.
  Micros not_before = 0;
  // The span after the submission in which the message keeps its full value.
  Micros latency_objective = 0;
  // Ascending in the order of arrival.
  std::uint64_t sequence_number = 0;
  // The attempts in the order of their numbers, those of earlier processes included.
  std::vector<Attempt> attempts;
  // How many of them were never started, because the journal could not record them. They do not count towards
  // Settings::max_attempts.
  int unstarted_attempts = 0;
  // The message is in Destination::queued_messages.
  bool queued = false;
  // The message has its final answer or needs none.
  bool ended = false;
  // An earlier process accepted the message before a restart.
  bool accepted_before_restart = false;
  int attempts_in_flight = 0;

  int startedAttempts() const { return static_cast<int>(attempts.size()) - unstarted_attempts; }

  bool mayHaveRun() const {
    return std::any_of(attempts.begin(), attempts.end(), [](auto& attempt) { return attempt.may_have_run; });
  }

  // Whether the message was accepted before a restart and has not been attempted. Such messages are sent
  // first and are not shed, as they were accepted.
  bool isUntriedAfterRestart() const { return accepted_before_restart && startedAttempts() == 0; }
};

// Refers to an attempt. A reference to the attempt itself would not outlast the next attempt of its message.
struct AttemptRef {
  Message* message = nullptr;
  // The number of the attempt.
  std::size_t index = 0;
  Attempt& attempt() const { return message->attempts[index]; }
};

// The calls in flight. A call takes one slot and may carry several messages, each with its own attempt.
struct InFlightCalls {
  const DecisionContext& context;
  // The attempts in flight by their sequence number, so the oldest come first.
  std::map<std::uint64_t, AttemptRef> attempts{};
  // For each call in flight, by its number, how many of its attempts have no outcome yet.
  std::map<std::uint64_t, int> attempts_in_call{};
  std::uint64_t last_call_number = 0;
  std::uint64_t last_sequence_number = 0;

  bool allSlotsUsed() const {
    return static_cast<int>(attempts_in_call.size()) >= context.settings.call_slots;
  }

  // Adds an attempt to its message, and to its call if it is in flight.
  void add(Message& message, Attempt attempt) {
    attempt.sequence_number = ++last_sequence_number;
    message.attempts.push_back(attempt);
    if (!attempt.in_flight) {
      return;
    }
    attempts[attempt.sequence_number] = {&message, message.attempts.size() - 1};
    ++message.attempts_in_flight;
    if (++attempts_in_call[attempt.call_number] == 1) {
      ++attempt.endpoint->calls_in_flight;
    }
  }

  // Ends an attempt in flight. Its call ends with the last attempt that it carries.
  void remove(Message& message, Attempt& attempt) {
    attempt.in_flight = false;
    --message.attempts_in_flight;
    attempts.erase(attempt.sequence_number);
    if (--attempts_in_call[attempt.call_number] > 0) {
      return;
    }
    attempts_in_call.erase(attempt.call_number);
    --attempt.endpoint->calls_in_flight;
  }
};

}  // namespace delivery
