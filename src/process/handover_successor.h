// The successor's side of a handover: this process replaces another one that owns or owned the journal.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "process/handover_link.h"
#include "protocol/handover_messages.h"

namespace delivery {

// Keeps the connection to the predecessor and the ids of the calls that the predecessor still has in flight.
// SenderProcess decides when to lock the journal.
class HandoverSuccessor {
 public:
  struct Callbacks {
    // The predecessor released the journal, which can be locked now.
    std::function<void()> on_released;
    // A call of the predecessor ended, or the head of its response had a Retry-After.
    std::function<void(AttemptOutcome)> on_outcome;
    // The connection ended. `lost_calls` were in flight; this process gets no outcomes for them any more.
    std::function<void(const std::set<CallId>& lost_calls)> on_predecessor_lost;
  };

  explicit HandoverSuccessor(Callbacks callbacks) : callbacks_(std::move(callbacks)) {}

  // Connects to the process that owns the journal. Returns false if none listens in the scratch folder.
  bool connect(boost::asio::io_context& io, const std::string& scratch_folder);

  bool hasPredecessor() const { return predecessor_ != nullptr; }
  bool predecessorReleased() const { return released_; }
  const std::set<CallId>& callsInPredecessor() const { return calls_in_predecessor_; }

  // Keeps an outcome that arrived before this process owned the journal, until it is taken.
  void deferOutcome(AttemptOutcome outcome) { deferred_outcomes_.push_back(std::move(outcome)); }
  const std::vector<AttemptOutcome>& deferredOutcomes() const { return deferred_outcomes_; }
  std::vector<AttemptOutcome> takeDeferredOutcomes();

  // Messages to the predecessor. Without a predecessor these functions do nothing.
  void announceServing();
  void cancelCall(const CallId& call);
  void forwardEndpointDraining(const std::string& endpoint);
  void forwardRetryAfter(const std::string& endpoint, std::int64_t destination);

 private:
  void handle(const OwnershipReleased& message);
  void handle(const AttemptOutcome& outcome);
  void onLinkEnd();
  void send(const SuccessorMessage& message);

  Callbacks callbacks_;
  std::shared_ptr<HandoverLink> predecessor_;  // null if not connected
  bool released_ = false;
  std::set<CallId> calls_in_predecessor_;
  std::vector<AttemptOutcome> deferred_outcomes_;
};

}  // namespace delivery
