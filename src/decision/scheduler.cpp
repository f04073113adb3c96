// Runs a turn over the parts of the decision module, from its events to the messages' final answers.
#include "decision/scheduler.h"

#include "decision/admission_control.h"
#include "decision/connection_reuse.h"
#include "decision/endpoint_directory.h"

namespace delivery {
struct DeliveryScheduler::Impl {
  struct Expiry {
    Micros at;
    std::string id;
    bool operator<(const Expiry& other) const { return std::tie(at, id) < std::tie(other.at, other.id); }
  };
  struct OrderQueue {  // the messages of an order key, which are sent one at a time
    std::deque<Message*> messages;
    Micros paused_until = 0;
  };
  struct EndpointRank {  // the smallest is chosen
    bool outlier;
    double zone_cost;
    int calls_in_flight;
    bool needs_connection;
    Micros last_used;
    auto key() const { return std::tie(outlier, zone_cost, calls_in_flight, needs_connection, last_used); }
    bool operator<(const EndpointRank& other) const { return key() < other.key(); }
  };

  Turn turn;
  InFlightCalls calls{turn};
  OutlierDetector detector{turn};
  OutlierBulkhead bulkhead{turn, calls, detector};
  RateLimiter limiter{turn, detector};
  RetryPolicy policy{turn, detector, limiter};
  EndpointDirectory directory{turn, limiter};
  FairQueue queue{turn, detector};
  ConnectionReuse connections{turn};
  AdmissionControl admission{turn, detector, limiter, queue};
  std::map<std::string, Message> messages;  // also ended ones with an attempt in flight
  std::map<std::string, OrderQueue> order_queues;
  std::set<Expiry> expiries;
  std::uint64_t last_order = 0;
  int open_messages = 0;
  Micros timer_at = kNever, shutdown_at = kNever;  // outcomes after the shutdown are lost

  Impl(Settings settings, std::uint64_t seed) : turn(std::move(settings), seed) {}

  void learnAt(TrafficScope& scope, const Destination& destination, AttemptResult result, Micros latency) {
    double& next_send_tag = scope.rate.next_send_tag;
    const bool ok = result == AttemptResult::ok;
    if (ok || result == AttemptResult::timeout) {
      detector.recordLatency(scope.health, latency, ok);
    }
    const bool changed = detector.recordOutcome(scope.health, result);
    if (changed) {
      next_send_tag = ok ? turn.now : std::max<double>(next_send_tag, turn.now);
    }
    if (result == AttemptResult::throttled) {
      return;
    }
    limiter.recordServed(scope.rate);
    if (turn.isOneOfMany() && !ok && scope.health.ejected) {
      next_send_tag = std::max(next_send_tag, turn.now + limiter.returnDelay(scope, destination));
    }
  }

  void learn(Endpoint& endpoint, AttemptResult result, Micros latency, Micros retry_after) {
    if (result == AttemptResult::cancelled || result == AttemptResult::not_sent) {
      return;
    }
    TrafficScope& scope = endpoint.scope();
    HealthStats& health = scope.health;
    const bool was_ejected = health.ejected;
    const Micros window = turn.settings.overload_window;
    detector.recordActivity(endpoint, result == AttemptResult::ok, latency);
    learnAt(endpoint.own, *endpoint.destination, result, latency);
    if (!endpoint.hasOwnRoute()) {
      learnAt(scope, *endpoint.destination, result, latency);
    }
    if (result == AttemptResult::throttled && !health.ejected) {
      limiter.recordThrottled(endpoint, retry_after > 0);
    }
    if (result == AttemptResult::throttled && retry_after > 0) {
      const bool outage = retry_after > window / 2;
      if (outage) {
        detector.eject(health);
      }
      const double spread = outage ? limiter.returnDelay(scope, *endpoint.destination) : 0;
      const Micros until = turn.now + retry_after + static_cast<Micros>(spread);
      scope.rate.retry_after_until = std::max(scope.rate.retry_after_until, until);
    }
    const bool moved = std::abs(health.warming_since - health.last_persisted) > window / 2;
    if (health.ejected == was_ejected && retry_after <= 0 && !moved) {
      return;
    }
    // The next process starts with a backlog, and must not overload a destination that just recovered.
    health.last_persisted = health.warming_since;
    turn.actions.emplace_back(HealthRecord{endpoint.hasOwnRoute() ? endpoint.info.id : "",
                                           endpoint.destination->id, health.ejected, health.warming_since,
                                           scope.rate.retry_after_until});
  }

