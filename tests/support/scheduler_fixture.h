// Helpers for the tests: settings in plain figures and a small driver of one DeliveryScheduler.
#pragma once

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "decision/scheduler.h"

namespace delivery {

constexpr Micros kMs = 1000;
constexpr Micros kS = 1000000;

inline MessageClass makeClass(const std::string& name, Idempotency effect, Micros aim = 2 * kS) {
  MessageClass c;
  c.name = name;
  c.idempotency = effect;
  c.latency_objective = aim;
  c.deadline = 20 * kS;
  c.late_weight_share = 0.3;
  c.deduplication_window = 5 * kS;
  return c;
}

inline Settings makeSettings() {
  Settings s;
  s.classes = {makeClass("safe", Idempotency::idempotent), makeClass("keyed", Idempotency::with_key),
               makeClass("unsafe", Idempotency::non_idempotent)};
  s.destination_kinds = {{"shared", false, 1}, {"apart", true, 1}, {"batch", false, 3}};
  s.zones = {"a", "b"};
  s.call_slots = 8;
  s.max_messages = 200;
  s.max_attempts = 6;
  s.tick = 5 * kMs;
  s.answer_slack = 20 * kMs;
  s.poll_interval = 10 * kS;
  s.drain_grace = 250 * kMs;
  s.overload_window = 2 * kS;
  s.slow_start_time = 10 * kS;
  s.slow_start_share = 0.3;
  s.overload_factor = 1.5;
  s.connect_timeout = kS;
  s.connection_idle_timeout = 5 * kS;
  return s;
}

inline EndpointInfo makeEndpoint(const std::string& id, std::int64_t dest, const std::string& kind = "shared",
                                 double weight = 0, const std::string& zone = "a") {
  EndpointInfo e;
  e.id = id;
  e.zone = zone;
  e.kind = kind;
  e.destination = dest;
  e.weight = weight;
  return e;
}

class Rig {
 public:
  explicit Rig(Settings s = makeSettings(), std::uint64_t seed = 7) : set(s), sender(std::move(s), seed) {}

  Rig& at(Micros t) {
    now = t;
    return *this;
  }
  void list(std::vector<EndpointInfo> endpoints, EndpointUpdateKind kind = EndpointUpdateKind::cached) {
    run({EndpointsChanged{kind, std::move(endpoints)}});
  }
  Arrival arrival(const std::string& id, const std::string& cls, std::int64_t dest,
                  const std::string& key = "") {
    Arrival a;
    a.id = id;
    a.message_class = cls;
    a.destination = dest;
    a.order_key = key;
    for (const auto& c : set.classes)
      if (c.name == cls)
        a.deadline = Deadline::after(now, c.deadline);
    return a;
  }
  std::vector<std::string> arrive(const std::string& id, const std::string& cls, std::int64_t dest,
                                  const std::string& key = "") {
    return run({arrival(id, cls, dest, key)});
  }
  AttemptOutcome outcome(const std::string& id, int attempt, AttemptResult r, Micros rtt = 100 * kMs,
                         Micros wait = 0) {
    AttemptOutcome o;
    o.id = id;
    o.attempt = attempt;
    o.result = r;
    o.finished = r == AttemptResult::ok;
    o.round_trip_time = rtt;
    o.retry_after = wait;
    return o;
  }
  std::vector<std::string> end(const std::string& id, int attempt, AttemptResult r, Micros rtt = 100 * kMs,
                               Micros wait = 0) {
    return run({outcome(id, attempt, r, rtt, wait)});
  }
  std::vector<std::string> wake() { return run({TimerFired{}}); }

  // Runs one turn; returns the ids of the messages sent, in order.
  std::vector<std::string> run(const std::vector<Event>& events) {
    acts = sender.decide(now, events);
    std::vector<std::string> sent;
    for (const Action& a : acts)
      if (const auto* s = std::get_if<SendAttempt>(&a)) {
        sent.push_back(s->id);
        where[s->id] = s->endpoint;
        timeout[s->id] = s->timeout;
      }
    return sent;
  }
  template <class T>
  std::vector<T> got() const {
    std::vector<T> v;
    for (const Action& a : acts)
      if (const auto* x = std::get_if<T>(&a))
        v.push_back(*x);
    return v;
  }

  Settings set;
  DeliveryScheduler sender;
  Micros now = 0;
  std::vector<Action> acts;
  std::map<std::string, std::string> where;
  std::map<std::string, Micros> timeout;
};

}  // namespace delivery
