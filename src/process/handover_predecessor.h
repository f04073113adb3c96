// The predecessor's side of a handover: this process owned the journal, and another one asks for it.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "network/endpoint_pool.h"
#include "process/handover_link.h"
#include "protocol/handover_messages.h"

namespace delivery {

// Keeps the connection to the successor and what has to be sent to it, and applies the successor's messages
// to the calls that this process still has in flight. When to release the journal is decided by
// SenderProcess.
class HandoverPredecessor {
 public:
  // `on_successor_lost`: the connection to the successor ended, before or after the release.
  HandoverPredecessor(EndpointPool& endpoints, std::function<void()> on_successor_lost)
      : endpoints_(endpoints), on_successor_lost_(std::move(on_successor_lost)) {}

  // A successor asks for the journal. False: another one is connected; this one is disconnected and asks
  // again.
  bool accept(std::shared_ptr<HandoverLink> successor);
  // Notifies the successor that the journal is free, and of the calls that this process still completes.
  void sendRelease(const std::vector<CallId>& calls_in_flight);
  // A call ended while this process did not own the journal. The outcome is sent to the successor if there is
  // one, and kept: a successor that dies may not have written it down.
  void recordOutcome(AttemptOutcome outcome);

  // This process owns the journal again: disconnects a successor. The outcomes stay until they are taken.
  void endHandover();
  const std::vector<AttemptOutcome>& recordedOutcomes() const { return recorded_outcomes_; }
  std::vector<AttemptOutcome> takeRecordedOutcomes();

  bool hasSuccessor() const { return successor_ != nullptr; }
  bool successorServes() const { return successor_serves_; }
  // The successor has been sent all that it has to know. Only while hasSuccessor().
  bool allSent() const { return successor_->allSent(); }
  Micros acceptedAt() const { return accepted_at_; }

 private:
  void handle(const SuccessorServing& message);
  void handle(const EndpointDrainingNotice& message);
  void handle(const RetryAfterNotice& message);
  void handle(const CancelCall& message);

  EndpointPool& endpoints_;
  std::function<void()> on_successor_lost_;
  std::shared_ptr<HandoverLink> successor_;
  bool successor_serves_ = false;
  Micros accepted_at_ = 0;
  std::vector<AttemptOutcome> recorded_outcomes_;
};

}  // namespace delivery
