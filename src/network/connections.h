// Who is let in and who goes: one budget of descriptors for clients, operators and endpoints. Plain
// rules, fed with events and time on the monotonic clock; the sockets are with clients, control and
// endpoints.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "decision/scheduler.h"

namespace delivery {

// How one process divides the descriptors that it may hold, and what it may buffer of requests.
struct Budget {
  static constexpr std::int64_t kMostCallers = 8;  // at the control address
  std::int64_t clients = 0;                        // connections of clients
  std::int64_t requests = 0;                       // of these, in an open request
  std::int64_t calls = 0;                          // connections to endpoints, idle ones counted
  std::int64_t idle_calls = 0;                     // of these, idle ones
  std::int64_t handshakes = 0;                     // of these, being opened to one endpoint
  std::size_t buffered = 0;                        // bytes beyond the first few of each connection
};

struct ProcessLimits {
  std::int64_t sockets = 0, memory_bytes = 0;
  int slots = 0;
};

// `beside_older`: a process that only ends its calls shares the descriptors. Throws InvalidInput that names
// the figure when the limits can't hold what is set aside.
Budget budgetOf(const ProcessLimits& limits, bool beside_older);

class Connections {
 public:
  using Id = std::uint64_t;
  enum class State {
    fresh,    // nothing came yet
    reading,  // a part of a request
    waiting,  // a whole request, until its answer is written
    idle,     // between requests
    closing   // told what is wrong; what still comes is thrown away
  };
  static constexpr Micros kNever = INT64_MAX;
  static constexpr std::size_t kFreeBytes = 4096;  // that each connection may buffer at any time

  explicit Connections(const Budget& budget) : budget_(budget) {}
  void setBudget(const Budget& budget) { budget_ = budget; }
  const Budget& budget() const { return budget_; }

  // ClientServer. Each event names a connection by the number that it got when it came.
  bool clientFits() const { return count(clients_) < budget_.clients; }
  bool tooMany() const { return count(clients_) > budget_.clients; }
  Id clientCame(const std::string& peer, Micros now);
  std::size_t mayRead(Id id);  // bytes; none: not before nextReader() names it
  void received(Id id, std::size_t bytes, Micros now);
  void partial(Id id, Micros now);  // what is buffered is a part of a request
  // A whole request is buffered. True: it is carried out now. False: once nextTurn() names it.
  bool whole(Id id, Micros now);
  void taken(Id id, std::size_t left);               // out of the buffer, which now holds so much
  void answering(Id id, bool useful, Micros now);    // useful: it handed in a message in proper form
  bool answered(Id id, bool more_came, Micros now);  // false: to be closed now
  void closing(Id id, Micros now);                   // after its answer, or now
  void unread(Id id);                                // input waits in its socket
  void clientGone(Id id);
  std::optional<Id> nextTurn();
  std::optional<Id> nextReader();
  // Under pressure: the connection to close, if one may go now.
  std::optional<Id> nextToGo(Micros now) const;
  bool readersWait() const { return !stalled_.empty(); }
  std::optional<Id> nextToGoForBytes(Micros now) const;
  std::vector<Id> drain(Micros now);  // those to close now, unless they have sent something unread
  void undrain() { draining_ = false; }
  bool draining() const { return draining_; }
  std::vector<Id> overdueClients(Micros now) const { return overdue(clients_, now); }
  bool endsOverdue(Id id, bool input_waits, Micros now);  // false: what waits in its socket is read first
  Micros nextClientDeadline() const { return nextDeadline(clients_); }
  State state(Id id) const { return clients_.all.at(id).state; }
  Micros deadline(Id id) const { return clients_.all.at(id).deadline; }
  std::size_t clients() const { return clients_.all.size(); }
  std::int64_t openRequests() const { return open_requests_; }
  std::size_t buffered() const { return pooled_; }

  // A stretch of pressure, for the log: one line when it begins and one when it is over, else nothing.
  void madeRoom(Id id, Micros now);
  std::string pressureNews(Micros now);
  bool underPressure() const { return pressure_from_ != kNever; }

