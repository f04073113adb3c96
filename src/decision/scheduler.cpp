// One decision round, from its events to the final answers of messages: it directs the other files of the
// decision module.
#include "decision/scheduler.h"

#include "decision/admission_control.h"
#include "decision/connection_reuse.h"
#include "decision/endpoint_directory.h"

namespace delivery {

// A message expires this many ticks before its deadline.
constexpr Micros kTicksBeforeDeadline = 2;

// The state of one scheduler and the steps of its rounds.
struct DeliveryScheduler::Impl {
  // When a message expires.
  struct Expiry {
    Micros at;
    std::string id;
    bool operator<(const Expiry& other) const { return std::tie(at, id) < std::tie(other.at, other.id); }
  };

  // The messages of one order key, which are sent one at a time.
  struct OrderQueue {
    // The messages in the order of arrival. Only the first one may be sent or be in flight.
    std::deque<Message*> messages;
    // No first attempt is started before this moment.
    Micros paused_until = 0;
  };

  // How well an endpoint suits a message. The smallest is chosen.
  struct EndpointRank {
    bool is_outlier;
    // The cost of calls into the zone of the endpoint, if it has its own route; else 0.
    double zone_cost;
    int calls_in_flight;
    bool needs_new_connection;
    Micros last_used_at;
    auto key() const {
      return std::tie(is_outlier, zone_cost, calls_in_flight, needs_new_connection, last_used_at);
    }
    bool operator<(const EndpointRank& other) const { return key() < other.key(); }
  };

  DecisionContext context;
  InFlightCalls calls{context};
  OutlierDetector detector{context};
  OutlierBulkhead bulkhead{context, calls, detector};
  RateLimiter limiter{context, detector};
  RetryPolicy retry_policy{context, detector, limiter};
  EndpointDirectory directory{context, limiter};
  FairQueue fair_queue{context, detector};
  ConnectionReuse connection_reuse{context};
  AdmissionControl admission{context, detector, limiter, fair_queue};
  // The messages that have not ended, or have an attempt in flight, by their id.
  std::map<std::string, Message> messages;
  // The order queues by their order key.
  std::map<std::string, OrderQueue> order_queues;
  // Holds one entry for each message that has not ended, the earliest expiry first.
  std::set<Expiry> expiries;
  std::uint64_t last_sequence_number = 0;
  // The number of messages that have not ended.
  int open_messages = 0;
  // When the latest timer fires. kNever: none was set.
  Micros timer_at = kNever;
  // Outcomes after this moment are lost. kNever: no shutdown is scheduled.
  Micros shutdown_at = kNever;
  // Attempts can be recorded, see JournalAvailability.
  bool may_start_attempts = true;

  Impl(Settings settings, std::uint64_t seed) : context(std::move(settings), seed) {}

  // Records an outcome in the health and the limit of one scope.
  void recordOutcomeInScope(TrafficScope& scope, const Destination& destination, AttemptResult result,
                            Micros latency) {
    double& next_send_tag = scope.rate.next_send_tag;
    const bool ok = result == AttemptResult::ok;
    if (ok || result == AttemptResult::timeout) {
      detector.recordLatency(scope.health, latency, ok);
    }
    const bool ejection_changed = detector.recordOutcome(scope.health, result);
    // A scope that serves again may be used at once. The tag of an ejected scope is moved up to now at
    // least.
    if (ejection_changed) {
      next_send_tag = ok ? context.now : std::max<double>(next_send_tag, context.now);
    }
    if (result == AttemptResult::throttled) {
      return;
    }
    limiter.recordServed(scope.rate);
    if (context.hasManySenders() && !ok && scope.health.ejected) {
      next_send_tag = std::max(next_send_tag, context.now + limiter.returnDelay(scope, destination));
    }
  }

