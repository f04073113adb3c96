#include "network/endpoint_pool.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <stdexcept>
#include <utility>

#include "network/socket_address.h"
#include "protocol/delivery_request.h"
#include "protocol/delivery_response.h"

namespace delivery {

namespace asio = boost::asio;

namespace {

// Only the head of a response has a meaning (PROTOCOL, "Senders to endpoints").
constexpr HttpConnection::BodyLimits kBodyLimits{65536, BodyUse::discard};

// Whether the connection may be kept after a call. The decision module counts idle connections itself, and
// assumes that the connection is kept after these results.
bool leavesConnectionOpen(AttemptResult result) {
  return result == AttemptResult::ok || result == AttemptResult::error || result == AttemptResult::throttled;
}

Micros roundTripTime(Micros started_at) {
  return std::max<Micros>(1, monotonicNow() - started_at);
}

}  // namespace

EndpointPool::EndpointPool(asio::io_context& io, Limits limits, EndpointConnectionAccounting& accounting,
                           OnOutcome on_outcome, OnCallsWithdrawn on_calls_withdrawn)
    : io_(io),
      limits_(limits),
      accounting_(accounting),
      on_outcome_(std::move(on_outcome)),
      on_calls_withdrawn_(std::move(on_calls_withdrawn)),
      idle_(io, limits.idle_timeout, accounting) {}

void EndpointPool::setEndpoint(const std::string& endpoint, const std::string& address, bool has_own_route) {
  Endpoint& entry = endpoints_[endpoint];
  entry.has_own_route = has_own_route;
  if (entry.address == address) {
    return;
  }
  entry.address = address;
  closeIdle(endpoint);
}

std::vector<std::string> EndpointPool::knownEndpoints() const {
  std::vector<std::string> names;
  for (const auto& [name, endpoint] : endpoints_) {
    names.push_back(name);
  }
  return names;
}

void EndpointPool::startCall(const SubmittedMessage& message, int attempt, const std::string& endpoint,
                             Deadline deadline) {
  const CallId id{message.id, attempt};
  Call& call = calls_[id];
  call.endpoint = endpoint;
  call.message = message;
  call.started_at = monotonicNow();
  call.deadline = deadline;
  startOrQueue(id, call);
}

void EndpointPool::startOrQueue(const CallId& id, Call& call) {
  if (!tryStart(id, call)) {
    queueForConnection(id, call);
  }
}

// Uses an idle connection if there is one, and otherwise opens one if the endpoint and the budget have
// capacity for it. Returns false if no connection is available now. May end the call.
bool EndpointPool::tryStart(const CallId& id, Call& call) {
  const bool has_idle_connection = reuseIdleConnection(call);
  call.address = endpoints_[call.endpoint].address;
  if (!has_idle_connection) {
    if (!canOpenConnection(call.endpoint)) {
      return false;
    }
    if (!createConnection(call)) {
      postOutcome(id, AttemptResult::connect_failed, call.started_at);
      calls_.erase(id);
      return true;
    }
  }
  sendRequest(id, call);
  return true;
}

// Assigns an idle connection to the call. Returns false if there is none.
bool EndpointPool::reuseIdleConnection(Call& call) {
  call.connection = idle_.take(call.endpoint, call.deadline);
  if (!call.connection) {
    return false;
  }
  call.connection_state = ConnectionState::in_use;
  return true;
}

// Whether a connection may be opened. Closes an idle connection to another endpoint if that makes room.
bool EndpointPool::canOpenConnection(const std::string& endpoint) {
  if (const auto other = accounting_.evictionCandidateToOpen(endpoint)) {
    idle_.closeOldest(*other);
  }
  return accounting_.canOpen(endpoint);
}

// Returns false if the endpoint's address is malformed.
bool EndpointPool::createConnection(Call& call) {
  try {
    call.connection =
        std::make_unique<HttpConnection>(io_, parseAddress(call.address), call.address, kBodyLimits);
  } catch (const std::invalid_argument&) {
    return false;
  }
  accounting_.onOpening(call.endpoint);
  call.connection_state = ConnectionState::opening;
  return true;
}

void EndpointPool::sendRequest(const CallId& id, Call& call) {
  HttpConnection::ProgressCallbacks callbacks;
  callbacks.on_head = [this, id](const HttpResponse& head) { onResponseHead(id, head); };
  if (call.connection_state == ConnectionState::opening) {
    callbacks.on_connected = [this, id] { onConnected(id); };
  }
  call.queue_timer.reset();
  // Queueing, and waiting for a connection that then could not be reused, count towards connecting.
  const Micros waited = monotonicNow() - call.started_at;
  HttpConnection::Timing timing;
  timing.connect_timeout = std::max<Micros>(0, limits_.connect_timeout - waited);
  timing.deadline = call.deadline;
  timing.quiet_time = idle_.quietTime(call.endpoint);
  call.connection->exchange(
      deliveryRequest(call.message), timing,
      [this, id](const HttpResponse& response) { onExchangeCompleted(id, response); }, std::move(callbacks));
}

void EndpointPool::onConnected(const CallId& id) {
  Call& call = calls_.at(id);
  accounting_.onOpened(call.endpoint);
  call.connection_state = ConnectionState::in_use;
  startQueued();
}

// Queues the call for as long as connecting may take. A call that gets no connection in this time ends like
// one that failed to connect.
void EndpointPool::queueForConnection(const CallId& id, Call& call) {
  queued_.push_back(id);
  const Micros time_left = std::max<Micros>(0, call.deadline.remaining(call.started_at));
  call.queue_timer = std::make_unique<asio::steady_timer>(io_);
  call.queue_timer->expires_after(std::chrono::microseconds(std::min(limits_.connect_timeout, time_left)));
  call.queue_timer->async_wait([this, id](const boost::system::error_code& cancelled) {
    if (!cancelled) {
      onQueueTimeout(id);
    }
  });
}

void EndpointPool::onQueueTimeout(const CallId& id) {
  const auto entry = calls_.find(id);
  if (entry == calls_.end() || entry->second.connection) {
    return;
  }
  const Micros started_at = entry->second.started_at;
  calls_.erase(entry);
  postOutcome(id, AttemptResult::connect_failed, started_at);
}

// Starts queued calls in their order, as far as connections are available.
void EndpointPool::startQueued() {
  std::deque<CallId> queued;
  queued.swap(queued_);
  for (const CallId& id : queued) {
    const auto entry = calls_.find(id);
    if (entry == calls_.end() || entry->second.connection) {
      continue;
    }
    if (!tryStart(id, entry->second)) {
      queued_.push_back(id);
    }
  }
}

// Ends the calls that are queued for a connection, are connecting or are partly written: none of them has
// run.
void EndpointPool::withdrawUnwritten(const std::function<bool(const Call&)>& matches) {
  for (auto entry = calls_.begin(); entry != calls_.end();) {
    Call& call = entry->second;
    const bool is_written = call.connection && call.connection->requestWritten();
    if (is_written || !matches(call)) {
      ++entry;
      continue;
    }
    postOutcome(entry->first, AttemptResult::not_sent, call.started_at);
    releaseConnection(call);
    entry = calls_.erase(entry);  // closes the connection
  }
}

void EndpointPool::onEndpointDraining(const std::string& endpoint) {
  withdrawUnwritten([&](const Call& call) { return call.endpoint == endpoint; });
  if (on_calls_withdrawn_) {
    on_calls_withdrawn_(endpoint, std::nullopt);
  }
  startQueued();
}

// The Retry-After also applies to calls that were decided on before it was known.
void EndpointPool::onRetryAfter(const std::string& endpoint, std::int64_t destination) {
  const bool has_own_route = endpoints_[endpoint].has_own_route;
  withdrawUnwritten([&](const Call& call) {
    return has_own_route ? call.endpoint == endpoint : call.message.destination == destination;
  });
  if (on_calls_withdrawn_) {
    on_calls_withdrawn_(endpoint, destination);
  }
}

// Records in the accounting that the call's connection is no longer counted for it.
void EndpointPool::releaseConnection(Call& call) {
  switch (call.connection_state) {
    case ConnectionState::opening:
      accounting_.onOpenFailed(call.endpoint);
      break;
    case ConnectionState::in_use:
      accounting_.onClosed(call.endpoint);
      break;
    case ConnectionState::none:
      break;
  }
  call.connection_state = ConnectionState::none;
}

void EndpointPool::onExchangeCompleted(const CallId& id, const HttpResponse& response) {
  const auto entry = calls_.find(id);
  if (entry == calls_.end()) {
    return;
  }
  if (response.unsolicited_data_gap) {
    idle_.onUnsolicitedData(entry->second.endpoint, *response.unsolicited_data_gap);
  }
  if (response.stale_connection && !entry->second.is_cancelled) {
    // Nothing was written, so the call is made on another connection.
    releaseConnection(entry->second);
    entry->second.connection.reset();
    startOrQueue(id, entry->second);
    return;
  }
  AttemptOutcome outcome = outcomeOf(id, entry->second, response);
  if (outcome.result != AttemptResult::throttled) {
    onResponseHead(id, response);  // a Retry-After also counts if the response was truncated or late
  }
  Call call = std::move(entry->second);
  calls_.erase(entry);
  if (leavesConnectionOpen(outcome.result)) {
    keepIdle(call);
  }
  releaseConnection(call);
  if (outcome.retry_after > 0) {
    onRetryAfter(call.endpoint, call.message.destination);
  }
  startQueued();
  on_outcome_(std::move(outcome));
}

AttemptOutcome EndpointPool::outcomeOf(const CallId& id, const Call& call,
                                       const HttpResponse& response) const {
  AttemptOutcome outcome;
  outcome.id = id.message_id;
  outcome.attempt = id.attempt;
  outcome.result = attemptResultOf(response);
  if (outcome.result == AttemptResult::timeout && call.is_cancelled) {
    outcome.result = AttemptResult::cancelled;
  }
  outcome.finished = isMessageFinished(response);
  if (outcome.result == AttemptResult::throttled) {
    outcome.retry_after = retryAfterOf(response);
  }
  outcome.round_trip_time = roundTripTime(call.started_at);
  outcome.load_report = loadReportOf(response);
  return outcome;
}

// The body may be late or endless, so a Retry-After takes effect with the response head, not with the
// outcome.
void EndpointPool::onResponseHead(const CallId& id, const HttpResponse& head) {
  const auto entry = calls_.find(id);
  if (entry == calls_.end()) {
    return;
  }
  Call& call = entry->second;
  const Micros retry_after = retryAfterOf(head);
  if (retry_after <= 0 || call.retry_after_reported) {
    return;
  }
  call.retry_after_reported = true;
  onRetryAfter(call.endpoint, call.message.destination);
  AttemptOutcome outcome;
  outcome.id = id.message_id;
  outcome.attempt = id.attempt;
  outcome.still_in_flight = true;
  outcome.retry_after = retry_after;
  on_outcome_(std::move(outcome));
}

// Reports the outcome from the event loop, so that startCall() and cancel() never call on_outcome_.
void EndpointPool::postOutcome(const CallId& id, AttemptResult result, Micros started_at) {
  unreported_.insert(id);
  asio::post(io_, [this, id, result, started_at] {
    unreported_.erase(id);
    AttemptOutcome outcome;
    outcome.id = id.message_id;
    outcome.attempt = id.attempt;
    outcome.result = result;
    outcome.round_trip_time = roundTripTime(started_at);
    on_outcome_(std::move(outcome));
  });
}

// A call that is written may have been answered. Its connection reports such a response before it is closed.
bool EndpointPool::cancel(const CallId& id) {
  const auto entry = calls_.find(id);
  if (entry == calls_.end()) {
    return unreported_.count(id) > 0;
  }
  Call& call = entry->second;
  if (call.connection && call.connection->requestWritten()) {
    call.is_cancelled = true;
    call.connection->expire();
    return true;
  }
  postOutcome(id, AttemptResult::not_sent, call.started_at);
  releaseConnection(call);
  calls_.erase(entry);
  startQueued();
  return true;
}

std::vector<CallId> EndpointPool::callsInFlight() const {
  std::vector<CallId> ids;
  for (const auto& [id, call] : calls_) {
    ids.push_back(id);
  }
  ids.insert(ids.end(), unreported_.begin(), unreported_.end());
  return ids;
}

void EndpointPool::applyBudget() {
  idle_.closeExcess();
  startQueued();
}

// Keeps the call's connection idle, unless it is closed, the endpoint's address has changed or there is no
// room for one more.
void EndpointPool::keepIdle(Call& call) {
  if (call.address == endpoints_[call.endpoint].address && idle_.keep(call.endpoint, call.connection)) {
    call.connection_state = ConnectionState::none;
  }
}

}  // namespace delivery
