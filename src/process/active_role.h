// The parts of a sender process that exist only while it owns the journal.
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
// one process of a sender has an active role at a time, and only while it holds the ownership lock.
//
// Handlers of its sockets may still be queued in the event loop after it has stepped down, so the object has
// to be kept until the loop has ended.
class ActiveRole {
 public:
  struct Callbacks {
    // The decision module cancels a call that is not in flight in this process; the predecessor may have it.
    std::function<void(const CallId&)> cancel_in_other_process;
    // A successor has connected to ask for the journal.
    std::function<void(std::shared_ptr<HandoverLink>)> on_successor;
  };
  struct RecoveryOptions {
    // Calls of this process or of its predecessor whose outcomes are still to be reported.
    std::set<CallId> calls_in_flight;
    // Whether the Retry-After of endpoints still applies: true after a handover, false after a restart.
    bool keep_retry_after = false;
  };

  // Throws std::runtime_error or boost::system::system_error if the journal can't be opened, or if listening
  // for clients fails.
  ActiveRole(boost::asio::io_context& io, const Configuration& configuration, EndpointPool& endpoints,
             ClientAdmission& admission, const RecoveryOptions& recovery, Callbacks callbacks);
  ActiveRole(const ActiveRole&) = delete;
  ActiveRole& operator=(const ActiveRole&) = delete;

  // Stops all parts, and flushes and closes the journal. Another process may own it from then on.
  void stepDown();

  // While draining, PING is answered with an error and client connections are closed between requests, at the
  // latest once the requests are answered that were read within `reading_time`.
  void startDraining(Micros reading_time) { clients_.startDraining(reading_time); }
  void stopDraining() { clients_.stopDraining(); }
  // While accepting is paused, new client connections wait in the kernel's queue of the listening socket.
  void pauseAccepting() { clients_.pauseAccepting(); }
  void resumeAccepting() { clients_.resumeAccepting(); }
  void applyBudget() { clients_.applyBudget(); }

  void onOutcome(AttemptOutcome outcome) { driver_.onOutcome(std::move(outcome)); }
  // Announces that the process exits at `at`, a point on the monotonic clock. No call is started that could
  // last longer.
  void scheduleShutdown(Micros at) { driver_.scheduleShutdown(at); }
  void changeDiscovery(const tcp::endpoint& server, const std::string& host);

  bool hasEndpointList() const { return driver_.hasEndpointList(); }
  bool hasClients() const { return clients_.connectionCount() > 0; }
  bool hasUnansweredRequests() const { return clients_.hasUnansweredRequests(); }
  bool hasClosingClients() const { return clients_.hasClosingConnections(); }
  // True if no message, request or completion notice is pending.
  bool idle() const;

 private:
  const Micros recovery_started_at_;  // on the monotonic clock
  Journal journal_;
  CompletionNotifier notifier_;
  DecisionDriver driver_;
  EndpointWatch endpoint_watch_;
  ClientServer clients_;
  HandoverListener handover_listener_;
};

}  // namespace delivery
