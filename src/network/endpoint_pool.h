// Calls to endpoints: the connection pool, and the outcome of each call. No policy: when a call
// is made and how long it may take is told by the module, how many connections there may be by
// EndpointConnectionAccounting.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "common/call_id.h"
#include "common/clocks.h"
#include "network/endpoint_connection_accounting.h"
#include "network/http_connection.h"
#include "storage/journal.h"

namespace delivery {

class EndpointPool {
 public:
  using OnOutcome = std::function<void(AttemptOutcome)>;
  struct Limits {
    Micros dial_timeout = 0, conn_idle = 0;
  };
  // A wait was told, or a drain, where no destination is named: another process may have calls there, too.
  using OnHeld = std::function<void(const std::string& endpoint, std::optional<std::int64_t> destination)>;
  EndpointPool(boost::asio::io_context& io, Limits limits, EndpointConnectionAccounting& accounting,
               OnOutcome on_outcome, OnHeld on_held = {});

  // As listed, new or changed. `apart`: a route of its own, which no wait of another route holds for.
  void setAddress(const std::string& endpoint, const std::string& address, bool apart = false);
  // `until`: no answer is waited for any longer, connecting included.
  void startCall(const AcceptedMessage& m, int attempt, const std::string& endpoint, Deadline until);
  // False: no such call is out from here. What its answer has told by then still counts.
  bool cancel(const CallId& id);
  void closeIdle(const std::string& endpoint);
  std::vector<std::string> knownEndpoints() const;  // those with an address so far
  void onEndpointDraining(
      const std::string& endpoint);  // nothing new goes there: what is not written yet never is
  void closeAllIdle();
  // A wait that another process was told: what is not written yet heeds it.
  void onRetryAfter(const std::string& endpoint, std::int64_t destination);
  std::vector<CallId> callsInFlight() const;  // those out, or with an outcome that is still to be told
  void applyBudget();
  std::size_t inFlightCount() const { return calls_.size() + untold_.size(); }
  std::size_t idle() const { return accounting_.idleCount(); }

 private:
  struct Idle {
    std::unique_ptr<HttpConnection> connection;
    Micros since = 0;
  };
  struct Peer {
    std::string address;
    bool apart = false;
  };
  struct Call {
    enum class On { none, opening, open };  // whether it has a connection
    std::unique_ptr<HttpConnection> connection;
    std::unique_ptr<boost::asio::steady_timer> patience;  // while it waits for one
    std::string endpoint, address;
    AcceptedMessage message;
    std::int64_t destination = 0;
    Micros began = 0;
    Deadline until;
    On on = On::none;
    bool called_off = false, wait_heard = false;
  };
  bool start(const CallId& id, Call& call);  // false: it has to wait for a connection
  void wait(const CallId& id, Call& call);
  void startWaiting();
  void withdrawUnwritten(const std::function<bool(const Call&)>& which);
  void onResponseHead(const CallId& id, const HttpAnswer& head);
  void releaseConnection(Call& call);  // its connection's place in the budget
  void onExchangeCompleted(const CallId& id, const HttpAnswer& answer);
  void reportOutcome(const CallId& id, AttemptResult result, Micros began);
  void keep(Call& call);
  void closeOldest(const std::string& endpoint);
  void sweep();

  boost::asio::io_context& io_;
  Limits limits_;
  EndpointConnectionAccounting& accounting_;
  OnOutcome on_outcome_;
  OnHeld on_held_;
  std::map<std::string, Peer> peers_;             // by endpoint
  std::map<std::string, std::deque<Idle>> idle_;  // by endpoint, the freshest last
  std::map<CallId, Call> calls_;
  std::set<CallId> untold_;     // over, and its outcome is queued
  std::deque<CallId> waiting_;  // for a connection, the longest first
  boost::asio::steady_timer sweeper_;
  bool sweeping_ = false;
};

}  // namespace delivery
