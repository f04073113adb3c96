// Makes the calls to endpoints over a pool of connections, and reports the outcome of each call. The decision
// module decides when a call is made and how long it may take, and EndpointConnectionAccounting how many
// connections there may be.
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
#include "network/idle_connections.h"
#include "storage/submitted_message.h"

namespace delivery {

class EndpointPool {
 public:
  // Receives the outcome of a call, or its Retry-After while it is still in flight. Called from the event
  // loop, never from within startCall() or cancel().
  using OnOutcome = std::function<void(AttemptOutcome)>;
  // Called after the calls that are not yet written were withdrawn: for a drain of the endpoint, or, if
  // `destination` is set, for a Retry-After. Another process of this sender may have such calls as well.
  using OnCallsWithdrawn =
      std::function<void(const std::string& endpoint, std::optional<std::int64_t> destination)>;
  struct Limits {
    Micros connect_timeout = 0;
    Micros idle_timeout = 0;  // after which endpoints close an idle connection; 0: they do not
  };

  EndpointPool(boost::asio::io_context& io, Limits limits, EndpointConnectionAccounting& accounting,
               OnOutcome on_outcome, OnCallsWithdrawn on_calls_withdrawn = {});

  // Adds a listed endpoint or changes its address. `has_own_route`: a Retry-After of another endpoint of its
  // destination does not apply to it.
  void setEndpoint(const std::string& endpoint, const std::string& address, bool has_own_route = false);
  // All endpoints that were ever added.
  std::vector<std::string> knownEndpoints() const;
  // Starts a call, or queues it until a connection is available. No response is awaited after `deadline`;
  // queueing and connecting count towards that.
  void startCall(const SubmittedMessage& message, int attempt, const std::string& endpoint,
                 Deadline deadline);
  // Ends a call now. A response that has already arrived still counts. Returns false if this pool has no such
  // call.
  bool cancel(const CallId& id);
  // Withdraws the calls to the endpoint that are not yet written. They did not run: their result is not_sent.
  void onEndpointDraining(const std::string& endpoint);
  // Withdraws the calls that are not yet written and to which a Retry-After of the endpoint applies: those to
  // the endpoint if it has its own route, otherwise those to the destination. Their result is not_sent.
  void onRetryAfter(const std::string& endpoint, std::int64_t destination);
  // Closes the idle connections to the endpoint.
  void closeIdle(const std::string& endpoint) { idle_.close(endpoint); }
  void closeAllIdle() { idle_.closeAll(); }
  // To be called after the budget of the accounting has changed.
  void applyBudget();

  // Both include the calls whose outcome is still to be reported.
  std::vector<CallId> callsInFlight() const;
  std::size_t inFlightCount() const { return calls_.size() + unreported_.size(); }
  std::size_t idleCount() const { return accounting_.idleCount(); }

 private:
  struct Endpoint {
    std::string address;
    bool has_own_route = false;
  };
  // The state in which the accounting counts a call's connection.
  enum class ConnectionState { none, opening, in_use };
  struct Call {
    SubmittedMessage message;
    std::string endpoint;
    std::string address;  // of the endpoint when the connection was selected
    Micros started_at = 0;
    Deadline deadline;
    std::unique_ptr<HttpConnection> connection;
    ConnectionState connection_state = ConnectionState::none;
    std::unique_ptr<boost::asio::steady_timer> queue_timer;  // set while the call is queued for a connection
    bool is_cancelled = false;
    bool retry_after_reported = false;  // a Retry-After is reported once for each call
  };
  using Calls = std::map<CallId, Call>;

  // Starting a call.
  void startOrQueue(const CallId& id, Call& call);
  bool tryStart(const CallId& id, Call& call);
  bool reuseIdleConnection(Call& call);
  bool canOpenConnection(const std::string& endpoint);
  bool createConnection(Call& call);
  void sendRequest(const CallId& id, Call& call);
  void onConnected(const CallId& id);
  void queueForConnection(const CallId& id, Call& call);
  void onQueueTimeout(const CallId& id);
  void startQueued();

  // Ending a call.
  void onResponseHead(const CallId& id, const HttpResponse& head);
  void onExchangeCompleted(const CallId& id, const HttpResponse& response);
  AttemptOutcome outcomeOf(const CallId& id, const Call& call, const HttpResponse& response) const;
  void withdrawUnwritten(const std::function<bool(const Call&)>& matches);
  void postOutcome(const CallId& id, AttemptResult result, Micros started_at);
  void releaseConnection(Call& call);
  void keepIdle(Call& call);

  boost::asio::io_context& io_;
  Limits limits_;
  EndpointConnectionAccounting& accounting_;
  OnOutcome on_outcome_;
  OnCallsWithdrawn on_calls_withdrawn_;
  std::map<std::string, Endpoint> endpoints_;
  IdleConnections idle_;
  Calls calls_;
  std::set<CallId> unreported_;  // ended calls whose outcome is posted to the event loop
  std::deque<CallId> queued_;    // for a connection, oldest first; may contain calls that have ended
};

}  // namespace delivery
