// The predecessor's side of a handover: this process owns or owned the journal, and a successor asks for it.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "network/endpoint_pool.h"
#include "process/handover_link.h"
#include "protocol/handover_messages.h"

namespace delivery {

// Keeps the connection to the successor and the outcomes that have to be sent to it, and applies the
// successor's messages to the calls that this process still has in flight. SenderProcess decides when to
// release the journal.
class HandoverPredecessor {
 public:
  // `on_successor_lost` is called when the connection to the successor ends, before or after the release.
  HandoverPredecessor(EndpointPool& endpoints, std::function<void()> on_successor_lost)
      : endpoints_(endpoints), on_successor_lost_(std::move(on_successor_lost)) {}

  // To be called when a successor has connected to ask for the journal. If another one is connected already,
  // disconnects the new one, which will ask again, and returns false.
  bool accept(std::shared_ptr<HandoverLink> successor);
  // Tells the successor that the journal is released, and which calls this process still completes. Requires
  // hasSuccessor().
  void sendRelease(const std::vector<CallId>& calls_in_flight);
  // Records the outcome of a call that ended while this process did not own the journal. The outcome is sent
  // to the successor if there is one. It is also kept, because the successor may die before it has written
  // the outcome to the journal.
  void recordOutcome(AttemptOutcome outcome);

  // To be called when this process owns the journal again. Disconnects the successor; the recorded outcomes
  // are kept until they are taken.
  void endHandover();
  const std::vector<AttemptOutcome>& recordedOutcomes() const { return recorded_outcomes_; }
  std::vector<AttemptOutcome> takeRecordedOutcomes();

  bool hasSuccessor() const { return successor_ != nullptr; }
  bool successorServes() const { return successor_serves_; }
  // True if every message to the successor has been written to the socket. Requires hasSuccessor().
  bool allSent() const { return successor_->allSent(); }
  // When the successor connected, on the monotonic clock.
  Micros acceptedAt() const { return accepted_at_; }

 private:
  void handle(const SuccessorServing& message);
  void handle(const EndpointDrainingNotice& message);
  void handle(const RetryAfterNotice& message);
  void handle(const CancelCall& message);

  EndpointPool& endpoints_;
  std::function<void()> on_successor_lost_;
  std::shared_ptr<HandoverLink> successor_;  // null if none is connected
  bool successor_serves_ = false;
  Micros accepted_at_ = 0;
  std::vector<AttemptOutcome> recorded_outcomes_;
};

}  // namespace delivery
