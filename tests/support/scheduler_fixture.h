// Helpers for the tests of the decision module: settings, endpoints, and a driver that passes events to one
// DeliveryScheduler.
#pragma once

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "decision/scheduler.h"

namespace delivery {

constexpr Micros kMillisecond = 1000;
constexpr Micros kSecond = 1000000;

// A class with a deadline of 20 s and a deduplication window of 5 s. `objective` is its latency objective.
inline MessageClass makeClass(const std::string& name, Idempotency idempotency,
                              Micros objective = 2 * kSecond) {
  MessageClass message_class;
  message_class.name = name;
  message_class.idempotency = idempotency;
  message_class.latency_objective = objective;
  message_class.deadline = 20 * kSecond;
  message_class.late_weight_share = 0.3;
  message_class.deduplication_window = 5 * kSecond;
  return message_class;
}

// Valid settings with one class for each kind of idempotency, and destination kinds whose endpoints share a
// limit, have limits of their own, or take up to three messages in a call.
// Tests of the rules for many senders set a sender_count of 200 or more.
inline Settings makeSettings() {
  Settings settings;
  settings.classes = {makeClass("idempotent", Idempotency::idempotent),
                      makeClass("deduplicated", Idempotency::deduplicated),
                      makeClass("non_idempotent", Idempotency::non_idempotent)};
  settings.destination_kinds = {{"shared", false, 1}, {"independent", true, 1}, {"batch", false, 3}};
  settings.zones = {"a", "b"};
  settings.call_slots = 8;
  settings.max_messages = 200;
  settings.max_attempts = 6;
  settings.tick = 5 * kMillisecond;
  settings.answer_slack = 20 * kMillisecond;
  settings.poll_interval = 10 * kSecond;
  settings.drain_grace = 250 * kMillisecond;
  settings.overload_window = 2 * kSecond;
  settings.slow_start_time = 10 * kSecond;
  settings.slow_start_share = 0.3;
  settings.overload_factor = 1.5;
  settings.connect_timeout = kSecond;
  settings.connection_idle_timeout = 5 * kSecond;
  return settings;
}

// An endpoint that is ready. `weight` is its limit in calls a second, 0 for none; see WeightKind.
inline EndpointInfo makeEndpoint(const std::string& id, std::int64_t destination,
                                 const std::string& kind = "shared", double weight = 0,
                                 const std::string& zone = "a") {
  EndpointInfo endpoint;
  endpoint.id = id;
  endpoint.zone = zone;
  endpoint.kind = kind;
  endpoint.destination = destination;
  endpoint.weight = weight;
  return endpoint;
}

// Passes events to one scheduler at times that the test sets, and keeps the actions of the latest decision.
class SchedulerDriver {
 public:
  explicit SchedulerDriver(const Settings& scheduler_settings = makeSettings(), std::uint64_t seed = 7)
      : settings(scheduler_settings), scheduler(scheduler_settings, seed) {}

  // Sets the time of the next decisions, in microseconds.
  SchedulerDriver& advanceTo(Micros time) {
    now = time;
    return *this;
  }

  // Reports a list of endpoints to the scheduler.
  void updateEndpoints(std::vector<EndpointInfo> endpoints,
                       EndpointUpdateKind kind = EndpointUpdateKind::cached) {
    decide({EndpointsChanged{kind, std::move(endpoints)}});
  }

  // Returns the arrival of a message that expires after its class's deadline, counted from now.
  Arrival makeArrival(const std::string& id, const std::string& class_name, std::int64_t destination,
                      const std::string& key = "") {
    Arrival arrival;
    arrival.id = id;
    arrival.message_class = class_name;
    arrival.destination = destination;
    arrival.order_key = key;
    for (const MessageClass& each : settings.classes) {
      if (each.name == class_name) {
        arrival.deadline = Deadline::after(now, each.deadline);
      }
    }
    return arrival;
  }

  // Submits one message; returns the ids of the messages that the scheduler sends thereupon.
  std::vector<std::string> submit(const std::string& id, const std::string& class_name,
                                  std::int64_t destination, const std::string& key = "") {
    return decide({makeArrival(id, class_name, destination, key)});
  }

  // Returns the outcome of an attempt. Only `ok` finishes the message. A `retry_after` of 0 means none.
  AttemptOutcome makeOutcome(const std::string& id, int attempt, AttemptResult result,
                             Micros round_trip_time = 100 * kMillisecond, Micros retry_after = 0) {
    AttemptOutcome outcome;
    outcome.id = id;
    outcome.attempt = attempt;
    outcome.result = result;
    outcome.finished = result == AttemptResult::ok;
    outcome.round_trip_time = round_trip_time;
    outcome.retry_after = retry_after;
    return outcome;
  }

  // Reports the outcome of one attempt; returns the ids of the messages that the scheduler sends thereupon.
  std::vector<std::string> reportOutcome(const std::string& id, int attempt, AttemptResult result,
                                         Micros round_trip_time = 100 * kMillisecond,
                                         Micros retry_after = 0) {
    return decide({makeOutcome(id, attempt, result, round_trip_time, retry_after)});
  }

  // Reports that the timer has fired; returns the ids of the messages that the scheduler sends thereupon.
  std::vector<std::string> fireTimer() { return decide({TimerFired{}}); }

  // Lets the scheduler decide on these events; returns the ids of the messages sent, in order.
  std::vector<std::string> decide(const std::vector<Event>& events) {
    actions = scheduler.decide(now, events);
    std::vector<std::string> sent;
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<SendAttempt>(&action)) {
        sent.push_back(send->id);
        last_endpoint[send->id] = send->endpoint;
        last_timeout[send->id] = send->timeout;
      }
    }
    return sent;
  }

  // Returns the actions of this type among those of the latest decision.
  template <class T>
  std::vector<T> actionsOfType() const {
    std::vector<T> found_actions;
    for (const Action& action : actions) {
      if (const auto* found = std::get_if<T>(&action)) {
        found_actions.push_back(*found);
      }
    }
    return found_actions;
  }

  Settings settings;
  DeliveryScheduler scheduler;
  Micros now = 0;
  // The actions of the latest decision.
  std::vector<Action> actions;
  // The endpoint of the latest attempt of each message, by the message id.
  std::map<std::string, std::string> last_endpoint;
  // The time-out of the latest attempt of each message, by the message id.
  std::map<std::string, Micros> last_timeout;
};

}  // namespace delivery
