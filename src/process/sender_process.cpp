// One process of a sender; see sender_process.h.
#include "process/sender_process.h"

#include <signal.h>

#include <algorithm>
#include <chrono>
#include <iostream>

#include "network/listener.h"

namespace delivery {

namespace asio = boost::asio;

namespace {

// After SIGTERM: no call is started that would last longer, and the process is gone well before the 3.7 s at
// which it may be killed. New clients come for up to 0.4 s.
constexpr Micros kStopAfter = 3'400'000, kLateClients = 600'000, kLook = 10'000;
constexpr Micros kYieldWithin = 200'000;  // requests that are half in; a client waits 400 ms for its answer
// An owner that does not hand over hangs: the next process is to serve within 6 s. One that let go takes back
// what the next has not locked by then, and gives up when a third process has it.
constexpr Micros kOwnerHangs = 4'000'000, kTakeBackAfter = 2'000'000, kTakeBackWithin = 1'000'000;

EndpointPool::CallId callOf(const json& j) {
  if (!j.is_array() || j.size() != 2 || !j[0].is_string() || !j[1].is_number_integer())
    throw InvalidInput(InputProblem::malformed, "", "not a call");
  return {j[0].get<std::string>(), j[1].get<int>()};
}

json outcomeToJson(const AttemptOutcome& o) {
  json j{{"id", o.id},
         {"attempt", o.attempt},
         {"result", static_cast<int>(o.result)},
         {"finished", o.finished},
         {"still_out", o.still_in_flight},
         {"wait", o.retry_after},
         {"rtt", o.round_trip_time}};
  if (o.load_report)
    j["report"] = {o.load_report->remaining_share, o.load_report->limit_per_second};
  return j;
}

AttemptOutcome outcomeFromJson(const json& j) {
  AttemptOutcome o;
  o.id = readString(j, "id");
  o.attempt = static_cast<int>(readInteger(j, "attempt"));
  const std::int64_t result = readInteger(j, "result");
  if (result < 0 || result > static_cast<int>(AttemptResult::not_sent))
    throw InvalidInput(InputProblem::unknown_value, "result", "not a result");
  o.result = static_cast<AttemptResult>(result);
  o.finished = readBoolean(j, "finished");
  o.still_in_flight = readBoolean(j, "still_out", false);
  o.retry_after = readInteger(j, "wait");
  o.round_trip_time = readInteger(j, "rtt");
  if (!isAbsent(j, "report")) {
    const json& r = readArray(j, "report");
    if (r.size() != 2 || !r[0].is_number() || !r[1].is_number())
      throw InvalidInput(InputProblem::malformed, "report", "not a report");
    o.load_report = LoadReport{r[0].get<double>(), r[1].get<double>()};
  }
  return o;
}

tcp::acceptor listenForClients(asio::io_context& io, const Config& c) {
  if (c.passed_socket >= 0)
    try {
      return listenOnPassed(io, c.passed_socket);
    } catch (const boost::system::system_error& e) {
      std::cerr << e.what() << ": listening at " << c.listen << " instead\n";
    }
  return listenAt(io, parseAddress(c.listen));
}

}  // namespace

// All that belongs to owning the journal.
struct SenderProcess::ActiveRole {
  ActiveRole(SenderProcess& s, const tcp::endpoint& agent, const std::set<CallId>& out)
      : began(monotonicNow()),
        journal(s.config_.state, {s.config_.disk_bytes, s.config_.durable}),
        notices(DiscoveryClient(s.io_, agent, s.config_.discovery),
                [this](const std::string& id) { host.onNoticeAcknowledged(id); }),
        host(s.io_, s.config_.settings, s.config_.seed, journal, s.endpoints_, notices,
             [&s](const CallId& call) {
               if (s.older_)
                 s.older_->send({{"cancel", {call.first, call.second}}});
             }),
        watcher(DiscoveryClient(s.io_, agent, s.config_.discovery), s.config_.seed,
                [this](const json& a) { return host.onEndpointList(a); }),
        clients(
            s.io_, listenForClients(s.io_, s.config_), s.connections_,
            [this](AcceptedMessage m, ClientServer::Reply r) { host.submit(std::move(m), std::move(r)); }),
        next(s.io_, s.config_.scratch, [&s](std::shared_ptr<HandoverLink> l) { s.yieldTo(std::move(l)); }) {
    host.recover(s.config_.known, out, began, s.replaces_);
    watcher.start(host.endpointListIndex());
  }

  void retire() {
    next.close();
    clients.stop();
    host.stepDown();
    watcher.stop();
    notices.stop();
  }