  // Callers at the control address: who has stalled longest makes room.
  std::optional<Id> callerToGo() const;
  Id callerCame(Micros now);
  void callerGone(Id id) { drop(callers_, id); }
  std::vector<Id> overdueCallers(Micros now) const { return overdue(callers_, now); }
  Micros nextCallerDeadline() const { return nextDeadline(callers_); }
  std::size_t callers() const { return callers_.all.size(); }

  // Connections to endpoints: being opened, in a call, and idle.
  bool mayOpen(const std::string& endpoint) const;
  void opening(const std::string& endpoint);
  void opened(const std::string& endpoint);
  void failedToOpen(const std::string& endpoint);
  void reused(const std::string& endpoint);
  bool mayKeep() const { return idle_ < budget_.idle_calls; }
  void kept(const std::string& endpoint);        // its call is over, the connection stays
  void callClosed(const std::string& endpoint);  // with its call
  void idleClosed(const std::string& endpoint, std::size_t how_many = 1);
  // The endpoint whose longest idle connection goes, if any does: for one that `endpoint` is to keep ...
  std::optional<std::string> idleToGo(const std::string& endpoint) const;
  // ... or to open, while there is no room; or because a new budget has less.
  std::optional<std::string> idleToCloseFor(const std::string& endpoint) const;
  std::optional<std::string> idleTooMany() const;
  std::size_t idleCalls() const { return static_cast<std::size_t>(idle_); }
  std::int64_t callConnections() const { return opening_ + in_call_ + idle_; }

 private:
  struct Peer {
    std::size_t connections = 0, bytes = 0;
  };
  struct Connection {
    State state = State::fresh;
    std::string peer;
    Peer* of = nullptr;
    Micros came = 0, since = 0;  // since: of its silence
    Micros deadline = kNever;
    std::size_t bytes = 0;
    bool useful = false;        // it handed in a message in proper form
    bool was_answered = false;  // anything
    bool open_request = false;  // counted as one; a waiting one that is not waits for its turn
    bool stalled = false;       // for bytes to buffer
    bool unread = false;        // input waits in its socket
    bool read_late = false;     // its deadline has come, and what waited in its socket was to be read first
  };
  struct Table {
    std::map<Id, Connection> all;
    std::set<std::pair<Micros, Id>> deadlines;
  };
  bool allUsed() const { return opening_ + in_call_ + idle_ >= budget_.calls; }
  struct ToEndpoint {
    std::int64_t opening = 0, in_call = 0, idle = 0;
  };
  void forget(const std::string& endpoint);  // if there is no connection to it

  static std::int64_t count(const Table& t) { return static_cast<std::int64_t>(t.all.size()); }
  static std::vector<Id> overdue(const Table& t, Micros now);
  static Micros nextDeadline(const Table& t);
  static void setDeadline(Table& t, Id id, Micros at);
  static void drop(Table& t, Id id);
  static std::size_t pooled(std::size_t bytes) { return bytes > kFreeBytes ? bytes - kFreeBytes : 0; }
  void setBytes(Connection& c, std::size_t bytes);
  void endRequest(Connection& c);
  static Micros mayGoAfter(const Connection& c);  // so long silent

  Budget budget_;
  Id next_id_ = 0;
  Table clients_, callers_;
  std::map<std::string, Peer> peers_;
  std::deque<Id> turns_, stalled_;
  std::int64_t open_requests_ = 0;
  std::size_t pooled_ = 0;
  bool draining_ = false;
  std::map<std::string, ToEndpoint> endpoints_;
  std::int64_t opening_ = 0, in_call_ = 0, idle_ = 0;
  Micros pressure_from_ = kNever, last_made_room_ = 0;
  std::size_t made_room_ = 0;
  std::map<std::string, std::size_t> made_room_of_;  // by peer
  bool pressure_told_ = false;
};

}  // namespace delivery
