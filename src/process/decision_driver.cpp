#include "process/decision_driver.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

#include "common/log.h"
#include "common/memory.h"
#include "protocol/delivery_request.h"

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

// True if an attempt with this result was certainly not processed by the endpoint.
bool neverRan(AttemptResult result) {
  return result == AttemptResult::throttled || result == AttemptResult::connect_failed ||
         result == AttemptResult::not_sent;
}

// The version of a stored or configured endpoint list; EndpointList::kNoIndex if it names none.
std::int64_t endpointListIndexOf(const json& list) {
  return readNumber(list, "index", EndpointList::kNoIndex);
}

// The endpoint list from the journal or the configuration; null if there is none or it can't be read.
json parseStoredList(const std::string& list) {
  if (list.empty()) {
    return {};
  }
  try {
    return parseJson(list);
  } catch (const InvalidInput& error) {
    logWarning("journal", "unreadable_endpoint_list").field("error", error.what());
    return {};
  }
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

// After a failed write, the journal is written again at this interval. Short beside the time by which a
// notice may be late.
constexpr Micros kFlushRetryInterval = 50'000;

void logOptionalRecords(bool lacking) {
  if (lacking) {
    logWarning("journal", "endpoint_list_not_stored").field("reason", "open messages need the disk space");
  } else {
    logInfo("journal", "endpoint_list_stored");
  }
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
                               CancelInOtherProcess cancel_in_other_process)
    : io_(io),
      settings_(settings),
      scheduler_(std::move(settings), seed),
      journal_(journal),
      endpoints_(endpoints),
      notifier_(notifier),
      cancel_in_other_process_(std::move(cancel_in_other_process)),
      round_timer_(io),
      wakeup_timer_(io),
      flush_retry_timer_(io) {}

// ---- Recovery

void DecisionDriver::recover(const std::string& configured_endpoints, const std::set<CallId>& calls_in_flight,
                             Micros started_at, bool after_handover) {
  const Journal::Recovered& recovered = journal_.recovered();
  recoverEndpointList(configured_endpoints, recovered.endpoint_list);
  recoverHealth(recovered.health_records, after_handover);
  for (const JournaledMessage& entry : recovered.messages) {
    if (entry.notice_pending) {
      notifier_.enqueue(entry.message.id, entry.notice);
    } else if (!isDeliverable(entry.message)) {
      abandonUndeliverable(entry.message);
    } else {
      recoverMessage(entry, calls_in_flight, after_handover);
    }
  }
  logRecovery(recovered, pending_messages_.size(), notifier_.pendingCount(),
              (monotonicNow() - started_at) / 1000);
  journal_.discardRecovered();
  returnFreeMemory();
}

// Uses the newer of the two lists, so that a drain that was announced before a restart stays in force.
void DecisionDriver::recoverEndpointList(const std::string& configured_list,
                                         const std::string& journaled_list) {
  json list = parseStoredList(journaled_list);
  if (!configured_list.empty()) {
    json configured = parseStoredList(configured_list);
    const bool journaled_is_newer =
        list.is_object() &&
        (!configured.is_object() || endpointListIndexOf(list) >= endpointListIndexOf(configured));
    if (!journaled_is_newer) {
      list = std::move(configured);
    }
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

// Ends a message that HTTP can't carry. No attempt of it can have run.
void DecisionDriver::abandonUndeliverable(const SubmittedMessage& message) {
  logWarning("journal", "undeliverable_message")
      .field("id_bytes", message.id.size())
      .field("idempotency_key_bytes", message.idempotency_key.size());
  const CompletionNotice notice;
  journal_.recordNoticePending(message.id, notice);
  notifier_.enqueue(message.id, notice);
}

// Tells the decision module about an endpoint that has left the list and still has a call in flight: the
// outcome and the Retry-After of that call still count.
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
    journal_.recordEndpointList(endpoint_list_.toText());
    // Attempts are started in decision rounds only, so none starts before the module has seen the update.
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

// An endpoint that a full list does not name has been removed.
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
  journal_.reserveEndpointNames(endpoint.id.size());
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
  const bool fits_into_journal = journal_is_writable_ && journal_.reserve(message);
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

// The reply to a message that the decision module need not see; empty if it has to decide.
std::optional<SubmitReply> DecisionDriver::replyWithoutDecision(const SubmittedMessage& message) const {
  const auto submitted_before = pending_messages_.find(message.id);
  if (submitted_before != pending_messages_.end()) {
    const bool unanswered = static_cast<bool>(submitted_before->second.reply);
    return SubmitReply{unanswered ? SubmitStatus::duplicate : SubmitStatus::accepted};
  }
  if (const std::optional<MessageEnd> end = journal_.endOf(message.id)) {
    return replyAfter(*end);
  }
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
  return std::nullopt;
}

// The reply to a copy of a message that has ended. It is not sent again, and agrees with what the platform
// was told of its end.
SubmitReply DecisionDriver::replyAfter(MessageEnd end) const {
  switch (end) {
    case MessageEnd::delivered:
      return {SubmitStatus::accepted};
    case MessageEnd::failed:
      return {SubmitStatus::failed};
    case MessageEnd::rejected:
      break;
  }
  return {SubmitStatus::busy, settings_.max_retry_after};
}

void DecisionDriver::onOutcome(AttemptOutcome outcome) {
  const auto found = pending_messages_.find(outcome.id);
  if (found != pending_messages_.end()) {
    const PendingMessage& pending = found->second;
    // Another process may have received the Retry-After. It also applies to the calls of this process whose
    // requests are not written yet.
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

// The record is written in the next round. If the process restarts before that, the notice is sent a second
// time, which is harmless.
void DecisionDriver::onNoticeAcknowledged(const std::string& message_id) {
  journal_.recordCompleted(message_id);
}

void DecisionDriver::scheduleShutdown(Micros at) {
  addEvent(ShutdownScheduled{at});
}

// ---- Decision rounds

// The next round runs as soon as the event loop gets to it, but not before Settings::tick has passed since
// the last one.
void DecisionDriver::scheduleRound() {
  round_scheduled_ = true;
  const auto run_if_still_scheduled = [this] {
    if (round_scheduled_ && !stepped_down_) {
      runRound();
    }
  };
  const Micros delay = last_round_at_ + settings_.tick - monotonicNow();
  if (delay <= 0) {
    asio::post(io_, run_if_still_scheduled);
    return;
  }
  round_timer_.expires_after(std::chrono::microseconds(delay));
  round_timer_.async_wait([run_if_still_scheduled](const boost::system::error_code& cancelled) {
    if (!cancelled) {
      run_if_still_scheduled();
    }
  });
}

void DecisionDriver::runRound() {
  round_scheduled_ = false;
  round_timer_.cancel();
  last_round_at_ = std::max(last_round_at_ + 1, monotonicNow());
  std::vector<Event> events;
  events.swap(events_);
  executeActions(scheduler_.decide(last_round_at_, events));
}

void DecisionDriver::stepDown() {
  if (!events_.empty()) {
    runRound();
  }
  journal_.close();
  stepped_down_ = true;
  wakeup_times_.clear();
  round_timer_.cancel();
  wakeup_timer_.cancel();
  flush_retry_timer_.cancel();
}

// ---- Actions

// Rejected messages that the client still waits for need no record, so messages are ended first. Everything
// else is persisted before it is acknowledged or sent.
void DecisionDriver::executeActions(const std::vector<Action>& actions) {
  endMessagesAndRecordHealth(actions);
  recordAcceptedMessages();
  const AttemptNumbers attempt_numbers = recordAttempts(actions);
  const bool persisted = flushJournal();
  acknowledgeAcceptedMessages(persisted);
  executeNetworkAndTimerActions(actions, attempt_numbers, persisted);
  armWakeupTimer();
}

// Writes the buffered records and sends the notices that they allow. After a failure, tries again until it
// succeeds. Returns whether the records were written.
bool DecisionDriver::flushJournal() {
  const bool flushed = journal_.flush();
  if (!flushed && journal_is_writable_) {
    logFlushFailure(journal_);
  } else if (flushed && !journal_is_writable_) {
    logInfo("journal", "writable_again");
  }
  if (flushed != journal_is_writable_) {
    addEvent(JournalAvailability{flushed});
  }
  journal_is_writable_ = flushed;
  if (journal_.lacksOptionalRecords() != lacks_optional_records_) {
    lacks_optional_records_ = journal_.lacksOptionalRecords();
    logOptionalRecords(lacks_optional_records_);
  }
  sendNotices(flushed);
  if (!flushed) {
    retryFlushLater();
  }
  return flushed;
}

void DecisionDriver::sendNotices(bool recorded) {
  const Micros now = monotonicNow();
  for (const auto& entry : unrecorded_notices_.takeSendable(recorded, now, kFlushRetryInterval)) {
    notifier_.enqueue(entry.message_id, entry.notice);
  }
}

void DecisionDriver::retryFlushLater() {
  flush_retry_timer_.expires_after(std::chrono::microseconds(kFlushRetryInterval));
  flush_retry_timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled && !stepped_down_) {
      flushJournal();
    }
  });
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

// Ends a message without delivery. A client that still waits for its answer receives `reply`. If the message
// was accepted in an earlier round, the platform receives `notice` instead, once that is recorded.
void DecisionDriver::endMessage(const std::string& id, const SubmitReply& reply,
                                const CompletionNotice& notice) {
  const auto found = pending_messages_.find(id);
  if (found == pending_messages_.end()) {
    return;
  }
  const ClientServer::ReplyCallback send_reply = std::move(found->second.reply);
  const Deadline deadline = found->second.message.deadline;
  pending_messages_.erase(found);
  if (send_reply) {
    new_message_ids_.erase(id);
    send_reply(reply);
    return;
  }
  journal_.recordNoticePending(id, notice);
  unrecorded_notices_.add(id, notice, deadline);
}

void DecisionDriver::recordAcceptedMessages() {
  for (const std::string& id : new_message_ids_) {
    journal_.recordAccepted(pending_messages_.at(id).message);
  }
}

DecisionDriver::AttemptNumbers DecisionDriver::recordAttempts(const std::vector<Action>& actions) {
  AttemptNumbers attempt_numbers;
  for (const Action& action : actions) {
    const auto* send = std::get_if<SendAttempt>(&action);
    if (send == nullptr) {
      continue;
    }
    const auto found = pending_messages_.find(send->id);
    if (found == pending_messages_.end()) {
      continue;
    }
    journal_.recordAttempt(send->id, {send->endpoint, monotonicNow(), false});
    std::vector<std::string>& endpoints = found->second.attempt_endpoints;
    attempt_numbers.emplace(send, static_cast<int>(endpoints.size()));
    endpoints.push_back(send->endpoint);
  }
  return attempt_numbers;
}

// Answers the clients of the messages that were accepted in this round. Messages that could not be persisted
// are rejected, as they would be lost in a restart.
void DecisionDriver::acknowledgeAcceptedMessages(bool persisted) {
  for (const std::string& id : new_message_ids_) {
    const ClientServer::ReplyCallback send_reply = std::exchange(pending_messages_.at(id).reply, nullptr);
    if (persisted) {
      send_reply({SubmitStatus::accepted});
      continue;
    }
    journal_.recordNoticePending(id, {true, 0});  // it is remembered as rejected
    journal_.recordCompleted(id);
    pending_messages_.erase(id);
    addEvent(Abandoned{id});
    send_reply({SubmitStatus::busy, settings_.max_retry_after});
  }
  new_message_ids_.clear();
}

void DecisionDriver::executeNetworkAndTimerActions(const std::vector<Action>& actions,
                                                   const AttemptNumbers& attempt_numbers, bool persisted) {
  for (const Action& action : actions) {
    if (const auto* send = std::get_if<SendAttempt>(&action)) {
      const auto recorded = attempt_numbers.find(send);
      if (recorded != attempt_numbers.end()) {
        startAttempt(*send, recorded->second, persisted);
      }
    } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
      cancelAttempt(*cancel);
    } else if (const auto* close = std::get_if<CloseIdleConnections>(&action)) {
      endpoints_.closeIdle(close->endpoint);
    } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
      wakeup_times_.insert(last_round_at_ + timer->delay);
    }
  }
}

// An attempt that could not be persisted is not started, and does not count.
void DecisionDriver::startAttempt(const SendAttempt& send, int attempt, bool persisted) {
  if (persisted) {
    const SubmittedMessage& message = pending_messages_.at(send.id).message;
    const Deadline call_deadline = std::min(Deadline::after(monotonicNow(), send.timeout), message.deadline);
    endpoints_.startCall(message, attempt, send.endpoint, call_deadline);
    return;
  }
  AttemptOutcome outcome;
  outcome.id = send.id;
  outcome.attempt = attempt;
  outcome.result = AttemptResult::not_sent;
  outcome.never_started = true;
  onOutcome(std::move(outcome));
}

void DecisionDriver::cancelAttempt(const CancelAttempt& cancel) {
  const CallId call{cancel.id, cancel.attempt};
  const bool in_flight_here = endpoints_.cancel(call);
  if (!in_flight_here) {
    cancel_in_other_process_(call);
  }
}

// ---- Timers of the decision module

// Waits for the earliest requested time.
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
  const bool any_due = first_later != wakeup_times_.begin();
  wakeup_times_.erase(wakeup_times_.begin(), first_later);
  if (any_due) {
    addEvent(TimerFired{});
  }
  armWakeupTimer();
}

}  // namespace delivery