  void apply(const HealthRecord& record) {
    Endpoint* endpoint = find(directory.endpoints, record.endpoint);
    if (!record.endpoint.empty() && !endpoint) {
      return;
    }
    Destination& destination = directory.destination(record.destination);
    auto& [rate, health] = record.endpoint.empty() ? destination.shared : endpoint->own;
    health.ejected = record.ejected;
    health.warming_since = health.last_persisted = record.warming_since;
    rate.retry_after_until = std::max(rate.retry_after_until, record.retry_after_until);
    if (record.ejected) {
      health.consecutive_failures = std::max(health.consecutive_failures, 1);
    }
  }

  bool isDue(const Message& message) const {
    if (message.not_before > turn.now) {
      return false;
    }
    if (message.order_key.empty()) {
      return true;
    }
    const OrderQueue& order = order_queues.at(message.order_key);
    return order.messages.front() == &message &&
           (!message.attempts.empty() || turn.now >= order.paused_until);
  }

  bool accepts(Endpoint& endpoint, const Message& message) const {
    if (!endpoint.isReady() || !policy.maySend(message, endpoint)) {
      return false;
    }
    // Before a shutdown only calls are started whose outcome will arrive in time.
    const double patience = kOverdueRatio * kNonIdempotentPatience * detector.common_slowdown;
    const bool heard = shutdown_at - turn.now >= patience * detector.usualLatency(endpoint);
    if (shutdown_at != kNever && (detector.isOutlier(endpoint) || !heard)) {
      return false;
    }
    // A non-idempotent message does not probe a failing endpoint until half of its deadline has passed.
    const HealthStats &shared = endpoint.scope().health, &own = endpoint.own.health;
    const bool risky = std::max(shared.unknown_share, own.unknown_share) > kMaxUnknownShare;
    return message.rules->idempotency != Idempotency::non_idempotent || !risky ||
           turn.now - message.submitted_at >= message.rules->deadline / 2;
  }

  EndpointRank rank(Endpoint& endpoint) const {
    const std::vector<std::string>& zones = turn.settings.zones;
    const auto zone = std::find(zones.begin(), zones.end(), endpoint.info.zone);
    const auto index = static_cast<std::size_t>(zone - zones.begin());
    const bool has_cost = endpoint.hasOwnRoute() && index < turn.settings.zone_cost.size();
    return {detector.isOutlier(endpoint), has_cost ? turn.settings.zone_cost[index] : 0,
            endpoint.calls_in_flight, endpoint.idle_connections.empty(), endpoint.last_used};
  }

  Endpoint* chooseEndpoint(const Message& message) const {
    Endpoint* best = nullptr;
    for (Endpoint* endpoint : message.destination->endpoints) {
      if (limiter.opensAt(*endpoint, &message) > turn.now || !accepts(*endpoint, message)) {
        continue;
      }
      if (!best || rank(*endpoint) < rank(*best)) {
        best = endpoint;
      }
    }
    return best;
  }

  // The message that loses most by waiting until the backlog has drained.
  Message* choose(const Destination& destination) {
    for (Endpoint* endpoint : destination.endpoints) {
      if (endpoint->isReady()) {
        turn.wakeAt(limiter.opensAt(*endpoint, nullptr));
      }
    }
    Message* best = nullptr;
    double best_loss = -1;
    const Micros drained_at = turn.now + limiter.drainTime(destination);
    for (Message* message : destination.queued) {
      turn.wakeAt(message->not_before);
      if (!isDue(*message)) {
        continue;
      }
      const double value = admission.valueAt(*message, turn.now);
      const double loss = value - admission.valueAt(*message, drained_at) + 1e-3 * value;
      const bool best_is_untried = best && best->isRecoveredUntried();
      if (message->isRecoveredUntried() == best_is_untried ? loss <= best_loss : best_is_untried) {
        continue;
      }
      if (!chooseEndpoint(*message)) {
        continue;
      }
      best_loss = loss;
      best = message;
    }
    return best;
  }

  void send(Message& message, Endpoint& endpoint, bool in_global_phase) {
    queue.start(message, in_global_phase);
    Micros connection_idled = -1;
    if (endpoint.forming_room > 0) {
      --endpoint.forming_room;
    } else {
      connection_idled = connections.take(endpoint);
      endpoint.forming_call = ++calls.last_call;
      endpoint.forming_room = endpoint.kind->messages_per_call - 1;
      limiter.chargeCall(endpoint);
    }
    endpoint.last_used = turn.now;
    calls.add(message, {&endpoint, turn.now, endpoint.forming_call, 0, true, true, connection_idled});
    turn.actions.emplace_back(SendAttempt{message.id, endpoint.info.id, policy.timeout(message, endpoint)});
  }

  // Adds further messages to a call that was just started, the oldest first.
  void fillCall(const Destination& destination, Endpoint& endpoint) {
    while (endpoint.forming_room > 0) {
      Message* oldest = nullptr;
      for (Message* message : destination.queued) {
        if (isDue(*message) && accepts(endpoint, *message) && (!oldest || message->order < oldest->order)) {
          oldest = message;
        }
      }
      if (!oldest) {
        return;
      }
      send(*oldest, endpoint, destination.tags.front().local > turn.now);
    }
  }

