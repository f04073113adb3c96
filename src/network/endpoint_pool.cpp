// Calls to endpoints; see endpoint_pool.h.
#include "network/endpoint_pool.h"

#include <boost/asio/post.hpp>
#include <chrono>
#include <cmath>
#include <cstdlib>

namespace delivery {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kBodyLimit = 65536;
constexpr Micros kLongestWait = 24LL * 3600 * 1000000;

// The AttemptResult of each answer, by the protocol's table. What is not in it was at least answered: an
// error. One that breaks off is not to be read, and may have run, but for a first line that says 200.
AttemptResult resultOf(const HttpAnswer& a) {
  if (a.completion == Exchanged::not_written)
    return AttemptResult::connect_failed;
  if (a.completion == Exchanged::broken)
    return AttemptResult::reset;
  if (a.completion == Exchanged::timed_out)
    return AttemptResult::timeout;
  if (!a.body_complete && a.status != 200)
    return AttemptResult::error;
  switch (a.status) {
    case 200:
      return AttemptResult::ok;
    case 429:
      return AttemptResult::throttled;
    case 503:
      return a.field("x-egress-full") ? AttemptResult::not_sent : AttemptResult::throttled;
    case 504:
      return AttemptResult::not_sent;
    case 410:
      return AttemptResult::not_sent;
    default:
      return AttemptResult::error;
  }
}

std::optional<double> numberIn(const std::string& s) {
  char* end = nullptr;
  const double v = std::strtod(s.c_str(), &end);
  if (end == s.c_str() || !std::isfinite(v))
    return std::nullopt;
  return v;
}

// Told by the head alone: it counts whatever becomes of the body.
Micros waitOf(const HttpAnswer& a) {
  const std::string* told = a.status == 429 || a.status == 503 ? a.field("retry-after") : nullptr;
  const auto seconds = told ? numberIn(*told) : std::nullopt;
  if (!seconds || *seconds <= 0)
    return 0;
  return static_cast<Micros>(std::ceil(std::min(*seconds * 1e6, static_cast<double>(kLongestWait))));
}

std::optional<LoadReport> reportOf(const HttpAnswer& a) {
  const std::string* told = a.field("x-pressure");
  if (!told)
    return std::nullopt;
  auto value = [&](const std::string& name) -> double {
    const auto at = ("," + *told).find("," + name + "=");
    if (at == std::string::npos)
      return 0;
    return numberIn(told->substr(at + name.size() + 1)).value_or(0);
  };
  return LoadReport{value("x0"), value("x1")};
}

}  // namespace

EndpointPool::EndpointPool(asio::io_context& io, Limits limits, EndpointConnectionAccounting& accounting,
                           OnOutcome on_outcome, OnHeld on_held)
    : io_(io),
      limits_(limits),
      accounting_(accounting),
      on_outcome_(std::move(on_outcome)),
      on_held_(std::move(on_held)),
      sweeper_(io) {}

void EndpointPool::setAddress(const std::string& endpoint, const std::string& address, bool apart) {
  Peer& known = peers_[endpoint];
  known.apart = apart;
  if (known.address == address)
    return;
  known.address = address;
  closeIdle(endpoint);
}

void EndpointPool::startCall(const AcceptedMessage& m, int attempt, const std::string& endpoint,
                             Deadline until) {
  const CallId id{m.id, attempt};
  Call& call = calls_[id];
  call.endpoint = endpoint;
  call.message = m;
  call.destination = m.destination;
  call.began = monotonicNow();
  call.until = until;
  if (!start(id, call))
    wait(id, call);
}

// Reuse first; else a connection is opened if the endpoint and the budget have room for one more.
bool EndpointPool::start(const CallId& id, Call& call) {
  auto& idle = idle_[call.endpoint];
  while (!idle.empty() && !call.connection) {  // the freshest first
    if (idle.back().connection->reusable()) {
      call.connection = std::move(idle.back().connection);
      accounting_.onReused(call.endpoint);
      call.on = Call::On::open;
    } else {
      accounting_.onIdleClosed(call.endpoint);
    }
    idle.pop_back();
  }
  call.address = peers_[call.endpoint].address;
  HttpConnection::Heard heard;
  heard.head = [this, id](const HttpAnswer& a) { onResponseHead(id, a); };
  if (!call.connection) {
    if (const auto other = accounting_.evictionCandidateToOpen(call.endpoint))
      closeOldest(*other);
    if (!accounting_.canOpen(call.endpoint))
      return false;
    try {
      call.connection =
          std::make_unique<HttpConnection>(io_, parseAddress(call.address), call.address, kBodyLimit);
    } catch (const std::invalid_argument&) {
      reportOutcome(id, AttemptResult::connect_failed, call.began);
      calls_.erase(id);
      return true;
    }
    accounting_.onOpening(call.endpoint);
    call.on = Call::On::opening;
    heard.connected = [this, id] {
      Call& c = calls_.at(id);
      accounting_.onOpened(c.endpoint);
      c.on = Call::On::open;
      startWaiting();
    };
  }
  const Micros waited = call.patience ? monotonicNow() - call.began : 0;
  call.patience.reset();
  const AcceptedMessage& m = call.message;
  HttpRequest r;
  r.method = "POST";
  r.target = "/hook";
  r.fields.emplace_back("X-Txn", m.id);
  if (!m.idempotency_key.empty())
    r.fields.emplace_back("Idempotency-Key", m.idempotency_key);
  r.remaining_time_field = "X-Remaining-Ms";
  r.body = m.body;
  call.connection->exchange(
      std::move(r), std::max<Micros>(0, limits_.dial_timeout - waited), call.until,
      [this, id](const HttpAnswer& a) { onExchangeCompleted(id, a); }, std::move(heard));
  return true;
}

