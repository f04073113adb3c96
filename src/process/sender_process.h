// One process of a sender, from start to exit: it acquires the ownership of the journal, serves clients, and
// hands over to the process that replaces it. This class connects the parts with each other and makes no
// decision about messages.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "network/connection_admission.h"
#include "network/control_server.h"
#include "process/active_role.h"
#include "process/configuration.h"
#include "process/exit_condition.h"
#include "process/handover_predecessor.h"
#include "process/handover_successor.h"
#include "process/operator_commands.h"
#include "process/ownership_lock.h"

namespace delivery {

class SenderProcess {
 public:
  struct Callbacks {
    // Called once, when this process has nothing left to do.
    std::function<void()> on_finished;
    // Called when the configuration file may have been replaced without a signal to this process, because
    // SIGHUP went to the other process of a handover. The receiver calls changeDiscovery() and
    // changeLimits().
    std::function<void()> on_reload_due;
  };

  // Starts right away. Throws InvalidInput, std::invalid_argument or std::runtime_error if the configuration
  // can't be used.
  SenderProcess(boost::asio::io_context& io, Configuration configuration, Callbacks callbacks);
  SenderProcess(const SenderProcess&) = delete;
  SenderProcess& operator=(const SenderProcess&) = delete;

  // Starts a graceful shutdown: the process finishes once nothing is pending or in flight, after
  // kShutdownTimeout at the latest. Later calls do nothing.
  void stop();

  // From now on the endpoint list is watched, and completion notices are sent, at this address. Throws
  // std::invalid_argument if it is not a valid address.
  void changeDiscovery(const std::string& address);
  const std::string& discovery() const { return configuration_.discovery; }

  // Applies new limits: the number of descriptors that this process may have open, and its memory. Throws
  // InvalidInput and keeps the old limits if the new ones are too small.
  void changeLimits(std::int64_t sockets, std::int64_t memory_bytes);

 private:
  OwnershipState ownershipState() const;
  void advance();
  void advanceOwnership();
  void schedulePoll();
  bool finished() const;

  // Acquiring the ownership of the journal
  void awaitOwnership();
  void tryConnectToPredecessor();
  void killHungOwner();
  void becomeActive();
  void reloadWhilePredecessorRuns();
  std::set<CallId> unresolvedCalls() const;
  std::unique_ptr<ActiveRole> createActiveRole();

  // Handing the ownership over to a successor
  void onSuccessor(std::shared_ptr<HandoverLink> successor);
  bool clientRequestsCompleted() const;
  void stepDown();
  void onSuccessorLost();

  // Events from the predecessor
  void onPredecessorOutcome(AttemptOutcome outcome);
  void onPredecessorLost(const std::set<CallId>& lost_calls);

  // Events from the calls of this process
  void onOutcome(AttemptOutcome outcome);
  void onCallsWithdrawn(const std::string& endpoint, std::optional<std::int64_t> destination);

  // Commands of operators
  Readiness readiness() const;
  void setDraining(bool draining);

  DescriptorBudget computeBudget(std::int64_t sockets, std::int64_t memory_bytes) const;
  void applyBudget(const DescriptorBudget& budget);

  boost::asio::io_context& io_;
  Configuration configuration_;
  Callbacks callbacks_;
  OwnershipLock lock_;
  HandoverSuccessor successor_role_;  // this process as the successor of the process that it replaces
  ConnectionAdmission connections_;
  EndpointPool endpoints_;
  HandoverPredecessor predecessor_role_;  // this process as the predecessor of the one that replaces it
  std::optional<ControlServer> control_;
  boost::asio::steady_timer poll_timer_;
  boost::asio::steady_timer reload_timer_;
  std::unique_ptr<ActiveRole> active_role_;                // not null while this process owns the journal
  std::vector<std::unique_ptr<ActiveRole>> former_roles_;  // kept until the event loop ends, see ActiveRole

  // Points in time on the monotonic clock
  std::optional<Micros> stop_requested_at_;  // empty until stop()
  Micros awaiting_ownership_since_ = 0;      // start, release, or loss of the successor
  Micros released_at_ = 0;                   // valid while released_

  bool released_ = false;                   // this process owned the journal and released it
  bool continues_earlier_process_ = false;  // connected to a predecessor, or was active before
  bool drained_by_operator_ = false;        // DRAIN was received, and no UNDRAIN since
  bool poll_scheduled_ = false;
  bool finished_ = false;
};

}  // namespace delivery
