#include "process/sender_process.h"

#include <chrono>
#include <csignal>

#include "common/clocks.h"
#include "common/log.h"
#include "network/socket_address.h"

namespace delivery {

namespace asio = boost::asio;

namespace {

// The interval at which the state is polled while the process waits for something that causes no event.
constexpr Micros kPollInterval = 10'000;
// For how long requests are read from clients that always have more. With the 1 s for closing after that, all
// connections are closed within the first 4 s of a drain and before a stopped process exits.
constexpr Micros kDrainReadingTime = 1'000'000;
// The same during a handover, which keeps clients waiting.
constexpr Micros kHandoverReadingTime = 100'000;
// How long a handover waits for the rest of requests that have arrived in part, and for clients to close
// connections that were shut down. Both are shorter than the 400 ms for which a client waits for its answer.
constexpr Micros kPartialRequestGrace = 200'000;
constexpr Micros kClosingClientGrace = 300'000;
// An owner that has not handed over after this time is considered hung and is killed. The limit leaves time
// for the replacement, which has to serve within 6 s.
constexpr Micros kHungOwnerTimeout = 4'000'000;
// If the successor does not serve within this time after the release, this process tries to lock the journal
// again.
constexpr Micros kSuccessorStartTimeout = 2'000'000;

// How often a successor asks for a new configuration while its predecessor runs.
constexpr Micros kReloadInterval = 200'000;

constexpr std::int64_t kBytesPerMegabyte = 1'000'000;

}  // namespace

SenderProcess::SenderProcess(asio::io_context& io, Configuration configuration, Callbacks callbacks)
    : io_(io),
      configuration_(std::move(configuration)),
      callbacks_(std::move(callbacks)),
      lock_(configuration_.state_folder),
      successor_role_({[this] { advance(); },
                       [this](AttemptOutcome outcome) { onPredecessorOutcome(std::move(outcome)); },
                       [this](const std::set<CallId>& lost_calls) { onPredecessorLost(lost_calls); }}),
      connections_(computeBudget(configuration_.sockets, configuration_.memory_bytes)),
      endpoints_(
          io, {configuration_.settings.connect_timeout, configuration_.settings.connection_idle_timeout},
          connections_.endpoints, [this](AttemptOutcome outcome) { onOutcome(std::move(outcome)); },
          [this](const std::string& endpoint, std::optional<std::int64_t> destination) {
            onCallsWithdrawn(endpoint, destination);
          }),
      predecessor_role_(endpoints_, [this] { onSuccessorLost(); }),
      poll_timer_(io),
      reload_timer_(io) {
  if (!configuration_.control.empty()) {
    control_.emplace(
        io, parseAddress(configuration_.control), connections_.control, [this](const std::string& line) {
          return executeOperatorCommand(line, readiness(), [this](bool draining) { setDraining(draining); });
        });
  }
  // Both addresses are used only once this process owns the journal. Parsing them here reports an invalid one
  // at the start.
  parseAddress(configuration_.discovery);
  parseAddress(configuration_.listen);
  awaiting_ownership_since_ = monotonicNow();
  advance();
}

OwnershipState SenderProcess::ownershipState() const {
  if (active_role_) {
    return predecessor_role_.hasSuccessor() ? OwnershipState::handing_over : OwnershipState::active;
  }
  return released_ ? OwnershipState::released : OwnershipState::waiting;
}

// Takes the steps that are due in the present state, and polls while the process waits for something. A
// process that only serves clients does not poll.
void SenderProcess::advance() {
  if (finished_ || poll_scheduled_) {
    return;
  }
  advanceOwnership();
  if (finished()) {
    finished_ = true;
    callbacks_.on_finished();
    return;
  }
  if (ownershipState() != OwnershipState::active || stop_requested_at_) {
    schedulePoll();
  }
}

void SenderProcess::advanceOwnership() {
  switch (ownershipState()) {
    case OwnershipState::active:
      return;
    case OwnershipState::handing_over:
      if (clientRequestsCompleted()) {
        stepDown();
      }
      return;
    case OwnershipState::waiting:
      awaitOwnership();
      return;
    case OwnershipState::released: {
      const bool successor_is_late =
          !predecessor_role_.successorServes() && monotonicNow() - released_at_ > kSuccessorStartTimeout;
      if (!predecessor_role_.hasSuccessor() || successor_is_late) {
        awaitOwnership();
      }
      return;
    }
  }
}

void SenderProcess::schedulePoll() {
  poll_scheduled_ = true;
  poll_timer_.expires_after(std::chrono::microseconds(kPollInterval));
  poll_timer_.async_wait([this](const boost::system::error_code& error) {
    poll_scheduled_ = false;
    if (!error) {
      advance();
    }
  });
}

bool SenderProcess::finished() const {
  const Micros now = monotonicNow();
  ExitConditions conditions;
  conditions.ownership = ownershipState();
  if (stop_requested_at_) {
    conditions.time_since_stop = now - *stop_requested_at_;
  }
  conditions.time_awaiting_ownership = now - awaiting_ownership_since_;
  conditions.active_role_idle = active_role_ && active_role_->idle();
  conditions.calls_in_flight = endpoints_.inFlightCount() > 0;
  conditions.has_successor = predecessor_role_.hasSuccessor();
  conditions.successor_serves = predecessor_role_.successorServes();
  conditions.all_sent_to_successor = conditions.has_successor && predecessor_role_.allSent();
  return mayExit(conditions);
}

// Locks the journal once its owner has released it or has exited. An owner that accepts handover connections
// is asked to hand over; an owner that hangs is killed.
void SenderProcess::awaitOwnership() {
  const bool owner_hangs = !released_ && monotonicNow() - awaiting_ownership_since_ > kHungOwnerTimeout;
  const bool may_acquire =
      !successor_role_.hasPredecessor() || successor_role_.predecessorReleased() || owner_hangs;
  if (may_acquire && !stop_requested_at_ && lock_.tryAcquire()) {
    becomeActive();
    return;
  }
  if (released_) {
    return;
  }
  if (owner_hangs) {
    killHungOwner();
    return;
  }
  if (!successor_role_.hasPredecessor()) {
    tryConnectToPredecessor();
  }
}

// Killing the owner loses no accepted message, as all of them are in the journal.
void SenderProcess::killHungOwner() {
  const pid_t owner = lock_.holder();
  if (owner <= 0) {
    return;
  }
  logWarning("handover", "hung_owner_killed").field("pid", owner);
  ::kill(owner, SIGKILL);
}

void SenderProcess::tryConnectToPredecessor() {
  if (!successor_role_.connect(io_, configuration_.scratch_folder)) {
    return;
  }
  continues_earlier_process_ = true;
  applyBudget(computeBudget(configuration_.sockets, configuration_.memory_bytes));
}

// To be called when this process has acquired the ownership lock.
void SenderProcess::becomeActive() {
  predecessor_role_.endHandover();
  released_ = false;
  callbacks_.on_reload_due();
  active_role_ = createActiveRole();
  for (AttemptOutcome& outcome : predecessor_role_.takeRecordedOutcomes()) {
    active_role_->onOutcome(std::move(outcome));
  }
  for (AttemptOutcome& outcome : successor_role_.takeDeferredOutcomes()) {
    active_role_->onOutcome(std::move(outcome));
  }
  continues_earlier_process_ = true;
  if (drained_by_operator_) {
    active_role_->startDraining(kDrainReadingTime);
  } else {
    active_role_->stopDraining();
  }
  successor_role_.announceServing();
  logInfo("process", "ready");
  reloadWhilePredecessorRuns();
}

// SIGHUP may go to the predecessor, which the platform started earlier, even after it has handed over.
void SenderProcess::reloadWhilePredecessorRuns() {
  if (!successor_role_.hasPredecessor()) {
    return;
  }
  reload_timer_.expires_after(std::chrono::microseconds(kReloadInterval));
  reload_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      callbacks_.on_reload_due();
      reloadWhilePredecessorRuns();
    }
  });
}

