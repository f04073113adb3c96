// The messages between two processes of one sender during a handover, as typed values, and their form on the
// link: one JSON object a line. Processes of earlier versions read and write the same lines, so keys and
// result codes must not change.
//
//   predecessor to successor   {"release":[["message",0],...]}      OwnershipReleased
//                              {"outcome":{...}}                    AttemptOutcome
//   successor to predecessor   {"serving":true}                     SuccessorServing
//                              {"cancel":["message",0]}             CancelCall
//                              {"held":"endpoint"}                  EndpointDrainingNotice
//                              {"held":"endpoint","destination":7}  RetryAfterNotice
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "common/call_id.h"
#include "common/events.h"

namespace delivery {

// The predecessor has written the journal and released the lock.
struct OwnershipReleased {
  std::vector<CallId> calls_in_flight;  // that the predecessor completes; each gets an AttemptOutcome
};

// The successor has recovered the journal and serves clients.
struct SuccessorServing {};

// The successor's decision module cancels a call of the predecessor.
struct CancelCall {
  CallId call;
};

// The successor learned that an endpoint drains: requests that are not written yet must not be sent to it.
struct EndpointDrainingNotice {
  std::string endpoint;
};

// The successor received a Retry-After: requests to the destination that are not written yet must not be
// sent.
struct RetryAfterNotice {
  std::string endpoint;
  std::int64_t destination = 0;
};

using PredecessorMessage = std::variant<OwnershipReleased, AttemptOutcome>;
using SuccessorMessage = std::variant<SuccessorServing, EndpointDrainingNotice, RetryAfterNotice, CancelCall>;

// The line for a message, without its end. Text that is not UTF-8 is replaced, not refused.
std::string encodeHandoverMessage(const PredecessorMessage& message);
std::string encodeHandoverMessage(const SuccessorMessage& message);

// Decode one line. A line may hold several messages: `on_message` is called for each, in the order of the
// variant, before the next one is read. Unknown keys and lines that are not JSON objects are ignored, so that
// later versions may add messages. Throw InvalidInput that names the field if a known message can't be read.
void decodePredecessorLine(const std::string& line,
                           const std::function<void(const PredecessorMessage&)>& on_message);
void decodeSuccessorLine(const std::string& line,
                         const std::function<void(const SuccessorMessage&)>& on_message);

}  // namespace delivery
