// One process of a sender, from start to end: it acquires the ownership of the journal, serves, and hands
// over to the process that replaces it. It wires the parts together and decides nothing about messages.
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
  // Starts at once. `on_finished` is called when this process has nothing left to do. Throws InvalidInput,
  // std::invalid_argument or std::runtime_error if the configuration can't be used.
  SenderProcess(boost::asio::io_context& io, Configuration configuration, std::function<void()> on_finished);
  SenderProcess(const SenderProcess&) = delete;
  SenderProcess& operator=(const SenderProcess&) = delete;

  // Graceful shutdown: finishes once nothing is pending or in flight, after kShutdownTimeout at the latest.
  void stop();

  // Watches and notifies another discovery service from now on. Throws std::invalid_argument if it is no
  // address.
  void changeDiscovery(const std::string& address);
  const std::string& discovery() const { return configuration_.discovery; }

  // New limits. Throws InvalidInput if they are too small; then the old ones stay.
  void changeLimits(std::int64_t sockets, std::int64_t memory_bytes);

 private:
  OwnershipState ownershipState() const;
  void advance();
  void advanceOwnership();
  void schedulePoll();
  bool finished() const;

  // Acquiring the ownership
  void awaitOwnership();
  void tryConnectToPredecessor();
  void killHungOwner();
  void becomeActive();
  std::set<CallId> callsInFlightAnywhere() const;
  std::unique_ptr<ActiveRole> createActiveRole();

  // Handing it over
  void onSuccessor(std::shared_ptr<HandoverLink> successor);
  bool clientsAreDone() const;
  void stepDown();
  void onSuccessorLost();

  // The predecessor
  void onPredecessorOutcome(AttemptOutcome outcome);
  void onPredecessorLost(const std::set<CallId>& lost_calls);

  // The calls of this process
  void onOutcome(AttemptOutcome outcome);
  void onCallsWithdrawn(const std::string& endpoint, std::optional<std::int64_t> destination);

  // Operators
  Readiness readiness() const;
  void setDraining(bool draining);

  DescriptorBudget computeBudget(std::int64_t sockets, std::int64_t memory_bytes) const;
  void applyBudget(const DescriptorBudget& budget);

  boost::asio::io_context& io_;
  Configuration configuration_;
  std::function<void()> on_finished_;
  OwnershipLock lock_;
  HandoverSuccessor successor_role_;  // towards the process that this one replaces
  ConnectionAdmission connections_;
  EndpointPool endpoints_;
  HandoverPredecessor predecessor_role_;  // towards the process that replaces this one
  std::optional<ControlServer> control_;
  boost::asio::steady_timer poll_timer_;
  std::unique_ptr<ActiveRole> active_role_;                // while this process owns the journal
  std::vector<std::unique_ptr<ActiveRole>> former_roles_;  // until the event loop has ended, see ActiveRole

  // Points on the monotonic clock
  std::optional<Micros> stop_requested_at_;
  Micros waiting_since_ = 0;  // for the ownership
  Micros released_at_ = 0;    // while released

  bool released_ = false;                   // this process had the ownership and released it
  bool continues_earlier_process_ = false;  // a predecessor answered, or this process was active before
  bool operators_drain_ = false;            // DRAIN was received, and no UNDRAIN since
  bool poll_scheduled_ = false;
  bool finished_ = false;
};

}  // namespace delivery