  bool dispatchNext() {
    for (const auto& [position, destination] : queue.candidates()) {
      Message* message = choose(*destination);
      Endpoint* endpoint = message ? chooseEndpoint(*message) : nullptr;
      if (endpoint && (!detector.isOutlier(*endpoint) || bulkhead.hasRoom())) {
        send(*message, *endpoint, position.in_global_phase);
        fillCall(*destination, *endpoint);
        return true;
      }
      destination->blocked_at = turn.now;  // a call to another destination does not unblock it
    }
    return false;
  }

  void dispatch() {
    for (const auto& [id, destination] : queue.backlog) {
      destination->blocked_at = -kNever;
      for (Endpoint* endpoint : destination->endpoints) {
        endpoint->forming_room = 0;
      }
    }
    while (!calls.allSlotsUsed()) {
      if (!dispatchNext()) {
        return;
      }
    }
  }

  void close(Message& message) {  // without an answer
    if (message.ended) {
      return;
    }
    if (message.queued) {
      queue.withdraw(message);
    }
    message.ended = true;
    --open_messages;
    expiries.erase({message.expires_at, message.id});
  }

  void forget(const Message& message) {
    if (!message.ended || message.attempts_in_flight > 0) {
      return;
    }
    if (!message.order_key.empty()) {
      auto& [waiting, paused_until] = order_queues[message.order_key];
      waiting.erase(std::find(waiting.begin(), waiting.end(), &message));
      if (waiting.empty() && turn.now >= paused_until) {
        order_queues.erase(message.order_key);
      }
    }
    messages.erase(messages.find(message.id));
  }

  // The final answer of a message that was not delivered: a rejection only if resubmitting does no harm.
  void giveUp(Message& message, bool reject) {
    if (!message.ended && reject && RetryPolicy::mayReject(message)) {
      const Micros wait = message.destination->shared.rate.retry_after_until - turn.now;
      const Micros opens_in = std::max(limiter.drainTime(*message.destination), wait);
      const Micros pause = std::min(turn.settings.max_retry_after, opens_in);
      turn.actions.emplace_back(Reject{message.id, turn.settings.retry_after_supported ? pause : 0});
    } else if (!message.ended) {
      turn.actions.emplace_back(Fail{message.id});
    }
    close(message);
    forget(message);
  }

  // Queues a new message; null for an unknown class or a message that is known already.
  Message* accept(const Arrival& arrival) {
    const MessageClass* rules = nullptr;
    for (const MessageClass& each : turn.settings.classes) {
      if (each.name == arrival.message_class) {
        rules = &each;
      }
    }
    if (!rules) {
      turn.actions.emplace_back(Fail{arrival.id});
    }
    if (!rules || find(messages, arrival.id)) {
      return nullptr;
    }
    Message& message = messages[arrival.id];
    message.id = arrival.id;
    message.rules = rules;
    admission.assignTenant(message, arrival.tenant);
    message.destination = &directory.destination(arrival.destination);
    turn.count(message.destination->traffic);
    message.arrived_at = turn.now;
    message.submitted_at = std::min(turn.now, arrival.deadline.remaining(rules->deadline));
    const auto stretch = static_cast<Micros>(rules->work_estimate_factor * arrival.work_estimate);
    message.latency_objective = std::min(rules->deadline, rules->latency_objective + stretch);
    message.expires_at = arrival.deadline.remaining(2 * turn.settings.tick);
    message.order = ++last_order;
    if (rules->ordered) {
      message.order_key = arrival.order_key;
    }
    if (!message.order_key.empty()) {
      order_queues[message.order_key].messages.push_back(&message);
    }
    ++open_messages;
    expiries.insert({message.expires_at, message.id});
    queue.push(message, turn.now);
    return &message;
  }

  void apply(const Arrival& arrival) {
    Message* message = accept(arrival);
    const bool full = open_messages > turn.settings.max_messages;
    if (message && (full || !policy.hasAttemptLeft(*message))) {
      giveUp(*message, true);
    }
  }

  // Earlier attempts count. A message without one is attempted even at full capacity, as it was accepted.
  void apply(const RecoveredMessage& recovered) {
    Message* message = accept(recovered.message);
    if (!message) {
      return;
    }
    message->recovered = recovered.after_restart;
    admission.last_accepted = message->order;
    for (const RecoveredAttempt& earlier : recovered.attempts) {
      Endpoint* endpoint = find(directory.endpoints, earlier.endpoint);
      const bool is_out = earlier.in_flight && endpoint;
      calls.add(*message, {endpoint, earlier.sent_at, ++calls.last_call, 0, is_out, earlier.may_have_run});
    }
    if (message->attempts_in_flight > 0) {
      queue.withdraw(*message);
    } else if (!policy.hasAttemptLeft(*message)) {
      giveUp(*message, turn.now < message->expires_at);
    }
  }