// For as long as a connection may take to come up: one that never did has the same outcome.
void EndpointPool::wait(const CallId& id, Call& call) {
  waiting_.push_back(id);
  call.patience = std::make_unique<asio::steady_timer>(io_);
  call.patience->expires_after(std::chrono::microseconds(
      std::min(limits_.dial_timeout, std::max<Micros>(0, call.until.remaining(call.began)))));
  call.patience->async_wait([this, id](const boost::system::error_code& e) {
    const auto it = calls_.find(id);
    if (e || it == calls_.end() || it->second.connection)
      return;
    const Micros began = it->second.began;
    calls_.erase(it);
    reportOutcome(id, AttemptResult::connect_failed, began);
  });
}

// Those that wait, in their order, as far as there are connections now.
void EndpointPool::startWaiting() {
  std::deque<CallId> waiting;
  waiting.swap(waiting_);
  for (const CallId& id : waiting) {
    const auto it = calls_.find(id);
    if (it == calls_.end() || it->second.connection)
      continue;
    if (!start(id, it->second))
      waiting_.push_back(id);
  }
}

// Those that wait for a connection, whose connection comes up, and that are half written: none has run.
void EndpointPool::withdrawUnwritten(const std::function<bool(const Call&)>& which) {
  for (auto it = calls_.begin(); it != calls_.end();) {
    Call& c = it->second;
    if ((c.connection && c.connection->requestWritten()) || !which(c)) {
      ++it;
      continue;
    }
    reportOutcome(it->first, AttemptResult::not_sent, c.began);
    releaseConnection(c);
    it = calls_.erase(it);  // closes the connection
  }
}

std::vector<std::string> EndpointPool::knownEndpoints() const {
  std::vector<std::string> names;
  for (const auto& [endpoint, peer] : peers_)
    names.push_back(endpoint);
  return names;
}

void EndpointPool::onEndpointDraining(const std::string& endpoint) {
  withdrawUnwritten([&](const Call& c) { return c.endpoint == endpoint; });
  if (on_held_)
    on_held_(endpoint, std::nullopt);
  startWaiting();
}

// A wait holds for calls that the module decided on before it was told, too.
void EndpointPool::onRetryAfter(const std::string& endpoint, std::int64_t destination) {
  const bool apart = peers_[endpoint].apart;
  withdrawUnwritten(
      [&](const Call& c) { return apart ? c.endpoint == endpoint : c.destination == destination; });
  if (on_held_)
    on_held_(endpoint, destination);
}

void EndpointPool::releaseConnection(Call& call) {
  if (call.on == Call::On::opening)
    accounting_.onOpenFailed(call.endpoint);
  if (call.on == Call::On::open)
    accounting_.onClosed(call.endpoint);
  call.on = Call::On::none;
}

void EndpointPool::onExchangeCompleted(const CallId& id, const HttpAnswer& answer) {
  auto it = calls_.find(id);
  if (it == calls_.end())
    return;
  if (answer.stale_connection &&
      !it->second.called_off) {  // nothing of it was written: it goes on another connection
    releaseConnection(it->second);
    it->second.connection.reset();
    if (!start(id, it->second))
      wait(id, it->second);
    return;
  }
  AttemptOutcome o;
  o.id = id.message_id;
  o.attempt = id.attempt;
  o.result = resultOf(answer);
  if (o.result == AttemptResult::timeout && it->second.called_off)
    o.result = AttemptResult::cancelled;
  o.finished = answer.completion == Exchanged::answered && (answer.status == 200 || answer.status == 410);
  if (o.result == AttemptResult::throttled)
    o.retry_after = waitOf(answer);
  else
    onResponseHead(id, answer);  // cut off, or late: it may have run, and told a wait all the same
  o.round_trip_time = std::max<Micros>(1, monotonicNow() - it->second.began);
  o.load_report = reportOf(answer);
  // The module keeps its own count of idle connections: one is kept after the same outcomes as there.
  const bool kept = o.result == AttemptResult::ok || o.result == AttemptResult::error ||
                    o.result == AttemptResult::throttled;
  Call call = std::move(it->second);
  calls_.erase(it);
  if (kept)
    keep(call);
  releaseConnection(call);
  if (o.retry_after > 0)
    onRetryAfter(call.endpoint, call.destination);
  startWaiting();
  on_outcome_(std::move(o));
}