std::unique_ptr<ActiveRole> SenderProcess::createActiveRole() {
  return std::make_unique<ActiveRole>(
      io_, configuration_, endpoints_, connections_.clients,
      ActiveRole::RecoveryOptions{unresolvedCalls(), continues_earlier_process_},
      ActiveRole::Callbacks{
          [this](const CallId& call) { successor_role_.cancelCall(call); },
          [this](std::shared_ptr<HandoverLink> successor) { onSuccessor(std::move(successor)); }});
}

// The calls whose outcomes the decision module has not seen. Either they have not ended, or they ended while
// another process or none owned the journal.
std::set<CallId> SenderProcess::unresolvedCalls() const {
  std::set<CallId> calls = successor_role_.callsInPredecessor();
  for (const CallId& call : endpoints_.callsInFlight()) {
    calls.insert(call);
  }
  for (const AttemptOutcome& outcome : predecessor_role_.recordedOutcomes()) {
    calls.insert({outcome.id, outcome.attempt});
  }
  for (const AttemptOutcome& outcome : successor_role_.deferredOutcomes()) {
    calls.insert({outcome.id, outcome.attempt});
  }
  return calls;
}

void SenderProcess::onSuccessor(std::shared_ptr<HandoverLink> successor) {
  if (!predecessor_role_.accept(std::move(successor))) {
    return;
  }
  active_role_->pauseAccepting();
  active_role_->startDraining(kHandoverReadingTime);
  advance();
}

// True if no client waits for an answer, and all clients have disconnected or have had time to send the rest
// of their requests or to close.
bool SenderProcess::clientRequestsCompleted() const {
  const Micros grace = active_role_->hasClosingClients() ? kClosingClientGrace : kPartialRequestGrace;
  const bool waited_long_enough = monotonicNow() - predecessor_role_.acceptedAt() > grace;
  return !active_role_->hasUnansweredRequests() && (!active_role_->hasClients() || waited_long_enough);
}