  void apply(const Abandoned& abandoned) {
    Message* message = find(messages, abandoned.id);
    if (!message) {
      return;
    }
    close(*message);
    forget(*message);
  }

  void apply(const AttemptOutcome& outcome) {
    const auto index = static_cast<std::size_t>(outcome.attempt);
    const AttemptResult result = outcome.result;
    Message* message = find(messages, outcome.id);
    if (!message || index >= message->attempts.size() || !message->attempts[index].in_flight) {
      return;
    }
    Attempt& attempt = message->attempts[index];
    Endpoint& endpoint = *attempt.endpoint;
    RateLimit& rate = endpoint.scope().rate;
    if (outcome.still_in_flight) {
      rate.retry_after_until = std::max(rate.retry_after_until, turn.now + outcome.retry_after);
      return;
    }
    calls.remove(*message, attempt);
    OutlierDetector::clearOverdue(endpoint);  // counted anew in each turn
    connections.recordOutcome(attempt, result);
    attempt.may_have_run = result != AttemptResult::throttled && result != AttemptResult::connect_failed &&
                           result != AttemptResult::not_sent;
    if (outcome.load_report && outcome.load_report->limit_per_second > 0) {
      RateLimiter::recordAdvertisedLimit(rate, outcome.load_report->limit_per_second);
    }
    const Micros elapsed = outcome.round_trip_time > 0 ? outcome.round_trip_time : turn.now - attempt.sent_at;
    learn(endpoint, result, elapsed, outcome.retry_after);
    const bool may_still_run =
        attempt.may_have_run && result != AttemptResult::ok && result != AttemptResult::error;
    if (may_still_run && !message->order_key.empty()) {  // the next message of its order key waits
      Micros& paused_until = order_queues[message->order_key].paused_until;
      paused_until = std::max(paused_until, turn.now + turn.settings.ordering_pause);
      turn.next_wake = std::min(turn.next_wake, paused_until);
    }
    std::vector<Message*>& queued = endpoint.destination->queued;
    for (std::size_t i = outcome.retry_after > 0 ? queued.size() : 0; i-- > 0;) {
      if (!policy.hasAttemptLeft(*queued[i])) {
        giveUp(*queued[i], true);
      }
    }
    if (outcome.finished || result == AttemptResult::ok) {
      close(*message);
    }
    const bool waits = message->queued || message->attempts_in_flight > 0;
    const bool expired = turn.now >= message->expires_at;
    if (message->ended) {
      forget(*message);
    } else if (!waits && (expired || !policy.hasAttemptLeft(*message))) {
      giveUp(*message, !expired);
    } else if (!waits) {
      queue.push(*message, policy.nextAttemptAt(*message, endpoint));
    }
  }

  void apply(const EndpointsChanged& change) { directory.update(change); }
  void apply(const ShutdownScheduled& shutdown) { shutdown_at = shutdown.at; }
  void apply(const TimerFired&) {}

  void setTimer() {
    if (!expiries.empty()) {
      turn.wakeAt(expiries.begin()->at);
    }
    const Micros wake = std::max(turn.next_wake, turn.now + std::max<Micros>(1, turn.settings.tick));
    if (turn.next_wake == kNever || (timer_at > turn.now && timer_at <= wake)) {
      return;
    }
    timer_at = wake;
    turn.actions.emplace_back(SetTimer{timer_at - turn.now});
  }
};

DeliveryScheduler::DeliveryScheduler(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
DeliveryScheduler::~DeliveryScheduler() = default;

std::vector<Action> DeliveryScheduler::decide(Micros now, const std::vector<Event>& events) {
  Impl& parts = *impl_;
  parts.turn.now = now;
  parts.turn.actions.clear();
  parts.turn.next_wake = kNever;
  parts.admission.last_accepted = parts.last_order;
  for (const Event& event : events) {
    std::visit([&](const auto& each) { parts.apply(each); }, event);
  }
  parts.detector.measureCommonSlowdown();
  parts.detector.countOverdue(parts.calls);
  while (!parts.expiries.empty() && parts.expiries.begin()->at <= now) {
    parts.giveUp(parts.messages.at(parts.expiries.begin()->id), false);
  }
  parts.directory.poll();
  parts.dispatch();
  parts.bulkhead.cancelExcess();
  for (Message* message : parts.admission.selectToShed(parts.open_messages, parts.calls.allSlotsUsed())) {
    parts.giveUp(*message, true);
  }
  parts.setTimer();
  return std::move(parts.turn.actions);
}

}  // namespace delivery
