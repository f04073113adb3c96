// Everything that belongs to the process that owns the journal.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <set>

#include "common/call_id.h"
#include "network/client_server.h"
#include "network/completion_notifier.h"
#include "network/endpoint_watch.h"
#include "process/configuration.h"
#include "process/decision_driver.h"
#include "process/handover_link.h"
#include "storage/journal.h"

namespace delivery {

// Recovers the journal, then serves clients, watches the endpoint list and listens for a successor. At most
// one process of a sender has one at a time, and only while it holds the ownership lock.
//
// Handlers of its sockets may be queued in the event loop when it steps down, so it has to be kept until the
// loop has ended.
class ActiveRole {
 public:
  struct Callbacks {
    // The decision module cancels a call that this process does not have; the predecessor may have it.
    std::function<void(const CallId&)> cancel_elsewhere;
    // A successor asks for the journal.
    std::function<void(std::shared_ptr<HandoverLink>)> on_successor;
  };
  struct RecoveryOptions {
    std::set<CallId>
        calls_in_flight;            // in this process or in its predecessor; their outcomes are still to come
    bool keep_retry_after = false;  // the Retry-After of endpoints still applies: true after a handover
  };

  // Throws std::runtime_error or boost::system::system_error if the journal can't be opened or the clients'
  // address can't be listened on.
  ActiveRole(boost::asio::io_context& io, const Configuration& configuration, EndpointPool& endpoints,
             ClientAdmission& admission, const RecoveryOptions& recovery, Callbacks callbacks);
  ActiveRole(const ActiveRole&) = delete;
  ActiveRole& operator=(const ActiveRole&) = delete;

  // Stops everything and writes the journal, which another process may own from then on.
  void stepDown();

  // While draining, PING fails and connections are closed between requests.
  void setDraining(bool draining);
  // New connections of clients wait in the listening socket.
  void pauseAccepting() { clients_.pauseAccepting(); }
  void resumeAccepting() { clients_.resumeAccepting(); }
  void applyBudget() { clients_.applyBudget(); }

  void onOutcome(AttemptOutcome outcome) { driver_.onOutcome(std::move(outcome)); }
  // The process ends at `end`, a point on the monotonic clock: no call is started that could last longer.
  void scheduleShutdown(Micros end) { driver_.scheduleShutdown(end); }
  void changeDiscovery(const tcp::endpoint& server, const std::string& host);

  bool hasEndpointList() const { return driver_.hasEndpointList(); }
  bool hasClients() const { return clients_.connectionCount() > 0; }
  bool hasUnansweredRequests() const { return clients_.unansweredRequests() > 0; }
  // No message, request or completion notice is pending.
  bool idle() const;

 private:
  const Micros recovery_started_at_;  // on the monotonic clock
  Journal journal_;
  CompletionNotifier notifier_;
  DecisionDriver driver_;
  EndpointWatch watch_;
  ClientServer clients_;
  HandoverListener handover_listener_;
};

}  // namespace delivery