void SenderProcess::stepDown() {
  active_role_->stepDown();
  former_roles_.push_back(std::move(active_role_));
  endpoints_.closeAllIdle();
  predecessor_role_.sendRelease(endpoints_.callsInFlight());
  lock_.release();
  released_ = true;
  released_at_ = monotonicNow();
  awaiting_ownership_since_ = released_at_;
}

// If this process still owns the journal, it accepts clients again; otherwise it tries to lock the journal
// again.
void SenderProcess::onSuccessorLost() {
  awaiting_ownership_since_ = monotonicNow();
  if (active_role_) {
    callbacks_.on_reload_due();
    if (!drained_by_operator_ && !stop_requested_at_) {
      active_role_->stopDraining();
    }
    active_role_->resumeAccepting();
  }
  advance();
}

void SenderProcess::onPredecessorOutcome(AttemptOutcome outcome) {
  if (active_role_) {
    active_role_->onOutcome(std::move(outcome));
  } else {
    successor_role_.deferOutcome(std::move(outcome));
  }
}

void SenderProcess::onPredecessorLost(const std::set<CallId>& lost_calls) {
  applyBudget(computeBudget(configuration_.sockets, configuration_.memory_bytes));
  callbacks_.on_reload_due();
  if (!active_role_) {
    advance();  // the recovery will find the lost calls in the journal
    return;
  }
  // The lost calls may have run. They count as cancelled, not as failed, because losing them says nothing
  // about the endpoint.
  for (const CallId& call : lost_calls) {
    AttemptOutcome outcome;
    outcome.id = call.message_id;
    outcome.attempt = call.attempt;
    outcome.result = AttemptResult::cancelled;
    active_role_->onOutcome(std::move(outcome));
  }
}

void SenderProcess::onOutcome(AttemptOutcome outcome) {
  if (active_role_) {
    active_role_->onOutcome(std::move(outcome));
  } else {
    predecessor_role_.recordOutcome(std::move(outcome));
  }
}

// A drain or a Retry-After also applies to calls of the predecessor whose requests are not written yet.
void SenderProcess::onCallsWithdrawn(const std::string& endpoint, std::optional<std::int64_t> destination) {
  if (destination) {
    successor_role_.forwardRetryAfter(endpoint, *destination);
  } else {
    successor_role_.forwardEndpointDraining(endpoint);
  }
}

Readiness SenderProcess::readiness() const {
  if (stop_requested_at_) {
    return Readiness::stopping;
  }
  switch (ownershipState()) {
    case OwnershipState::handing_over:
      return Readiness::handing_over;
    case OwnershipState::released:
      return Readiness::handed_over;
    case OwnershipState::waiting:
      return Readiness::waiting_for_predecessor;
    case OwnershipState::active:
      break;
  }
  if (drained_by_operator_) {
    return Readiness::draining;
  }
  return active_role_->hasEndpointList() ? Readiness::ready : Readiness::no_endpoint_list;
}

void SenderProcess::setDraining(bool draining) {
  drained_by_operator_ = draining;
  if (draining) {
    active_role_->startDraining(kDrainReadingTime);
  } else {
    active_role_->stopDraining();
  }
}

void SenderProcess::stop() {
  if (stop_requested_at_) {
    return;
  }
  logInfo("process", "stopping");
  stop_requested_at_ = monotonicNow();
  if (active_role_) {
    active_role_->startDraining(kDrainReadingTime);
    active_role_->scheduleShutdown(*stop_requested_at_ + kShutdownTimeout);
  }
  advance();
}

void SenderProcess::changeDiscovery(const std::string& address) {
  const tcp::endpoint server = parseAddress(address);
  configuration_.discovery = address;
  if (active_role_) {
    active_role_->changeDiscovery(server, address);
  }
}

// A predecessor that still completes its calls shares the limit on descriptors with this process.
DescriptorBudget SenderProcess::computeBudget(std::int64_t sockets, std::int64_t memory_bytes) const {
  return computeDescriptorBudget({sockets, memory_bytes, configuration_.settings.call_slots},
                                 successor_role_.hasPredecessor());
}

void SenderProcess::changeLimits(std::int64_t sockets, std::int64_t memory_bytes) {
  const DescriptorBudget budget = computeBudget(sockets, memory_bytes);
  if (sockets == configuration_.sockets && memory_bytes == configuration_.memory_bytes) {
    return;
  }
  configuration_.sockets = sockets;
  configuration_.memory_bytes = memory_bytes;
  logInfo("configuration", "limits_changed")
      .field("sockets", sockets)
      .field("memory_mb", memory_bytes / kBytesPerMegabyte)
      .field("max_clients", budget.max_clients)
      .field("max_idle_endpoint_connections", budget.max_idle_connections);
  applyBudget(budget);
}

void SenderProcess::applyBudget(const DescriptorBudget& budget) {
  connections_.setBudget(budget);
  endpoints_.applyBudget();
  if (active_role_) {
    active_role_->applyBudget();
  }
}

}  // namespace delivery
