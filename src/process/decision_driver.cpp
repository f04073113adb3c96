#include "process/decision_driver.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

#include "common/log.h"

namespace delivery {

namespace asio = boost::asio;

namespace {

Arrival toArrival(const SubmittedMessage& message) {
  Arrival arrival;
  arrival.id = message.id;
  arrival.message_class = message.message_class;
  arrival.tenant = message.tenant;
  arrival.order_key = message.order_key;
  arrival.destination = message.destination;
  arrival.deadline = message.deadline;
  arrival.is_retry = message.is_retry;
  return arrival;
}

// After these results the endpoint is known not to have processed the message.
bool neverRan(AttemptResult result) {
  return result == AttemptResult::throttled || result == AttemptResult::connect_failed ||
         result == AttemptResult::not_sent;
}

std::int64_t listIndex(const json& list) {
  return readNumber(list, "index", -1);
}

void logRecovery(const Journal::Recovered& recovered, std::size_t messages, std::size_t pending_notices,
                 Micros duration_ms) {
  LogLine line = recovered.damaged ? logWarning("journal", "recovered") : logInfo("journal", "recovered");
  line.field("messages", messages).field("pending_notices", pending_notices);
  for (const RecoveryReport::Field& field : recovered.report.fields()) {
    line.field(field.name, field.value);
  }
  line.field("duration_ms", duration_ms);
}

void logFlushFailure(const Journal& journal) {
  LogLine line = logError("journal", "write_failed");
  const std::optional<JournalError>& error = journal.flushError();
  if (!error) {
    line.field("reason", "disk budget used up");
    return;
  }
  line.field("operation", toString(error->operation())).field("path", error->path());
  line.field("reason", error->code().message());
}

}  // namespace

DecisionDriver::DecisionDriver(asio::io_context& io, Settings settings, std::uint64_t seed, Journal& journal,
                               EndpointPool& endpoints, CompletionNotifier& notifier,
                               CancelElsewhere cancel_elsewhere)
    : io_(io),
      settings_(settings),
      scheduler_(std::move(settings), seed),
      journal_(journal),
      endpoints_(endpoints),
      notifier_(notifier),
      cancel_elsewhere_(std::move(cancel_elsewhere)),
      turn_timer_(io),
      wakeup_timer_(io) {}

// ---- Recovery

void DecisionDriver::recover(const json& configured_endpoints, const std::set<CallId>& calls_in_flight,
                             Micros started_at, bool after_handover) {
  const Journal::Recovered& recovered = journal_.recovered();
  recoverEndpointList(configured_endpoints, recovered.endpoint_list);
  recoverHealth(recovered.health_records, after_handover);
  for (const JournaledMessage& entry : recovered.messages) {
    if (entry.notice_pending) {
      notifier_.enqueue(entry.message.id, entry.notice);
    } else {
      recoverMessage(entry, calls_in_flight, after_handover);
    }
  }
  logRecovery(recovered, pending_messages_.size(), notifier_.pendingCount(),
              (monotonicNow() - started_at) / 1000);
  journal_.discardRecovered();
}

// The newer of the two lists counts, so that a drain that was announced before a restart is not forgotten.
void DecisionDriver::recoverEndpointList(const json& configured_endpoints,
                                         const std::string& journaled_list) {
  json list = configured_endpoints;
  const json journaled = json::parse(journaled_list, nullptr, false);
  if (journaled.is_object() && (!list.is_object() || listIndex(journaled) >= listIndex(list))) {
    list = journaled;
  }
  if (!list.is_object() || list.empty()) {
    return;
  }
  EndpointListUpdate update = endpoint_list_.apply(list);
  update.kind = EndpointUpdateKind::cached;
  applyEndpointUpdate(update);
}

void DecisionDriver::recoverHealth(const std::vector<HealthRecord>& records, bool after_handover) {
  for (HealthRecord record : records) {
    if (!after_handover) {
      record.retry_after_until = 0;
    }
    addEvent(std::move(record));
  }
}

void DecisionDriver::recoverMessage(const JournaledMessage& entry, const std::set<CallId>& calls_in_flight,
                                    bool after_handover) {
  PendingMessage& pending = pending_messages_[entry.message.id];
  pending.message = entry.message;
  RecoveredMessage recovered;
  recovered.after_restart = !after_handover;
  recovered.message = toArrival(entry.message);
  recovered.message.is_retry = true;
  for (const JournaledAttempt& attempt : entry.attempts) {
    const CallId call{entry.message.id, static_cast<int>(recovered.attempts.size())};
    const bool in_flight = !attempt.never_ran && calls_in_flight.count(call) > 0;
    if (in_flight && !endpoint_list_.contains(attempt.endpoint)) {
      addUnlistedEndpoint(attempt.endpoint, entry.message.destination);
    }
    pending.attempt_endpoints.push_back(attempt.endpoint);
    recovered.attempts.push_back({attempt.endpoint, attempt.sent_at, !attempt.never_ran, in_flight});
  }
  addEvent(std::move(recovered));
}

// The endpoint has left the list, but the outcome of a call to it still counts, and so does its Retry-After.
void DecisionDriver::addUnlistedEndpoint(const std::string& endpoint, std::int64_t destination) {
  EndpointInfo removed;
  removed.id = endpoint;
  removed.destination = destination;
  removed.state = EndpointState::removed;
  addEvent(EndpointsChanged{EndpointUpdateKind::delta, {removed}});
}

// ---- Endpoint list

std::int64_t DecisionDriver::onEndpointList(const json& answer) {
  const EndpointListUpdate update = endpoint_list_.apply(answer);
  if (!update.endpoints.empty() || update.kind != EndpointUpdateKind::delta) {
    journal_.recordEndpointList(endpoint_list_.toJson().dump());
    // Attempts are started in turns only, so none starts before the module has seen the update.
    applyEndpointUpdate(update);
  }
  return endpoint_list_.index();
}

void DecisionDriver::applyEndpointUpdate(const EndpointListUpdate& update) {
  if (update.kind != EndpointUpdateKind::delta) {
    withdrawUnlistedEndpoints();
  }
  EndpointsChanged changed;
  changed.kind = update.kind;
  for (const ListedEndpoint& listed : update.endpoints) {
    changed.endpoints.push_back(listed.endpoint);
    updateEndpoint(listed);
  }
  addEvent(std::move(changed));
}

// What a full list does not name has been removed.
void DecisionDriver::withdrawUnlistedEndpoints() {
  for (const std::string& endpoint : endpoints_.knownEndpoints()) {
    if (endpoint_list_.contains(endpoint)) {
      continue;
    }
    endpoints_.closeIdle(endpoint);
    endpoints_.onEndpointDraining(endpoint);
  }
}

void DecisionDriver::updateEndpoint(const ListedEndpoint& listed) {
  const EndpointInfo& endpoint = listed.endpoint;
  known_destinations_.insert(endpoint.destination);
  if (endpoint.state == EndpointState::removed) {
    endpoints_.closeIdle(endpoint.id);
  } else {
    endpoints_.setEndpoint(endpoint.id, listed.address, hasIndependentRoutes(endpoint.kind));
  }
  if (endpoint.state != EndpointState::ready) {
    endpoints_.onEndpointDraining(endpoint.id);
  }
}

bool DecisionDriver::hasIndependentRoutes(const std::string& destination_kind) const {
  return std::any_of(
      settings_.destination_kinds.begin(), settings_.destination_kinds.end(),
      [&](const DestinationKind& kind) { return kind.name == destination_kind && kind.independent_routes; });
}

// ---- Events

void DecisionDriver::submit(SubmittedMessage message, ClientServer::ReplyCallback reply) {
  if (const auto immediate_reply = replyWithoutDecision(message)) {
    reply(*immediate_reply);
    return;
  }
  const bool fits_into_journal = journal_.reserve(message);
  if (!fits_into_journal) {
    reply({SubmitStatus::busy, settings_.max_retry_after});
    return;
  }
  Arrival arrival = toArrival(message);
  PendingMessage& pending = pending_messages_[message.id];
  pending.message = std::move(message);
  pending.reply = std::move(reply);
  new_message_ids_.insert(arrival.id);
  addEvent(std::move(arrival));
}

std::optional<SubmitReply> DecisionDriver::replyWithoutDecision(const SubmittedMessage& message) const {
  const bool known_class =
      std::any_of(settings_.classes.begin(), settings_.classes.end(),
                  [&](const MessageClass& candidate) { return candidate.name == message.message_class; });
  if (!known_class) {
    return SubmitReply{SubmitStatus::unknown_class};
  }
  if (!hasEndpointList()) {
    return SubmitReply{SubmitStatus::busy, settings_.max_retry_after};
  }
  if (known_destinations_.count(message.destination) == 0) {
    return SubmitReply{SubmitStatus::unknown_destination};
  }
  const auto submitted_before = pending_messages_.find(message.id);
  if (submitted_before == pending_messages_.end()) {
    return std::nullopt;
  }
  const bool unanswered = static_cast<bool>(submitted_before->second.reply);
  return SubmitReply{unanswered ? SubmitStatus::duplicate : SubmitStatus::accepted};
}

void DecisionDriver::onOutcome(AttemptOutcome outcome) {
  const auto it = pending_messages_.find(outcome.id);
  if (it != pending_messages_.end()) {
    const PendingMessage& pending = it->second;
    // Another process may have received the Retry-After: calls of this process that are not written yet have
    // to respect it, too.
    if (outcome.retry_after > 0 && outcome.attempt < static_cast<int>(pending.attempt_endpoints.size())) {
      endpoints_.onRetryAfter(pending.attempt_endpoints[static_cast<std::size_t>(outcome.attempt)],
                              pending.message.destination);
    }
    if (!outcome.still_in_flight) {
      recordOutcome(outcome);
    }
  }
  addEvent(std::move(outcome));
}

void DecisionDriver::recordOutcome(const AttemptOutcome& outcome) {
  if (outcome.finished) {
    journal_.recordCompleted(outcome.id);
    pending_messages_.erase(outcome.id);
  } else if (neverRan(outcome.result)) {
    journal_.recordNeverRan(outcome.id, static_cast<std::size_t>(outcome.attempt));
  }
}

// The record is written with the next turn. A restart before that sends the notice a second time, which is
// harmless.
void DecisionDriver::onNoticeAcknowledged(const std::string& message_id) {
  journal_.recordCompleted(message_id);
}

void DecisionDriver::scheduleShutdown(Micros at) {
  addEvent(ShutdownScheduled{at});
}

// ---- Turns

// At once, or when the shortest gap between two turns (Settings::tick) has passed.
void DecisionDriver::scheduleTurn() {
  turn_scheduled_ = true;
  const auto run_if_still_due = [this] {
    if (turn_scheduled_ && !stepped_down_) {
      runTurn();
    }
  };
  const Micros delay = last_turn_ + settings_.tick - monotonicNow();
  if (delay <= 0) {
    asio::post(io_, run_if_still_due);
    return;
  }
  turn_timer_.expires_after(std::chrono::microseconds(delay));
  turn_timer_.async_wait([run_if_still_due](const boost::system::error_code& cancelled) {
    if (!cancelled) {
      run_if_still_due();
    }
  });
}

void DecisionDriver::runTurn() {
  turn_scheduled_ = false;
  turn_timer_.cancel();
  last_turn_ = std::max(last_turn_ + 1, monotonicNow());
  std::vector<Event> events;
  events.swap(events_);
  carryOut(scheduler_.decide(last_turn_, events));
}

void DecisionDriver::stepDown() {
  if (!events_.empty()) {
    runTurn();
  }
  journal_.close();
  stepped_down_ = true;
  wakeup_times_.clear();
  turn_timer_.cancel();
  wakeup_timer_.cancel();
}

// ---- Actions

// Rejected messages need no record, so they end first. All else is persisted before it is acknowledged or
// sent.
void DecisionDriver::carryOut(const std::vector<Action>& actions) {
  endMessagesAndRecordHealth(actions);
  recordAcceptedMessages();
  const AttemptNumbers attempts = recordAttempts(actions);
  const bool persisted = journal_.flush();
  if (!persisted) {
    logFlushFailure(journal_);
  }
  acknowledgeAcceptedMessages(persisted);
  useNetworkAndTimers(actions, attempts, persisted);
  armWakeupTimer();
}

void DecisionDriver::endMessagesAndRecordHealth(const std::vector<Action>& actions) {
  for (const Action& action : actions) {
    if (const auto* reject = std::get_if<Reject>(&action)) {
      endMessage(reject->id, {SubmitStatus::busy, reject->retry_after},
                 {true, roundUpToMs(reject->retry_after)});
    } else if (const auto* fail = std::get_if<Fail>(&action)) {
      endMessage(fail->id, {SubmitStatus::failed}, {false, 0});
    } else if (const auto* health = std::get_if<HealthRecord>(&action)) {
      journal_.recordHealth(*health);
    }
  }
}

// A client that still waits gets `reply`; if the message was accepted in an earlier turn, the platform gets
// `notice`.
void DecisionDriver::endMessage(const std::string& id, const SubmitReply& reply,
                                const CompletionNotice& notice) {
  const auto it = pending_messages_.find(id);
  if (it == pending_messages_.end()) {
    return;
  }
  const ClientServer::ReplyCallback send_reply = std::move(it->second.reply);
  pending_messages_.erase(it);
  if (send_reply) {
    new_message_ids_.erase(id);
    send_reply(reply);
    return;
  }
  journal_.recordNoticePending(id, notice);
  notifier_.enqueue(id, notice);
}

void DecisionDriver::recordAcceptedMessages() {
  for (const std::string& id : new_message_ids_) {
    journal_.recordAccepted(pending_messages_.at(id).message);
  }
}

DecisionDriver::AttemptNumbers DecisionDriver::recordAttempts(const std::vector<Action>& actions) {
  AttemptNumbers attempts;
  for (const Action& action : actions) {
    const auto* send = std::get_if<SendAttempt>(&action);
    if (send == nullptr) {
      continue;
    }
    const auto it = pending_messages_.find(send->id);
    if (it == pending_messages_.end()) {
      continue;
    }
    journal_.recordAttempt(send->id, {send->endpoint, monotonicNow(), false});
    std::vector<std::string>& endpoints = it->second.attempt_endpoints;
    attempts.emplace(send, static_cast<int>(endpoints.size()));
    endpoints.push_back(send->endpoint);
  }
  return attempts;
}

// A message that could not be persisted is rejected, as a restart would forget it.
void DecisionDriver::acknowledgeAcceptedMessages(bool persisted) {
  for (const std::string& id : new_message_ids_) {
    const ClientServer::ReplyCallback send_reply = std::exchange(pending_messages_.at(id).reply, nullptr);
    if (persisted) {
      send_reply({SubmitStatus::accepted});
      continue;
    }
    journal_.recordCompleted(id);
    pending_messages_.erase(id);
    addEvent(Abandoned{id});
    send_reply({SubmitStatus::busy, settings_.max_retry_after});
  }
  new_message_ids_.clear();
}

void DecisionDriver::useNetworkAndTimers(const std::vector<Action>& actions, const AttemptNumbers& attempts,
                                         bool persisted) {
  for (const Action& action : actions) {
    if (const auto* send = std::get_if<SendAttempt>(&action)) {
      const auto attempt = attempts.find(send);
      if (attempt != attempts.end()) {
        startAttempt(*send, attempt->second, persisted);
      }
    } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
      cancelAttempt(*cancel);
    } else if (const auto* close = std::get_if<CloseIdleConnections>(&action)) {
      endpoints_.closeIdle(close->endpoint);
    } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
      wakeup_times_.insert(last_turn_ + timer->delay);
    }
  }
}

