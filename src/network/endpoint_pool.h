// Calls to endpoints: the pool of connections, and the outcome of each call. It decides nothing: the decision
// module says when a call is made and how long it may take, EndpointConnectionAccounting how many connections
// there may be.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/call_id.h"
#include "common/clocks.h"
#include "common/events.h"
#include "network/endpoint_connection_accounting.h"
#include "network/http_connection.h"
#include "storage/submitted_message.h"

namespace delivery {

class EndpointPool {
 public:
  // Called from the event loop, never from within startCall() or cancel().
  using OnOutcome = std::function<void(AttemptOutcome)>;
  // Calls that are not written yet were withdrawn, at the endpoint for a drain, or where a destination is
  // named for a Retry-After: another process of this sender may have such calls as well.
  using OnCallsWithdrawn =
      std::function<void(const std::string& endpoint, std::optional<std::int64_t> destination)>;
  struct Limits {
    Micros connect_timeout = 0;
    Micros idle_timeout = 0;  // after which endpoints close an idle connection; 0: none
  };

  EndpointPool(boost::asio::io_context& io, Limits limits, EndpointConnectionAccounting& accounting,
               OnOutcome on_outcome, OnCallsWithdrawn on_calls_withdrawn = {});

  // Of an endpoint that is listed, new or changed. `has_own_route`: a Retry-After of another endpoint of its
  // destination does not hold for it.
  void setEndpoint(const std::string& endpoint, const std::string& address, bool has_own_route = false);
  std::vector<std::string> knownEndpoints() const;
  // No answer is awaited after `deadline`, connecting included.
  void startCall(const SubmittedMessage& message, int attempt, const std::string& endpoint,
                 Deadline deadline);
  // False: there is no such call here. An answer that has arrived by now still counts.
  bool cancel(const CallId& id);
  // Calls that are not written yet are withdrawn: they did not run.
  void onEndpointDraining(const std::string& endpoint);
  void onRetryAfter(const std::string& endpoint, std::int64_t destination);
  void closeIdle(const std::string& endpoint);
  void closeAllIdle();
  void applyBudget();  // that of the accounting has changed

  std::vector<CallId> callsInFlight() const;  // including those whose outcome is still to be reported
  std::size_t inFlightCount() const { return calls_.size() + unreported_.size(); }
  std::size_t idleCount() const { return accounting_.idleCount(); }

 private:
  struct IdleConnection {
    std::unique_ptr<HttpConnection> connection;
    Micros idle_since = 0;
  };
  struct Endpoint {
    std::string address;
    bool has_own_route = false;
  };
  enum class ConnectionState { none, opening, in_use };  // as the accounting has it
  struct Call {
    SubmittedMessage message;
    std::string endpoint;
    std::string address;  // its endpoint's, when the connection was chosen
    Micros started_at = 0;
    Deadline deadline;
    std::unique_ptr<HttpConnection> connection;
    ConnectionState connection_state = ConnectionState::none;
    std::unique_ptr<boost::asio::steady_timer> queue_timer;  // while it is queued for a connection
    bool is_cancelled = false;
    bool retry_after_reported = false;
  };
  using Calls = std::map<CallId, Call>;

  // Starting a call.
  void startOrQueue(const CallId& id, Call& call);
  bool tryStart(const CallId& id, Call& call);
  bool takeIdleConnection(Call& call);
  bool canOpenConnection(const std::string& endpoint);
  bool createConnection(Call& call);
  void sendRequest(const CallId& id, Call& call);
  void onConnected(const CallId& id);
  void queueForConnection(const CallId& id, Call& call);
  void onQueueTimeout(const CallId& id);
  void startQueued();

  // Ending it.
  void onResponseHead(const CallId& id, const HttpResponse& head);
  void onExchangeCompleted(const CallId& id, const HttpResponse& answer);
  AttemptOutcome outcomeOf(const CallId& id, const Call& call, const HttpResponse& answer) const;
  void withdrawUnwritten(const std::function<bool(const Call&)>& matches);
  void reportLater(const CallId& id, AttemptResult result, Micros started_at);
  void releaseConnection(Call& call);  // in the accounting

  // Idle connections.
  void keepIdle(Call& call);
  void closeOldestIdle(const std::string& endpoint);
  void scheduleIdleSweep();
  void closeExpiredIdle(Micros now);
  std::optional<Micros> nextIdleExpiry() const;
  Micros maxIdleTime() const;

  boost::asio::io_context& io_;
  Limits limits_;
  EndpointConnectionAccounting& accounting_;
  OnOutcome on_outcome_;
  OnCallsWithdrawn on_calls_withdrawn_;
  std::map<std::string, Endpoint> endpoints_;
  std::map<std::string, std::deque<IdleConnection>> idle_;  // by endpoint, the oldest first
  Calls calls_;
  std::set<CallId> unreported_;  // ended, the report of the outcome is posted to the event loop
  std::deque<CallId> queued_;    // for a connection, the oldest first; may name calls that have ended
  boost::asio::steady_timer idle_timer_;
  bool idle_sweep_scheduled_ = false;
};

}  // namespace delivery
