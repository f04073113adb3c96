// Helpers for the tests of the decision module: settings, and a driver of one DeliveryScheduler.
#pragma once

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "decision/scheduler.h"

namespace delivery {

constexpr Micros kMillisecond = 1000;
constexpr Micros kSecond = 1000000;

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

inline Settings makeSettings() {
  Settings settings;
  settings.classes = {makeClass("safe", Idempotency::idempotent),
                      makeClass("keyed", Idempotency::deduplicated),
                      makeClass("unsafe", Idempotency::non_idempotent)};
  settings.destination_kinds = {{"shared", false, 1}, {"apart", true, 1}, {"batch", false, 3}};
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

// Runs turns of one scheduler at moments that the test gives, and keeps the actions of the last turn.
class SchedulerDriver {
 public:
  explicit SchedulerDriver(const Settings& given = makeSettings(), std::uint64_t seed = 7)
      : settings(given), scheduler(given, seed) {}

  SchedulerDriver& at(Micros moment) {
    now = moment;
    return *this;
  }
  void list(std::vector<EndpointInfo> endpoints, EndpointUpdateKind kind = EndpointUpdateKind::cached) {
    run({EndpointsChanged{kind, std::move(endpoints)}});
  }
  Arrival arrival(const std::string& id, const std::string& class_name, std::int64_t destination,
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
  std::vector<std::string> arrive(const std::string& id, const std::string& class_name,
                                  std::int64_t destination, const std::string& key = "") {
    return run({arrival(id, class_name, destination, key)});
  }
  AttemptOutcome outcome(const std::string& id, int attempt, AttemptResult result,
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
  std::vector<std::string> end(const std::string& id, int attempt, AttemptResult result,
                               Micros round_trip_time = 100 * kMillisecond, Micros retry_after = 0) {
    return run({outcome(id, attempt, result, round_trip_time, retry_after)});
  }
  std::vector<std::string> wake() { return run({TimerFired{}}); }

  // Runs one turn; returns the ids of the messages sent, in order.
  std::vector<std::string> run(const std::vector<Event>& events) {
    actions = scheduler.decide(now, events);
    std::vector<std::string> sent;
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<SendAttempt>(&action)) {
        sent.push_back(send->id);
        sent_to[send->id] = send->endpoint;
        timeout[send->id] = send->timeout;
      }
    }
    return sent;
  }
  template <class T>
  std::vector<T> got() const {
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
  std::vector<Action> actions;
  std::map<std::string, std::string> sent_to;
  std::map<std::string, Micros> timeout;
};

}  // namespace delivery