void DecisionDriver::startAttempt(const SendAttempt& send, int attempt, bool persisted) {
  if (persisted) {
    const SubmittedMessage& message = pending_messages_.at(send.id).message;
    const Deadline until = std::min(Deadline::after(monotonicNow(), send.timeout), message.deadline);
    endpoints_.startCall(message, attempt, send.endpoint, until);
    return;
  }
  AttemptOutcome outcome;
  outcome.id = send.id;
  outcome.attempt = attempt;
  outcome.result = AttemptResult::not_sent;
  onOutcome(std::move(outcome));
}

void DecisionDriver::cancelAttempt(const CancelAttempt& cancel) {
  const CallId call{cancel.id, cancel.attempt};
  const bool in_flight_here = endpoints_.cancel(call);
  if (!in_flight_here) {
    cancel_elsewhere_(call);
  }
}

// ---- Timers of the module

void DecisionDriver::armWakeupTimer() {
  if (wakeup_times_.empty()) {
    return;
  }
  const Micros delay = std::max<Micros>(0, *wakeup_times_.begin() - monotonicNow());
  wakeup_timer_.expires_after(std::chrono::microseconds(delay));
  wakeup_timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled) {
      onWakeupTimer();
    }
  });
}

void DecisionDriver::onWakeupTimer() {
  const auto first_later = wakeup_times_.upper_bound(monotonicNow());
  const bool due = first_later != wakeup_times_.begin();
  wakeup_times_.erase(wakeup_times_.begin(), first_later);
  if (due) {
    addEvent(TimerFired{});
  }
  armWakeupTimer();
}

}  // namespace delivery