  const Micros began;
  Journal journal;
  CompletionNotifier notices;
  DecisionDriver host;
  EndpointWatch watcher;
  ClientServer clients;
  HandoverListener next;
};

SenderProcess::SenderProcess(asio::io_context& io, Config config, std::function<void()> on_over)
    : io_(io),
      config_(std::move(config)),
      on_over_(std::move(on_over)),
      lock_(config_.state),
      connections_(budget()),
      endpoints_(
          io, {config_.settings.connect_timeout, config_.settings.connection_idle_timeout}, connections_,
          [this](AttemptOutcome o) { outcome(std::move(o)); },
          [this](const std::string& endpoint, std::optional<std::int64_t> destination) {
            if (!older_)
              return;
            json line{{"held", endpoint}};
            if (destination)
              line["destination"] = *destination;
            older_->send(line);
          }),
      look_timer_(io) {
  if (!config_.control.empty())
    control_.emplace(io, parseAddress(config_.control), connections_,
                     [this](const std::string& c) { return operate(c); });
  parseAddress(config_.discovery);
  parseAddress(config_.listen);
  waiting_from_ = monotonicNow();
  look();
}

SenderProcess::~SenderProcess() = default;

// A process that only ends its calls shares the descriptors with this one.
Budget SenderProcess::budget() const {
  return budgetOf({config_.sockets, config_.memory_bytes, config_.settings.call_slots}, older_ != nullptr);
}

void SenderProcess::limit(std::int64_t sockets, std::int64_t memory_bytes) {
  const Budget b = budgetOf({sockets, memory_bytes, config_.settings.call_slots}, older_ != nullptr);
  if (sockets == config_.sockets && memory_bytes == config_.memory_bytes)
    return;
  config_.sockets = sockets;
  config_.memory_bytes = memory_bytes;
  std::cerr << "limits are now " << sockets << " sockets and " << memory_bytes / 1'000'000
            << " MB: " << b.clients << " clients, " << b.idle_calls << " idle connections to endpoints\n";
  changeBudget(b);
}

void SenderProcess::changeBudget(const Budget& b) {
  connections_.setBudget(b);
  endpoints_.applyBudget();
  if (serving_)
    serving_->clients.applyBudget();
}

// Looks again and again while something is to be waited for that has no event: not while it just serves.
void SenderProcess::look() {
  if (over_ || looking_)
    return;
  if (serving_ && newer_) {
    const ClientServer& c = serving_->clients;
    const bool quiet = c.connectionCount() == 0 || monotonicNow() - yield_from_ > kYieldWithin;
    if (quiet && c.unansweredRequests() == 0)
      release();
  } else if (!serving_ && (!newer_ || (!newer_serves_ && monotonicNow() - released_at_ > kTakeBackAfter))) {
    waitForJournal();
  }
  if (done()) {
    over_ = true;
    return on_over_();
  }
  if (serving_ && !newer_ && stop_from_ == 0)
    return;
  looking_ = true;
  look_timer_.expires_after(std::chrono::microseconds(kLook));
  look_timer_.async_wait([this](const boost::system::error_code& e) {
    looking_ = false;
    if (!e)
      look();
  });
}

bool SenderProcess::done() const {
  const Micros since = monotonicNow() - stop_from_;
  if (stop_from_ > 0 && since >= kStopAfter)
    return true;
  if (serving_)
    return stop_from_ > 0 && !newer_ && since > kLateClients && serving_->clients.unansweredRequests() == 0 &&
           endpoints_.inFlightCount() == 0 && serving_->notices.pending() == 0 && serving_->host.idle();
  if (newer_)
    return (newer_serves_ || stop_from_ > 0) && endpoints_.inFlightCount() == 0 && newer_->allSent();
  return stop_from_ > 0 || (handed_over_ && monotonicNow() - waiting_from_ > kTakeBackWithin);
}

void SenderProcess::waitForJournal() {
  const Micros waited = monotonicNow() - waiting_from_;
  const bool owner_hangs = !handed_over_ && waited > kOwnerHangs;
  if ((!older_ || older_released_ || owner_hangs) && stop_from_ == 0 && lock_.tryAcquire())
    return own();
  if (handed_over_)
    return;
  if (owner_hangs) {
    const pid_t owner = lock_.holder();
    if (owner > 0) {
      std::cerr << "handover: process " << owner << " does not hand over: killed\n";
      ::kill(owner, SIGKILL);  // what it has taken on is in the journal
    }
    return;
  }
  if (older_)
    return;
  older_ = connectLink(io_, config_.scratch);
  older_released_ = false;
  if (!older_)
    return;
  replaces_ = true;
  changeBudget(budget());
  older_->start([this](const json& m) { onOlderMessage(m); }, [this] { onOlderEnd(); });
}

// This process owns the journal from here on.
void SenderProcess::own() {
  std::set<CallId> out = elsewhere_;
  for (const CallId& c : endpoints_.callsInFlight())
    out.insert(c);
  for (const AttemptOutcome& o : told_)
    out.insert({o.id, o.attempt});
  for (const AttemptOutcome& o : early_)
    out.insert({o.id, o.attempt});
  if (newer_)
    newer_->close();
  newer_.reset();
  newer_serves_ = handed_over_ = false;
  serving_ = std::make_unique<ActiveRole>(*this, parseAddress(config_.discovery), out);
  for (auto* heard : {&told_, &early_}) {
    for (AttemptOutcome& o : *heard)
      serving_->host.onOutcome(std::move(o));
    heard->clear();
  }
  replaces_ = true;
  operators_drain_ ? serving_->clients.startDraining() : serving_->clients.stopDraining();
  if (older_)
    older_->send({{"serving", true}});
  std::cerr << "ready\n";
}

void SenderProcess::outcome(AttemptOutcome o) {
  if (serving_)
    return serving_->host.onOutcome(std::move(o));
  if (newer_)
    newer_->send({{"outcome", outcomeToJson(o)}});
  told_.push_back(std::move(o));
}

void SenderProcess::yieldTo(std::shared_ptr<HandoverLink> newer) {
  if (newer_)
    return newer->close();  // it asks again
  std::cerr << "handover: the next process asks for it\n";
  newer_ = std::move(newer);
  newer_serves_ = false;
  yield_from_ = monotonicNow();
  newer_->start(
      [this](const json& m) {
        if (!isAbsent(m, "serving"))
          newer_serves_ = true;
        if (!isAbsent(m, "held")) {
          const std::string endpoint = readString(m, "held");
          isAbsent(m, "destination") ? endpoints_.onEndpointDraining(endpoint)
                                     : endpoints_.onRetryAfter(endpoint, readInteger(m, "destination"));
        }
        if (isAbsent(m, "cancel"))
          return;
        const CallId call = callOf(requireField(m, "cancel"));
        endpoints_.cancel(call.first, call.second);
      },
      [this] { onNewerEnd(); });
  serving_->clients.pauseAccepting();
  serving_->clients.startDraining();
  look();
}

void SenderProcess::release() {
  serving_->retire();
  retired_.push_back(std::move(serving_));
  endpoints_.closeAllIdle();
  json out = json::array();
  for (const CallId& c : endpoints_.callsInFlight())
    out.push_back({c.first, c.second});
  std::cerr << "handover: handed over with " << out.size() << " calls out\n";
  newer_->send({{"release", std::move(out)}});
  lock_.release();
  handed_over_ = true;
  released_at_ = waiting_from_ = monotonicNow();
}

void SenderProcess::onNewerEnd() {
  std::cerr << "handover: the next process is gone\n";
  newer_.reset();
  waiting_from_ = monotonicNow();
  if (serving_) {
    if (!operators_drain_ && stop_from_ == 0)
      serving_->clients.stopDraining();
    serving_->clients.resumeAccepting();
  }
  look();
}

void SenderProcess::onOlderMessage(const json& message) {
  if (!isAbsent(message, "release")) {
    for (const json& c : readArray(message, "release"))
      elsewhere_.insert(callOf(c));
    older_released_ = true;
    look();
  }
  if (isAbsent(message, "outcome"))
    return;
  AttemptOutcome o = outcomeFromJson(requireField(message, "outcome"));
  if (elsewhere_.count({o.id, o.attempt}) == 0)
    return;
  if (!o.still_in_flight)
    elsewhere_.erase({o.id, o.attempt});
  if (serving_)
    return serving_->host.onOutcome(std::move(o));
  early_.push_back(std::move(o));
}

// What it had out when it ended may have run, which says nothing of the endpoint.
void SenderProcess::onOlderEnd() {
  older_.reset();
  older_released_ = false;
  const auto lost = std::move(elsewhere_);
  elsewhere_.clear();
  changeBudget(budget());
  if (!serving_)
    return look();  // the journal tells of them
  for (const CallId& c : lost) {
    AttemptOutcome o;
    o.id = c.first;
    o.attempt = c.second;
    o.result = AttemptResult::cancelled;
    serving_->host.onOutcome(std::move(o));
  }
}

std::string SenderProcess::notReady() const {
  if (stop_from_ > 0)
    return "stopping";
  if (serving_ && newer_)
    return "handing over to the next process";
  if (handed_over_)
    return "handed over to the next process";
  if (!serving_)
    return "waiting for the process before to hand over";
  if (operators_drain_)
    return "draining";
  return serving_->host.hasEndpointList() ? "" : "no list of endpoints yet";
}

std::string SenderProcess::operate(const std::string& call) {
  const std::string why = notReady();
  if (call == "READY")
    return why.empty() ? "OK ready" : "ERR " + why;
  if (call != "DRAIN" && call != "UNDRAIN")
    return "ERR unknown call: READY, DRAIN or UNDRAIN";
  if (stop_from_ > 0 || !serving_ || newer_)
    return "ERR " + why;
  std::cerr << "operator: " << call << '\n';
  operators_drain_ = call == "DRAIN";
  operators_drain_ ? serving_->clients.startDraining() : serving_->clients.stopDraining();
  return operators_drain_ ? "OK draining" : "OK serving";
}

void SenderProcess::stop() {
  if (stop_from_ > 0)
    return;
  std::cerr << "stopping\n";
  stop_from_ = monotonicNow();
  if (serving_) {
    serving_->clients.startDraining();
    serving_->host.scheduleShutdown(stop_from_ + kStopAfter);
  }
  look();
}

void SenderProcess::followDiscovery(const std::string& address) {
  const tcp::endpoint peer = parseAddress(address);
  config_.discovery = address;
  if (!serving_)
    return;
  serving_->watcher.changeServer(peer, address);
  serving_->notices.changeServer(peer, address);
}

}  // namespace delivery