  // Records an outcome in the statistics of the endpoint and of its destination, and reports their health for
  // the next process if it has changed.
  void recordOutcome(Endpoint& endpoint, AttemptResult result, Micros latency, Micros retry_after) {
    if (result == AttemptResult::cancelled || result == AttemptResult::not_sent) {
      return;
    }
    TrafficScope& scope = endpoint.governingScope();
    HealthStats& health = scope.health;
    const bool was_ejected = health.ejected;
    const Micros window = context.settings.overload_window;
    detector.recordActivity(endpoint, result == AttemptResult::ok, latency);
    recordOutcomeInScope(endpoint.own_scope, *endpoint.destination, result, latency);
    if (!endpoint.hasOwnRoute()) {
      recordOutcomeInScope(scope, *endpoint.destination, result, latency);
    }
    if (result == AttemptResult::throttled && !health.ejected) {
      limiter.recordThrottled(endpoint, retry_after > 0);
    }
    if (result == AttemptResult::throttled && retry_after > 0) {
      // A Retry-After of more than half an overload window is treated as an outage.
      const bool is_outage = retry_after > window / 2;
      if (is_outage) {
        detector.eject(health);
      }
      const double return_delay = is_outage ? limiter.returnDelay(scope, *endpoint.destination) : 0;
      const Micros until = context.now + retry_after + static_cast<Micros>(return_delay);
      scope.rate.retry_after_until = std::max(scope.rate.retry_after_until, until);
    }
    // If the start of warming up moved by no more than half an overload window, this alone causes no record.
    const bool warming_start_changed =
        std::abs(health.warming_since - health.persisted_warming_since) > window / 2;
    if (health.ejected == was_ejected && retry_after <= 0 && !warming_start_changed) {
      return;
    }
    // The next process starts with a backlog, and must not overload a destination that just recovered.
    health.persisted_warming_since = health.warming_since;
    context.actions.emplace_back(HealthRecord{endpoint.hasOwnRoute() ? endpoint.info.id : "",
                                              endpoint.destination->id, health.ejected, health.warming_since,
                                              scope.rate.retry_after_until});
  }

  // Restores the health that an earlier process recorded. A record of an unknown endpoint is ignored.
  void apply(const HealthRecord& record) {
    Endpoint* endpoint = findOrNull(directory.endpoints, record.endpoint);
    if (!record.endpoint.empty() && !endpoint) {
      return;
    }
    Destination& destination = directory.destination(record.destination);
    auto& [rate, health] = record.endpoint.empty() ? destination.shared_scope : endpoint->own_scope;
    health.ejected = record.ejected;
    health.warming_since = health.persisted_warming_since = record.warming_since;
    rate.retry_after_until = std::max(rate.retry_after_until, record.retry_after_until);
    if (record.ejected) {
      health.consecutive_failures = std::max(health.consecutive_failures, 1);
    }
  }

  // Whether the backoff of the message is over and its order key allows it to be sent.
  bool isDue(const Message& message) const {
    if (message.not_before > context.now) {
      return false;
    }
    if (message.order_key.empty()) {
      return true;
    }
    const OrderQueue& order_queue = order_queues.at(message.order_key);
    return order_queue.messages.front() == &message &&
           (!message.attempts.empty() || context.now >= order_queue.paused_until);
  }

  // Whether the endpoint may be used for the message now, apart from pacing.
  bool isEligible(Endpoint& endpoint, const Message& message) const {
    if (!endpoint.isReady() || !retry_policy.maySend(message, endpoint)) {
      return false;
    }
    // Before a shutdown only calls are started whose outcome will arrive in time. It is expected within
    // `answer_time_ratio` baseline latencies.
    const double answer_time_ratio = kOverdueRatio * kNonIdempotentTimeoutFactor * detector.common_slowdown;
    const bool outcome_arrives_in_time =
        shutdown_at - context.now >= answer_time_ratio * detector.baselineLatency(endpoint);
    if (shutdown_at != kNever && (detector.isOutlier(endpoint) || !outcome_arrives_in_time)) {
      return false;
    }
    // A non-idempotent message does not probe a failing endpoint until half of its deadline has passed.
    const HealthStats& governing_health = endpoint.governingScope().health;
    const HealthStats& own_health = endpoint.own_scope.health;
    const bool outcomes_often_unknown = std::max(governing_health.unknown_outcome_share,
                                                 own_health.unknown_outcome_share) > kMaxUnknownOutcomeShare;
    return message.message_class->idempotency != Idempotency::non_idempotent || !outcomes_often_unknown ||
           context.now - message.submitted_at >= message.message_class->deadline / 2;
  }

