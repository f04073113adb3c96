// The host; see decision_driver.h.
#include "process/decision_driver.h"

#include <algorithm>
#include <cmath>
#include <optional>

#include "common/log.h"

namespace delivery {

namespace asio = boost::asio;

namespace {

std::string busy(Micros pause) {
  return pause > 0 ? "-BUSY " + std::to_string((pause + 999) / 1000) : std::string("-BUSY");
}

void logRecovery(const Journal::Recovered& recovered, std::size_t messages, std::size_t pending_notices,
                 Micros duration_ms) {
  LogLine line = recovered.damaged ? logWarning("journal", "recovered") : logInfo("journal", "recovered");
  line.field("messages", messages).field("pending_notices", pending_notices);
  for (const RecoveryReport::Field& field : recovered.report.fields())
    line.field(field.name, field.value);
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
                               EndpointPool& endpoints, CompletionNotifier& notices,
                               CancelElsewhere cancel_elsewhere)
    : io_(io),
      settings_(settings),
      sender_(std::move(settings), seed),
      journal_(journal),
      endpoints_(endpoints),
      notices_(notices),
      cancel_elsewhere_(std::move(cancel_elsewhere)),
      turn_timer_(io),
      wake_timer_(io) {}

void DecisionDriver::recover(const json& known, const std::set<CallId>& out, Micros began, bool waits_hold) {
  const Journal::Recovered& r = journal_.recovered();
  // The newer of the two lists: a drain that was heard before the restart still counts.
  json list = known;
  const json own = json::parse(r.endpoint_list, nullptr, false);
  if (own.is_object() && (!list.is_object() || readNumber(own, "index", -1) >= readNumber(list, "index", -1)))
    list = own;
  if (list.is_object() && !list.empty()) {
    EndpointList::EndpointListUpdate news = list_.apply(list);
    news.kind = EndpointUpdateKind::cached;
    takeList(news);
  }
  for (HealthRecord a : r.health_records) {
    if (!waits_hold)
      a.retry_after_until = 0;
    add(std::move(a));
  }
  for (const JournalEntry& e : r.entries) {
    if (e.notice_pending) {
      notices_.enqueue(e.message.id, e.notice);
      continue;
    }
    Held& h = held_[e.message.id];
    h.message = e.message;
    RecoveredMessage m;
    m.after_restart = !waits_hold;
    m.message.id = e.message.id;
    m.message.message_class = e.message.message_class;
    m.message.tenant = e.message.tenant;
    m.message.order_key = e.message.order_key;
    m.message.destination = e.message.destination;
    m.message.deadline = e.message.deadline;
    m.message.is_retry = true;
    for (const JournaledAttempt& a : e.attempts) {
      const CallId call{m.message.id, static_cast<int>(m.attempts.size())};
      const bool still_out = !a.never_ran && out.count(call) > 0;
      if (still_out &&
          !list_.contains(a.endpoint)) {  // it left the list: its outcome and its wait still count
        EndpointInfo gone;
        gone.id = a.endpoint;
        gone.destination = e.message.destination;
        gone.state = EndpointState::removed;
        add(EndpointsChanged{EndpointUpdateKind::delta, {gone}});
      }
      h.attempts.push_back(a.endpoint);
      m.attempts.push_back({a.endpoint, a.sent_at, !a.never_ran, still_out});
    }
    add(std::move(m));
  }
  logRecovery(r, held_.size(), notices_.pending(), (monotonicNow() - began) / 1000);
  journal_.releaseRecovered();
}

std::int64_t DecisionDriver::onEndpointList(const json& answer) {
  const EndpointList::EndpointListUpdate news = list_.apply(answer);
  if (!news.endpoints.empty() || news.kind != EndpointUpdateKind::delta) {
    journal_.recordEndpointList(list_.toJson().dump());
    takeList(news);  // sends are made in turns alone, so none goes before the module has heard this
  }
  return list_.index();
}

void DecisionDriver::takeList(const EndpointList::EndpointListUpdate& news) {
  EndpointsChanged u;
  u.kind = news.kind;
  if (news.kind != EndpointUpdateKind::delta)  // what a whole list leaves out is gone
    for (const std::string& endpoint : endpoints_.knownEndpoints())
      if (!list_.contains(endpoint)) {
        endpoints_.closeIdle(endpoint);
        endpoints_.onEndpointDraining(endpoint);
      }
  for (const ListedEndpoint& l : news.endpoints) {
    u.endpoints.push_back(l.endpoint);
    destinations_.insert(l.endpoint.destination);
    const bool apart = std::any_of(
        settings_.destination_kinds.begin(), settings_.destination_kinds.end(),
        [&](const DestinationKind& k) { return k.name == l.endpoint.kind && k.independent_routes; });
    if (l.endpoint.state != EndpointState::removed)
      endpoints_.setAddress(l.endpoint.id, l.address, apart);
    if (l.endpoint.state == EndpointState::removed)
      endpoints_.closeIdle(l.endpoint.id);
    if (l.endpoint.state != EndpointState::ready)
      endpoints_.onEndpointDraining(l.endpoint.id);
  }
  add(std::move(u));
}

void DecisionDriver::submit(AcceptedMessage m, ClientServer::Reply reply) {
  if (std::none_of(settings_.classes.begin(), settings_.classes.end(),
                   [&](const MessageClass& c) { return c.name == m.message_class; }))
    return reply("-ERR unknown class");
  if (destinations_.empty())
    return reply(busy(settings_.max_retry_after));
  if (!destinations_.count(m.destination))
    return reply("-ERR unknown destination");
  auto known = held_.find(m.id);
  if (known != held_.end())
    return reply(known->second.reply ? "-ERR handed in twice" : "+OK");
  if (!journal_.reserve(m))
    return reply(busy(settings_.max_retry_after));
  Arrival a;
  a.id = m.id;
  a.message_class = m.message_class;
  a.tenant = m.tenant;
  a.order_key = m.order_key;
  a.destination = m.destination;
  a.deadline = m.deadline;
  a.is_retry = m.is_retry;
  Held& h = held_[m.id];
  h.message = std::move(m);
  h.reply = std::move(reply);
  fresh_.insert(a.id);
  add(std::move(a));
}

void DecisionDriver::stepDown() {
  if (!events_.empty())
    turn();
  journal_.close();
  retired_ = true;
  wakes_.clear();
  turn_timer_.cancel();
  wake_timer_.cancel();
}

void DecisionDriver::onOutcome(AttemptOutcome o) {
  auto it = held_.find(o.id);
  // One that another process heard: this one's calls heed its wait, too.
  if (o.retry_after > 0 && it != held_.end() && o.attempt < static_cast<int>(it->second.attempts.size()))
    endpoints_.onRetryAfter(it->second.attempts[static_cast<std::size_t>(o.attempt)],
                            it->second.message.destination);
  if (o.still_in_flight)
    return add(std::move(o));
  if (it != held_.end()) {
    if (o.finished) {
      journal_.recordCompleted(o.id);
      held_.erase(it);
    } else if (o.result == AttemptResult::throttled || o.result == AttemptResult::connect_failed ||
               o.result == AttemptResult::not_sent) {
      journal_.recordNeverRan(o.id, static_cast<std::size_t>(o.attempt));
    }
  }
  add(std::move(o));
}

// Written with the next turn: until then a restart would tell it once more, which does no harm.
void DecisionDriver::onNoticeAcknowledged(const std::string& id) {
  journal_.recordCompleted(id);
}

void DecisionDriver::scheduleShutdown(Micros at) {
  add(ShutdownScheduled{at});
}

void DecisionDriver::add(Event e) {
  if (retired_)
    return;
  events_.push_back(std::move(e));
  if (turn_due_)
    return;
  turn_due_ = true;
  const Micros due = last_turn_ + settings_.tick - monotonicNow();
  if (due <= 0) {
    asio::post(io_, [this] {
      if (turn_due_ && !retired_)
        turn();
    });
    return;
  }
  turn_timer_.expires_after(std::chrono::microseconds(due));
  turn_timer_.async_wait([this](const boost::system::error_code& e2) {
    if (!e2 && turn_due_ && !retired_)
      turn();
  });
}

void DecisionDriver::turn() {
  turn_due_ = false;
  turn_timer_.cancel();
  last_turn_ = std::max(last_turn_ + 1, monotonicNow());
  std::vector<Event> events;
  events.swap(events_);
  carryOut(sender_.decide(last_turn_, events));
}

// First the refusals of what has just come, then the journal, then all that it promises.
void DecisionDriver::carryOut(const std::vector<Action>& actions) {
  for (const Action& a : actions) {
    if (const auto* r = std::get_if<Reject>(&a))
      end(r->id, true, r->retry_after);
    if (const auto* f = std::get_if<Fail>(&a))
      end(f->id, false, 0);
    if (const auto* h = std::get_if<HealthRecord>(&a))
      journal_.recordHealth(*h);
  }
  for (const std::string& id : fresh_)
    journal_.recordAccepted(held_.at(id).message);
  std::vector<std::pair<const SendAttempt*, int>> sends;
  for (const Action& a : actions) {
    const auto* s = std::get_if<SendAttempt>(&a);
    if (!s)
      continue;
    auto it = held_.find(s->id);
    if (it == held_.end())
      continue;
    journal_.recordAttempt(s->id, {s->endpoint, monotonicNow(), false});
    sends.emplace_back(s, static_cast<int>(it->second.attempts.size()));
    it->second.attempts.push_back(s->endpoint);
  }
  const bool kept = journal_.flush();
  if (!kept)
    logFlushFailure(journal_);
  for (const std::string& id : fresh_) {
    Held& h = held_.at(id);
    const ClientServer::Reply reply = std::move(h.reply);
    h.reply = nullptr;
    if (!kept) {  // nothing is taken on that a restart would forget
      journal_.recordCompleted(id);
      held_.erase(id);
      add(Abandoned{id});
    }
    reply(kept ? "+OK" : busy(settings_.max_retry_after));
  }
  fresh_.clear();
  std::size_t next = 0;
  for (const Action& a : actions) {
    if (const auto* s = std::get_if<SendAttempt>(&a)) {
      if (next >= sends.size() || sends[next].first != s)
        continue;
      const int attempt = sends[next++].second;
      auto it = held_.find(s->id);
      if (kept) {
        const AcceptedMessage& m = it->second.message;
        endpoints_.startCall(m, attempt, s->endpoint,
                             std::min(Deadline::after(monotonicNow(), s->timeout), m.deadline));
        continue;
      }
      AttemptOutcome o;
      o.id = s->id;
      o.attempt = attempt;
      o.result = AttemptResult::not_sent;
      onOutcome(std::move(o));
    } else if (const auto* c = std::get_if<CancelAttempt>(&a)) {
      const CallId call{c->id, c->attempt};
      if (!endpoints_.cancel(call))
        cancel_elsewhere_(call);
    } else if (const auto* i = std::get_if<CloseIdleConnections>(&a)) {
      endpoints_.closeIdle(i->endpoint);
    } else if (const auto* w = std::get_if<SetTimer>(&a)) {
      wakes_.insert(last_turn_ + w->delay);
    }
  }
  wake();
}

// The module has ended a message: the client hears it at once, or by a notice if it was taken on before.
void DecisionDriver::end(const std::string& id, bool handed_back, Micros pause) {
  auto it = held_.find(id);
  if (it == held_.end())
    return;
  if (it->second.reply) {
    const ClientServer::Reply reply = std::move(it->second.reply);
    fresh_.erase(id);
    held_.erase(it);
    return reply(handed_back ? busy(pause) : "-ERR given up");
  }
  const CompletionNotice n{handed_back, (pause + 999) / 1000};
  journal_.recordNoticePending(id, n);
  held_.erase(it);
  notices_.enqueue(id, n);
}

void DecisionDriver::wake() {
  if (wakes_.empty())
    return;
  wake_timer_.expires_after(std::chrono::microseconds(std::max<Micros>(0, *wakes_.begin() - monotonicNow())));
  wake_timer_.async_wait([this](const boost::system::error_code& e) {
    if (e)
      return;
    const Micros now = monotonicNow();
    bool due = false;
    while (!wakes_.empty() && *wakes_.begin() <= now) {
      wakes_.erase(wakes_.begin());
      due = true;
    }
    if (due)
      add(TimerFired{});
    wake();
  });
}

}  // namespace delivery
