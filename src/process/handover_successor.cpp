#include "process/handover_successor.h"

#include <utility>

namespace delivery {

bool HandoverSuccessor::connect(boost::asio::io_context& io, const std::string& scratch_folder) {
  predecessor_ = connectToOwner(io, scratch_folder);
  released_ = false;
  if (!predecessor_) {
    return false;
  }
  const auto on_line = [this](const std::string& line) {
    decodePredecessorLine(line, [this](const PredecessorMessage& decoded) {
      std::visit([this](const auto& message) { handle(message); }, decoded);
    });
  };
  predecessor_->start(on_line, [this] { onLinkEnd(); });
  return true;
}

void HandoverSuccessor::handle(const OwnershipReleased& message) {
  calls_in_predecessor_.insert(message.calls_in_flight.begin(), message.calls_in_flight.end());
  released_ = true;
  callbacks_.on_released();
}

// Ignores outcomes of calls that the predecessor did not name in its release: the predecessor itself has
// written them to the journal.
void HandoverSuccessor::handle(const AttemptOutcome& outcome) {
  const CallId call{outcome.id, outcome.attempt};
  if (calls_in_predecessor_.count(call) == 0) {
    return;
  }
  if (!outcome.still_in_flight) {
    calls_in_predecessor_.erase(call);
  }
  callbacks_.on_outcome(outcome);
}

void HandoverSuccessor::onLinkEnd() {
  predecessor_.reset();
  released_ = false;
  const std::set<CallId> lost_calls = std::exchange(calls_in_predecessor_, {});
  callbacks_.on_predecessor_lost(lost_calls);
}

std::vector<AttemptOutcome> HandoverSuccessor::takeDeferredOutcomes() {
  return std::exchange(deferred_outcomes_, {});
}

void HandoverSuccessor::send(const SuccessorMessage& message) {
  if (predecessor_) {
    predecessor_->send(encodeHandoverMessage(message));
  }
}

void HandoverSuccessor::announceServing() {
  send(SuccessorServing{});
}

void HandoverSuccessor::cancelCall(const CallId& call) {
  send(CancelCall{call});
}

void HandoverSuccessor::forwardEndpointDraining(const std::string& endpoint) {
  send(EndpointDrainingNotice{endpoint});
}

void HandoverSuccessor::forwardRetryAfter(const std::string& endpoint, std::int64_t destination) {
  send(RetryAfterNotice{endpoint, destination});
}

}  // namespace delivery