  // Returns the rank of an endpoint. A zone that is not in the settings, or has no cost there, costs 0.
  EndpointRank rank(Endpoint& endpoint) const {
    const std::vector<std::string>& zones = context.settings.zones;
    const auto zone = std::find(zones.begin(), zones.end(), endpoint.info.zone);
    const auto index = static_cast<std::size_t>(zone - zones.begin());
    const bool has_cost = endpoint.hasOwnRoute() && index < context.settings.zone_cost.size();
    return {detector.isOutlier(endpoint), has_cost ? context.settings.zone_cost[index] : 0,
            endpoint.calls_in_flight, endpoint.idle_connections.empty(), endpoint.last_used_at};
  }

  // Returns the best endpoint to which the message may be sent now; null if there is none.
  Endpoint* chooseEndpoint(const Message& message) const {
    Endpoint* best = nullptr;
    for (Endpoint* endpoint : message.destination->endpoints) {
      if (limiter.nextCallAt(*endpoint, &message) > context.now || !isEligible(*endpoint, message)) {
        continue;
      }
      if (!best || rank(*endpoint) < rank(*best)) {
        best = endpoint;
      }
    }
    return best;
  }

  // Returns the queued message of the destination that may be sent now and loses most of its value by waiting
  // until the backlog has drained; null if there is none. Also asks for wake-ups when other messages may be
  // sent.
  Message* chooseMessage(const Destination& destination) {
    for (Endpoint* endpoint : destination.endpoints) {
      if (endpoint->isReady()) {
        context.wakeAt(limiter.nextCallAt(*endpoint, nullptr));
      }
    }
    Message* best = nullptr;
    double best_loss = -1;  // less than any loss
    const Micros drained_at = context.now + limiter.drainTime(destination);
    for (Message* message : destination.queued_messages) {
      context.wakeAt(message->not_before);
      if (!isDue(*message)) {
        continue;
      }
      const double value = admission.valueAt(*message, context.now);
      const double loss = value - admission.valueAt(*message, drained_at) + kPresentValueWeight * value;
      // Messages that are untried since a restart go first, then those with the greater loss.
      const bool best_is_untried = best && best->isUntriedAfterRestart();
      if (message->isUntriedAfterRestart() == best_is_untried ? loss <= best_loss : best_is_untried) {
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

  // Sends a queued message to an endpoint: in the call of this round that still has room, else in a new one.
  void send(Message& message, Endpoint& endpoint, bool in_global_phase) {
    fair_queue.removeForSending(message, in_global_phase);
    Micros connection_idle_time = kNoIdleTime;
    if (endpoint.batch_capacity_left > 0) {
      --endpoint.batch_capacity_left;
    } else {
      connection_idle_time = connection_reuse.takeConnection(endpoint);
      endpoint.batch_call_number = ++calls.last_call_number;
      endpoint.batch_capacity_left = endpoint.kind->messages_per_call - 1;
      limiter.chargeCall(endpoint);
    }
    endpoint.last_used_at = context.now;
    calls.add(message,
              {&endpoint, context.now, endpoint.batch_call_number, 0, true, true, connection_idle_time});
    context.actions.emplace_back(
        SendAttempt{message.id, endpoint.info.id, retry_policy.attemptTimeout(message, endpoint)});
  }

  // Adds further messages to a call that was just started, the oldest first.
  void fillCall(const Destination& destination, Endpoint& endpoint) {
    while (endpoint.batch_capacity_left > 0) {
      Message* oldest = nullptr;
      for (Message* message : destination.queued_messages) {
        if (isDue(*message) && isEligible(endpoint, *message) &&
            (!oldest || message->sequence_number < oldest->sequence_number)) {
          oldest = message;
        }
      }
      if (!oldest) {
        return;
      }
      send(*oldest, endpoint, destination.tags.front().local > context.now);
    }
  }

  // Starts one call for the first destination in the fair queue that can send. Returns whether there was one.
  bool dispatchNext() {
    for (const auto& [position, destination] : fair_queue.candidates()) {
      Message* message = chooseMessage(*destination);
      Endpoint* endpoint = message ? chooseEndpoint(*message) : nullptr;
      if (endpoint && (!detector.isOutlier(*endpoint) || bulkhead.hasRoom())) {
        send(*message, *endpoint, position.in_global_phase);
        fillCall(*destination, *endpoint);
        return true;
      }
      // The destination stays blocked for this round, as a call to another destination does not unblock it.
      destination->blocked_at = context.now;
    }
    return false;
  }

  // Starts calls until all slots are used or nothing more can be sent.
  void dispatch() {
    for (const auto& [id, destination] : fair_queue.backlog) {
      destination->blocked_at = kLongAgo;
      for (Endpoint* endpoint : destination->endpoints) {
        endpoint->batch_capacity_left = 0;
      }
    }
    while (may_start_attempts && !calls.allSlotsUsed()) {
      if (!dispatchNext()) {
        return;
      }
    }
  }

  // Ends a message without an answer. It is not sent again.
  void endMessage(Message& message) {
    if (message.ended) {
      return;
    }
    if (message.queued) {
      fair_queue.withdraw(message);
    }
    message.ended = true;
    --open_messages;
    expiries.erase({message.expires_at, message.id});
  }

  // Erases a message that has ended, unless attempts are in flight: their outcomes are still recorded.
  void eraseIfSettled(const Message& message) {
    if (!message.ended || message.attempts_in_flight > 0) {
      return;
    }
    if (!message.order_key.empty()) {
      auto& [waiting_messages, paused_until] = order_queues[message.order_key];
      waiting_messages.erase(std::find(waiting_messages.begin(), waiting_messages.end(), &message));
      if (waiting_messages.empty() && context.now >= paused_until) {
        order_queues.erase(message.order_key);
      }
    }
    messages.erase(messages.find(message.id));
  }

  // Ends a message that was not delivered and gives its final answer. It is rejected if `reject` is set and
  // submitting it again does no harm, else it fails. A message that has ended before gets no second answer.
  void answerUndelivered(Message& message, bool reject) {
    if (!message.ended && reject && RetryPolicy::mayReject(message)) {
      const Micros retry_after_left = message.destination->shared_scope.rate.retry_after_until - context.now;
      const Micros can_send_in = std::max(limiter.drainTime(*message.destination), retry_after_left);
      const Micros pause = std::min(context.settings.max_retry_after, can_send_in);
      context.actions.emplace_back(Reject{message.id, context.settings.retry_after_supported ? pause : 0});
    } else if (!message.ended) {
      context.actions.emplace_back(Fail{message.id});
    }
    endMessage(message);
    eraseIfSettled(message);
  }

  // Creates and queues a message. Returns null if its class is unknown, which is answered at once, or if the
  // message is known already.
  Message* addMessage(const Arrival& arrival) {
    const MessageClass* message_class = nullptr;
    for (const MessageClass& candidate : context.settings.classes) {
      if (candidate.name == arrival.message_class) {
        message_class = &candidate;
      }
    }
    if (!message_class) {
      context.actions.emplace_back(Fail{arrival.id});
    }
    if (!message_class || findOrNull(messages, arrival.id)) {
      return nullptr;
    }
    Message& message = messages[arrival.id];
    message.id = arrival.id;
    message.message_class = message_class;
    admission.assignTenant(message, arrival.tenant);
    message.destination = &directory.destination(arrival.destination);
    context.addEvent(message.destination->arrival_rate);
    message.arrived_at = context.now;
    message.submitted_at = std::min(context.now, arrival.deadline.remaining(message_class->deadline));
    const auto extension = static_cast<Micros>(message_class->work_estimate_factor * arrival.work_estimate);
    message.latency_objective =
        std::min(message_class->deadline, message_class->latency_objective + extension);
    message.expires_at = arrival.deadline.remaining(kTicksBeforeDeadline * context.settings.tick);
    message.sequence_number = ++last_sequence_number;
    if (message_class->ordered) {
      message.order_key = arrival.order_key;
    }
    if (!message.order_key.empty()) {
      order_queues[message.order_key].messages.push_back(&message);
    }
    ++open_messages;
    expiries.insert({message.expires_at, message.id});
    fair_queue.push(message, context.now);
    return &message;
  }

  // Adds a new message. It is answered at once beyond max_messages, or if it can't be sent before it expires.
  void apply(const Arrival& arrival) {
    Message* message = addMessage(arrival);
    const bool is_full = open_messages > context.settings.max_messages;
    if (message && (is_full || !retry_policy.hasAttemptLeft(*message))) {
      answerUndelivered(*message, true);
    }
  }

  // Adds a message that an earlier process accepted. Its earlier attempts count. A message without one is
  // attempted even beyond max_messages, as it was accepted.
  void apply(const RecoveredMessage& recovered) {
    Message* message = addMessage(recovered.message);
    if (!message) {
      return;
    }
    message->accepted_before_restart = recovered.after_restart;
    admission.last_accepted_sequence_number = message->sequence_number;
    for (const RecoveredAttempt& earlier : recovered.attempts) {
      Endpoint* endpoint = findOrNull(directory.endpoints, earlier.endpoint);
      const bool is_in_flight = earlier.in_flight && endpoint;
      calls.add(*message,
                {endpoint, earlier.sent_at, ++calls.last_call_number, 0, is_in_flight, earlier.may_have_run});
    }
    if (message->attempts_in_flight > 0) {
      fair_queue.withdraw(*message);
    } else if (!retry_policy.hasAttemptLeft(*message)) {
      answerUndelivered(*message, context.now < message->expires_at);
    }
  }

  // Ends a message without an answer, as its client no longer waits.
  void apply(const Abandoned& abandoned) {
    Message* message = findOrNull(messages, abandoned.id);
    if (!message) {
      return;
    }
    endMessage(*message);
    eraseIfSettled(*message);
  }

  // Records an outcome, and ends its message or queues it again. An outcome of an unknown message or of an
  // attempt that is not in flight is ignored.
  void apply(const AttemptOutcome& outcome) {
    const auto index = static_cast<std::size_t>(outcome.attempt);
    const AttemptResult result = outcome.result;
    Message* message = findOrNull(messages, outcome.id);
    if (!message || index >= message->attempts.size() || !message->attempts[index].in_flight) {
      return;
    }
    Attempt& attempt = message->attempts[index];
    Endpoint& endpoint = *attempt.endpoint;
    RateLimit& rate = endpoint.governingScope().rate;
    if (outcome.still_in_flight) {
      rate.retry_after_until = std::max(rate.retry_after_until, context.now + outcome.retry_after);
      return;
    }
    calls.remove(*message, attempt);
    message->unstarted_attempts += outcome.never_started ? 1 : 0;
    // Overdue calls are counted anew in each round.
    OutlierDetector::clearOverdueCalls(endpoint);
    connection_reuse.recordOutcome(attempt, result);
    attempt.may_have_run = result != AttemptResult::throttled && result != AttemptResult::connect_failed &&
                           result != AttemptResult::not_sent;
    if (outcome.load_report && outcome.load_report->limit_per_second > 0) {
      RateLimiter::recordAdvertisedLimit(rate, outcome.load_report->limit_per_second);
    }
    const Micros elapsed =
        outcome.round_trip_time > 0 ? outcome.round_trip_time : context.now - attempt.sent_at;
    recordOutcome(endpoint, result, elapsed, outcome.retry_after);
    const bool may_still_run =
        attempt.may_have_run && result != AttemptResult::ok && result != AttemptResult::error;
    // The order key pauses: its next message waits.
    if (may_still_run && !message->order_key.empty()) {
      Micros& paused_until = order_queues[message->order_key].paused_until;
      paused_until = std::max(paused_until, context.now + context.settings.ordering_pause);
      context.next_wakeup = std::min(context.next_wakeup, paused_until);
    }
    // A Retry-After may outlast queued messages: these are answered at once. An answer removes its message
    // from the queue, so the loop runs from the end.
    std::vector<Message*>& queued_messages = endpoint.destination->queued_messages;
    for (std::size_t i = outcome.retry_after > 0 ? queued_messages.size() : 0; i-- > 0;) {
      if (!retry_policy.hasAttemptLeft(*queued_messages[i])) {
        answerUndelivered(*queued_messages[i], true);
      }
    }
    if (outcome.finished || result == AttemptResult::ok) {
      endMessage(*message);
    }
    const bool is_pending = message->queued || message->attempts_in_flight > 0;
    const bool has_expired = context.now >= message->expires_at;
    if (message->ended) {
      eraseIfSettled(*message);
    } else if (!is_pending && (has_expired || !retry_policy.hasAttemptLeft(*message))) {
      answerUndelivered(*message, !has_expired);
    } else if (!is_pending) {
      fair_queue.push(*message, retry_policy.nextAttemptAt(*message, endpoint));
    }
  }

  void apply(const EndpointsChanged& change) { directory.update(change); }
  void apply(const JournalAvailability& journal) { may_start_attempts = journal.is_writable; }
  void apply(const ShutdownScheduled& shutdown) { shutdown_at = shutdown.at; }
  // A timer only causes a round.
  void apply(const TimerFired&) {}

  // Sets a timer for the next wake-up, a tick from now at the earliest, unless an earlier timer covers it.
  void setTimer() {
    if (!expiries.empty()) {
      context.wakeAt(expiries.begin()->at);
    }
    const Micros wake_at =
        std::max(context.next_wakeup, context.now + std::max<Micros>(1, context.settings.tick));
    if (context.next_wakeup == kNever || (timer_at > context.now && timer_at <= wake_at)) {
      return;
    }
    timer_at = wake_at;
    context.actions.emplace_back(SetTimer{timer_at - context.now});
  }
};

DeliveryScheduler::DeliveryScheduler(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
DeliveryScheduler::~DeliveryScheduler() = default;

std::vector<Action> DeliveryScheduler::decide(Micros now, const std::vector<Event>& events) {
  Impl& impl = *impl_;
  impl.context.now = now;
  impl.context.actions.clear();
  impl.context.next_wakeup = kNever;
  impl.admission.last_accepted_sequence_number = impl.last_sequence_number;
  for (const Event& event : events) {
    std::visit([&](const auto& typed_event) { impl.apply(typed_event); }, event);
  }
  impl.detector.measureCommonSlowdown();
  impl.detector.countOverdueCalls(impl.calls);
  while (!impl.expiries.empty() && impl.expiries.begin()->at <= now) {
    impl.answerUndelivered(impl.messages.at(impl.expiries.begin()->id), false);
  }
  impl.directory.poll();
  impl.dispatch();
  impl.bulkhead.cancelExcessCalls();
  for (Message* message : impl.admission.selectToShed(impl.open_messages, impl.calls.allSlotsUsed())) {
    impl.answerUndelivered(*message, true);
  }
  impl.setTimer();
  return std::move(impl.context.actions);
}

}  // namespace delivery
