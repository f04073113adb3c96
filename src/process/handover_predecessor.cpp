#include "process/handover_predecessor.h"

#include <utility>

#include "common/log.h"

namespace delivery {

bool HandoverPredecessor::accept(std::shared_ptr<HandoverLink> successor) {
  if (successor_) {
    successor->close();
    return false;
  }
  logInfo("handover", "requested_by_successor");
  successor_ = std::move(successor);
  successor_serves_ = false;
  accepted_at_ = monotonicNow();
  const auto on_line = [this](const std::string& line) {
    decodeSuccessorLine(line, [this](const SuccessorMessage& decoded) {
      std::visit([this](const auto& message) { handle(message); }, decoded);
    });
  };
  const auto on_end = [this] {
    logWarning("handover", "successor_lost");
    successor_.reset();
    on_successor_lost_();
  };
  successor_->start(on_line, on_end);
  return true;
}

void HandoverPredecessor::handle(const SuccessorServing& /*message*/) {
  successor_serves_ = true;
}

void HandoverPredecessor::handle(const EndpointDrainingNotice& message) {
  endpoints_.onEndpointDraining(message.endpoint);
}

void HandoverPredecessor::handle(const RetryAfterNotice& message) {
  endpoints_.onRetryAfter(message.endpoint, message.destination);
}

void HandoverPredecessor::handle(const CancelCall& message) {
  endpoints_.cancel(message.call);
}

void HandoverPredecessor::sendRelease(const std::vector<CallId>& calls_in_flight) {
  logInfo("handover", "released").field("calls_in_flight", calls_in_flight.size());
  successor_->send(encodeHandoverMessage(PredecessorMessage{OwnershipReleased{calls_in_flight}}));
}

void HandoverPredecessor::recordOutcome(AttemptOutcome outcome) {
  if (successor_) {
    successor_->send(encodeHandoverMessage(PredecessorMessage{outcome}));
  }
  recorded_outcomes_.push_back(std::move(outcome));
}

void HandoverPredecessor::endHandover() {
  if (successor_) {
    successor_->close();
  }
  successor_.reset();
  successor_serves_ = false;
}

std::vector<AttemptOutcome> HandoverPredecessor::takeRecordedOutcomes() {
  return std::exchange(recorded_outcomes_, {});
}

}  // namespace delivery
