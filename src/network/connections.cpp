// Who is let in and who goes; see connections.h.
#include "network/connections.h"

#include <algorithm>
#include <tuple>

#include "protocol/json_fields.h"
#include "protocol/resp.h"

namespace delivery {

namespace {

constexpr Micros kMs = 1000;
// What a peer may take. The platform wants one that sends no proper request answered or closed within 3 s of
// connecting, and lets a connection with no open request be closed after 2 s.
constexpr Micros kFirstRequest = 2000 * kMs, kRestOfRequest = 1000 * kMs, kTakesReply = 1000 * kMs;
constexpr Micros kReadsLate = 20 * kMs;            // what is in the socket is read in the loop's next turn
constexpr Micros kFirstWhenDraining = 1000 * kMs;  // no connection outlasts a drain's first 4 s
constexpr Micros kJustCome = 100 * kMs;            // its first request is on the way
// A machine that vanished leaves its connections open and silent; clients that rest for longer connect anew.
constexpr Micros kLongestRest = 60'000 * kMs;
// Under pressure: how long each kind must have been silent to make room.
constexpr Micros kNothingSent = 20 * kMs, kTakesError = 500 * kMs, kHalfSent = 500 * kMs,
                 kRested = 2000 * kMs;
// A client's connection that rests, while another peer holds more: that peer's will soon have rested for
// long.
constexpr Micros kRestedWithFewer = 2 * kRested;
constexpr Micros kPressureOver = 1000 * kMs;  // so long nobody had to go
constexpr Micros kCallerStalls = 2000 * kMs;  // at the control address: bad input is owed an end within 3 s

// Descriptors of one process besides its connections: standard streams, event loop, signals, journal, lock,
// links, listeners, the agents' connections, and operators that call.
constexpr std::int64_t kOwnFiles = 20 + Budget::kMostCallers;
// While one serves, another may be starting up: it has no client, journal or agent yet.
constexpr std::int64_t kStartingFiles = 12 + Budget::kMostCallers;
constexpr std::int64_t kLeastRoom = 8;      // for clients and idle connections
constexpr std::int64_t kShareOfMemory = 8;  // one part in so many may hold buffered requests

}  // namespace

Budget budgetOf(const ProcessLimits& l, bool beside_older) {
  const std::int64_t room = l.sockets - kOwnFiles - kStartingFiles - l.slots;
  if (room < kLeastRoom)
    throw InvalidInput(InputProblem::out_of_range, "limits.sockets",
                       "limits.sockets is too small: " + std::to_string(l.sockets) + " of at least " +
                           std::to_string(kOwnFiles + kStartingFiles + l.slots + kLeastRoom));
  Budget b;
  b.buffered = static_cast<std::size_t>(std::max<std::int64_t>(0, l.memory_bytes / kShareOfMemory));
  if (b.buffered < kLongestRequest)
    throw InvalidInput(InputProblem::out_of_range, "limits.memory_mb",
                       "limits.memory_mb is too small: " + std::to_string(l.memory_bytes / 1'000'000) +
                           " of at least " +
                           std::to_string((kLongestRequest * kShareOfMemory + 999'999) / 1'000'000));
  // A quarter of the room for idle connections to endpoints, which a crowd of clients must not fill.
  b.idle_calls = room / 4;
  b.calls = l.slots + b.idle_calls;
  const std::int64_t older = beside_older ? kOwnFiles - kStartingFiles + l.slots : 0;
  b.clients = std::max(kLeastRoom, room - b.idle_calls - older);
  b.requests = std::max<std::int64_t>(1, std::min(b.clients, l.sockets / 3));
  // As many as the module sends: a call that waits for a connection may leave after the window in which its
  // destination drops repeats, for which the module looks when it decides.
  b.handshakes = l.slots;
  return b;
}

// ---- Tables of connections with deadlines

std::vector<Connections::Id> Connections::overdue(const Table& t, Micros now) {
  std::vector<Id> out;
  for (const auto& [at, id] : t.deadlines) {
    if (at > now)
      break;
    out.push_back(id);
  }
  return out;
}

Micros Connections::nextDeadline(const Table& t) {
  return t.deadlines.empty() ? kNever : t.deadlines.begin()->first;
}

void Connections::setDeadline(Table& t, Id id, Micros at) {
  Connection& c = t.all.at(id);
  t.deadlines.erase({c.deadline, id});
  c.deadline = at;
  if (at != kNever)
    t.deadlines.emplace(at, id);
}

void Connections::drop(Table& t, Id id) {
  const auto it = t.all.find(id);
  if (it == t.all.end())
    return;
  t.deadlines.erase({it->second.deadline, id});
  t.all.erase(it);
}

// ---- ClientServer

Connections::Id Connections::clientCame(const std::string& peer, Micros now) {
  const Id id = ++next_id_;
  Connection& c = clients_.all[id];
  c.peer = peer;
  c.came = c.since = now;
  c.of = &peers_[peer];
  ++c.of->connections;
  setDeadline(clients_, id, now + (draining_ ? kFirstWhenDraining : kFirstRequest));
  return id;
}

void Connections::setBytes(Connection& c, std::size_t bytes) {
  pooled_ = pooled_ - pooled(c.bytes) + pooled(bytes);
  c.of->bytes = c.of->bytes - c.bytes + bytes;
  c.bytes = bytes;
}

// The first bytes are free for all, so that those who fill the pool with long requests don't hold up others.
std::size_t Connections::mayRead(Id id) {
  Connection& c = clients_.all.at(id);
  if (c.state == State::closing)
    return kFreeBytes;  // thrown away
  const std::size_t left = budget_.buffered > pooled_ ? budget_.buffered - pooled_ : 0;
  const std::size_t free = c.bytes < kFreeBytes ? kFreeBytes - c.bytes : 0;
  const std::size_t most = std::min(kLongestRequest - std::min(c.bytes, kLongestRequest), left + free);
  if (most == 0 && !c.stalled)
    stalled_.push_back(id);
  c.stalled = most == 0;
  return most;
}

std::optional<Connections::Id> Connections::nextReader() {
  while (!stalled_.empty()) {
    const auto it = clients_.all.find(stalled_.front());
    if (it != clients_.all.end() && it->second.stalled) {
      if (pooled_ >= budget_.buffered)
        return std::nullopt;
      it->second.stalled = false;
      stalled_.pop_front();
      return it->first;
    }
    stalled_.pop_front();
  }
  return std::nullopt;
}

void Connections::received(Id id, std::size_t bytes, Micros now) {
  Connection& c = clients_.all.at(id);
  c.since = now;
  c.unread = false;
  if (c.state != State::closing)
    setBytes(c, c.bytes + bytes);
}

// Not prolonged by what drips in, nor by a request begun late: a deadline that is nearer stays.
void Connections::partial(Id id, Micros now) {
  Connection& c = clients_.all.at(id);
  if (c.state == State::reading)
    return;
  c.state = State::reading;
  setDeadline(clients_, id, std::min(c.deadline, now + kRestOfRequest));
}

bool Connections::whole(Id id, Micros now) {
  Connection& c = clients_.all.at(id);
  c.state = State::waiting;
  c.since = now;
  c.read_late = false;
  setDeadline(clients_, id, kNever);  // it is not closed unanswered, and the answer comes by itself
  if (open_requests_ >= budget_.requests) {
    turns_.push_back(id);
    return false;
  }
  c.open_request = true;
  ++open_requests_;
  return true;
}

std::optional<Connections::Id> Connections::nextTurn() {
  while (!turns_.empty() && open_requests_ < budget_.requests) {
    const Id id = turns_.front();
    turns_.pop_front();
    const auto it = clients_.all.find(id);
    if (it == clients_.all.end())
      continue;
    it->second.open_request = true;
    ++open_requests_;
    return id;
  }
  return std::nullopt;
}

void Connections::taken(Id id, std::size_t left) {
  setBytes(clients_.all.at(id), left);
}

void Connections::answering(Id id, bool useful, Micros now) {
  Connection& c = clients_.all.at(id);
  c.useful = c.useful || useful;
  c.was_answered = true;
  setDeadline(clients_, id, now + kTakesReply);
}

void Connections::endRequest(Connection& c) {
  if (!c.open_request)
    return;
  c.open_request = false;
  --open_requests_;
}

bool Connections::answered(Id id, bool more_came, Micros now) {
  Connection& c = clients_.all.at(id);
  endRequest(c);
  c.since = now;
  if (c.state == State::closing)
    return true;  // the deadline for its answer covers what is thrown away, too
  c.state = State::idle;
  setDeadline(clients_, id, now + (c.useful ? kLongestRest : kFirstRequest));
  return !draining_ || more_came;
}

void Connections::closing(Id id, Micros now) {
  Connection& c = clients_.all.at(id);
  endRequest(c);
  setBytes(c, 0);
  c.state = State::closing;
  setDeadline(clients_, id, now + kTakesReply);
}

// What waits in the socket may be a whole request, unread while this process was busy: its close would lose
// it. Once for each request, so that what drips in prolongs nothing.
bool Connections::endsOverdue(Id id, bool input_waits, Micros now) {
  Connection& c = clients_.all.at(id);
  const bool reads = c.state == State::fresh || c.state == State::reading || c.state == State::idle;
  if (!reads || !input_waits || c.stalled || c.read_late)
    return true;
  c.read_late = true;
  setDeadline(clients_, id, now + kReadsLate);
  return false;
}

void Connections::unread(Id id) {
  clients_.all.at(id).unread = true;
}

void Connections::clientGone(Id id) {
  const auto it = clients_.all.find(id);
  if (it == clients_.all.end())
    return;
  Connection& c = it->second;
  endRequest(c);
  setBytes(c, 0);
  if (--c.of->connections == 0)
    peers_.erase(c.peer);
  drop(clients_, id);
}

// An open request never goes. A client in the middle of a request has a deadline for the rest of it. Who was
// answered and handed in nothing holds a place no longer than who sent nothing: guards against a crowd that
// asks once and stays, behind which clients would wait for longer than they wait for an answer.
Micros Connections::mayGoAfter(const Connection& c) {
  if (c.unread)
    return kNever;  // it will be read in its turn: guards against looking at it again and again
  switch (c.state) {
    case State::fresh:
      return kNothingSent;
    case State::reading:
      return c.useful ? kNever : kHalfSent;
    case State::idle:
      return c.useful ? kRested : kNothingSent;
    case State::closing:
      return kTakesError;
    case State::waiting:
      break;
  }
  return kNever;
}

// Max-min fair: of the peer that holds the most. Among its connections who never was useful goes first, and
// there who sent nothing, then who only asked, then who sent half a request; of each kind the longest silent.
// What a client uses goes last of all, unless its peer holds over half of the table: guards clients against a
// crowd from many addresses, and each close of theirs may cross their next message.
std::optional<Connections::Id> Connections::nextToGo(Micros now) const {
  const auto last = [&](const Connection& c) {
    return c.useful && 2 * c.of->connections <= clients_.all.size();
  };
  const auto order = [&](Id id, const Connection& c) {
    return std::make_tuple(last(c), -static_cast<std::int64_t>(c.of->connections), c.useful,
                           c.state == State::reading, c.was_answered, c.since, id);
  };
  const std::pair<const Id, Connection>* first = nullptr;
  std::size_t most = 0;
  for (const auto& [address, peer] : peers_)
    most = std::max(most, peer.connections);
  for (const auto& entry : clients_.all) {
    const Connection& c = entry.second;
    Micros silent = mayGoAfter(c);
    if (silent == kRested && c.of->connections < most)
      silent = kRestedWithFewer;
    if (silent == kNever || now - c.since < silent)
      continue;
    if (!first || order(entry.first, c) < order(first->first, first->second))
      first = &entry;
  }
  if (!first)
    return std::nullopt;
  // A client that rests is kept while one that is of no use may go soon.
  const auto stranger = [&](const auto& entry) {
    const Connection& c = entry.second;
    return (last(first->second) || c.of == first->second.of) && !c.useful && mayGoAfter(c) != kNever;
  };
  if (first->second.useful && std::any_of(clients_.all.begin(), clients_.all.end(), stranger))
    return std::nullopt;
  return first->first;
}

// While somebody waits to be read: half a request of the peer that has the most buffered.
std::optional<Connections::Id> Connections::nextToGoForBytes(Micros now) const {
  const auto order = [&](Id id, const Connection& c) {
    return std::make_tuple(c.of->bytes, c.bytes, now - c.since, id);
  };
  const std::pair<const Id, Connection>* first = nullptr;
  for (const auto& entry : clients_.all) {
    const Connection& c = entry.second;
    if (c.state != State::reading || pooled(c.bytes) == 0 || c.unread || now - c.since < kHalfSent)
      continue;
    if (!first || order(entry.first, c) > order(first->first, first->second))
      first = &entry;
  }
  return first ? std::optional<Id>(first->first) : std::nullopt;
}

// A connection that has just come has its first request on the way: it is closed once that is answered.
std::vector<Connections::Id> Connections::drain(Micros now) {
  draining_ = true;
  std::vector<Id> out;
  for (auto& [id, c] : clients_.all) {
    const bool just_come = c.state == State::fresh && now - c.since < kJustCome;
    if (just_come)
      setDeadline(clients_, id, std::min(c.deadline, now + kFirstWhenDraining));
    else if (c.state == State::fresh || c.state == State::idle)
      out.push_back(id);
  }
  return out;
}

void Connections::madeRoom(Id id, Micros now) {
  if (pressure_from_ == kNever) {
    pressure_from_ = now;
    pressure_told_ = false;
    made_room_ = 0;
    made_room_of_.clear();
  }
  last_made_room_ = now;
  ++made_room_;
  const auto it = clients_.all.find(id);
  if (it != clients_.all.end())
    ++made_room_of_[it->second.peer];
}

std::string Connections::pressureNews(Micros now) {
  if (pressure_from_ == kNever)
    return "";
  if (!pressure_told_) {
    pressure_told_ = true;
    return "connections: " + std::to_string(clients_.all.size()) + " of " + std::to_string(budget_.clients) +
           " from " + std::to_string(peers_.size()) + " peers, closing some to make room";
  }
  if (now - last_made_room_ < kPressureOver)
    return "";
  const auto most = std::max_element(made_room_of_.begin(), made_room_of_.end(),
                                     [](const auto& a, const auto& b) { return a.second < b.second; });
  const std::string of =
      most == made_room_of_.end() ? "" : ", " + std::to_string(most->second) + " of them from " + most->first;
  const std::string news = "connections: room again after " +
                           std::to_string((last_made_room_ - pressure_from_) / kMs) + " ms, " +
                           std::to_string(made_room_) + " closed" + of;
  pressure_from_ = kNever;
  return news;
}

// ---- Callers at the control address

std::optional<Connections::Id> Connections::callerToGo() const {
  if (count(callers_) < Budget::kMostCallers)
    return std::nullopt;
  return callers_.all.begin()->first;  // the oldest: numbers go up
}

Connections::Id Connections::callerCame(Micros now) {
  const Id id = ++next_id_;
  callers_.all[id].since = now;
  setDeadline(callers_, id, now + kCallerStalls);
  return id;
}

// ---- Connections to endpoints

bool Connections::mayOpen(const std::string& endpoint) const {
  const auto it = endpoints_.find(endpoint);
  if (it != endpoints_.end() && it->second.opening >= budget_.handshakes)
    return false;
  return !allUsed();
}

void Connections::opening(const std::string& endpoint) {
  ++endpoints_[endpoint].opening;
  ++opening_;
}

void Connections::opened(const std::string& endpoint) {
  ++endpoints_[endpoint].in_call;
  ++in_call_;
  failedToOpen(endpoint);  // it opens no longer
}

void Connections::failedToOpen(const std::string& endpoint) {
  --endpoints_[endpoint].opening;
  --opening_;
  forget(endpoint);
}

void Connections::reused(const std::string& endpoint) {
  ++endpoints_[endpoint].in_call;
  ++in_call_;
  idleClosed(endpoint);
}

void Connections::kept(const std::string& endpoint) {
  ++endpoints_[endpoint].idle;
  ++idle_;
  callClosed(endpoint);
}

void Connections::callClosed(const std::string& endpoint) {
  --endpoints_[endpoint].in_call;
  --in_call_;
  forget(endpoint);
}

void Connections::idleClosed(const std::string& endpoint, std::size_t how_many) {
  endpoints_[endpoint].idle -= static_cast<std::int64_t>(how_many);
  idle_ -= static_cast<std::int64_t>(how_many);
  forget(endpoint);
}

void Connections::forget(const std::string& endpoint) {
  const auto it = endpoints_.find(endpoint);
  const ToEndpoint& c = it->second;
  if (c.opening == 0 && c.in_call == 0 && c.idle == 0)
    endpoints_.erase(it);
}

std::optional<std::string> Connections::idleToCloseFor(const std::string& endpoint) const {
  return allUsed() ? idleToGo(endpoint) : std::nullopt;
}

std::optional<std::string> Connections::idleTooMany() const {
  return mayKeep() || idle_ == budget_.idle_calls ? std::nullopt : idleToGo("");
}

// Of the endpoint with the most, if that has more than the one that wants a place: max-min fair here, too.
std::optional<std::string> Connections::idleToGo(const std::string& wants) const {
  const auto own = endpoints_.find(wants);
  std::int64_t most = own == endpoints_.end() ? 0 : own->second.idle;
  std::optional<std::string> first;
  for (const auto& [endpoint, c] : endpoints_) {
    if (c.idle <= most)
      continue;
    most = c.idle;
    first = endpoint;
  }
  return first;
}

}  // namespace delivery