// The body may be late, or never end: a wait counts from here on, not from the outcome.
void EndpointPool::onResponseHead(const CallId& id, const HttpAnswer& head) {
  const auto it = calls_.find(id);
  const Micros wait = it == calls_.end() ? 0 : waitOf(head);
  if (wait <= 0 || it->second.wait_heard)
    return;
  it->second.wait_heard = true;
  onRetryAfter(it->second.endpoint, it->second.destination);
  AttemptOutcome o;
  o.id = id.message_id;
  o.attempt = id.attempt;
  o.still_in_flight = true;
  o.retry_after = wait;
  on_outcome_(std::move(o));
}

void EndpointPool::reportOutcome(const CallId& id, AttemptResult result, Micros began) {
  untold_.insert(id);
  asio::post(io_, [this, id, result, began] {
    untold_.erase(id);
    AttemptOutcome o;
    o.id = id.message_id;
    o.attempt = id.attempt;
    o.result = result;
    o.round_trip_time = std::max<Micros>(1, monotonicNow() - began);
    on_outcome_(std::move(o));
  });
}

// What has been written may have been answered: its connection tells that before it is closed.
bool EndpointPool::cancel(const CallId& id) {
  auto it = calls_.find(id);
  if (it == calls_.end())
    return untold_.count(id) > 0;
  Call& call = it->second;
  if (call.connection && call.connection->requestWritten()) {
    call.called_off = true;
    call.connection->abandon();
    return true;
  }
  reportOutcome(it->first, AttemptResult::not_sent, call.began);
  releaseConnection(call);
  calls_.erase(it);
  startWaiting();
  return true;
}

std::vector<CallId> EndpointPool::callsInFlight() const {
  std::vector<CallId> out;
  for (const auto& [id, call] : calls_)
    out.push_back(id);
  out.insert(out.end(), untold_.begin(), untold_.end());
  return out;
}

void EndpointPool::closeAllIdle() {
  for (const auto& [endpoint, idle] : idle_)
    accounting_.onIdleClosed(endpoint, idle.size());
  idle_.clear();
}

void EndpointPool::closeIdle(const std::string& endpoint) {
  auto it = idle_.find(endpoint);
  if (it == idle_.end())
    return;
  accounting_.onIdleClosed(endpoint, it->second.size());
  idle_.erase(it);
}

void EndpointPool::closeOldest(const std::string& endpoint) {
  idle_.at(endpoint).pop_front();
  accounting_.onIdleClosed(endpoint);
}

void EndpointPool::applyBudget() {
  while (const auto endpoint = accounting_.excessIdleCandidate())
    closeOldest(*endpoint);
  startWaiting();
}

void EndpointPool::keep(Call& call) {
  if (!call.connection->reusable() || call.address != peers_[call.endpoint].address)
    return;
  if (!accounting_.canKeepIdle()) {
    const auto other = accounting_.idleEvictionCandidate(call.endpoint);
    if (!other)
      return;
    closeOldest(*other);
  }
  accounting_.onIdle(call.endpoint);
  call.on = Call::On::none;
  idle_[call.endpoint].push_back({std::move(call.connection), monotonicNow()});
  sweep();
}

// Closes what has idled almost as long as an endpoint allows. Guards against a call that crosses the close.
void EndpointPool::sweep() {
  if (sweeping_ || limits_.conn_idle <= 0)
    return;
  const Micros most = limits_.conn_idle - limits_.conn_idle / 20;
  Micros next = 0;
  const Micros now = monotonicNow();
  for (auto& [endpoint, idle] : idle_) {
    while (!idle.empty() && now - idle.front().since >= most)
      closeOldest(endpoint);
    if (!idle.empty() && (next == 0 || idle.front().since + most < next))
      next = idle.front().since + most;
  }
  if (next == 0)
    return;
  sweeping_ = true;
  sweeper_.expires_after(std::chrono::microseconds(next - now));
  sweeper_.async_wait([this](const boost::system::error_code& e) {
    if (e)
      return;
    sweeping_ = false;
    sweep();
  });
}

}  // namespace delivery
