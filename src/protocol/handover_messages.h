// The messages between the two processes of one sender during a handover, as typed values, and their encoding
// on the handover link: one JSON object per line. Processes of earlier versions read and write the same
// lines, so keys and result codes must not change.
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
  // The predecessor completes these calls and sends an AttemptOutcome for each.
  std::vector<CallId> calls_in_flight;
};

// The successor has recovered the journal and serves clients.
struct SuccessorServing {};

// The successor's decision module cancels a call of the predecessor.
struct CancelCall {
  CallId call;
};

// The successor has learned that an endpoint is draining. The predecessor must not send it requests that are
// not written yet.
struct EndpointDrainingNotice {
  std::string endpoint;
};

// The successor has received a Retry-After. The predecessor must not send requests that are not written yet
// to the endpoint if it has its own route, otherwise to the destination.
struct RetryAfterNotice {
  std::string endpoint;
  std::int64_t destination = 0;
};

using PredecessorMessage = std::variant<OwnershipReleased, AttemptOutcome>;
using SuccessorMessage = std::variant<SuccessorServing, EndpointDrainingNotice, RetryAfterNotice, CancelCall>;

// Encode a message as one line, without the line end. Bytes that are not UTF-8 are replaced by U+FFFD and are
// not an error.
std::string encodeHandoverMessage(const PredecessorMessage& message);
std::string encodeHandoverMessage(const SuccessorMessage& message);

// Decode one line. A line may hold several messages: they are read in the order of the variant's
// alternatives, and `on_message` is called for each before the next one is read. Unknown keys and lines that
// are not JSON objects are ignored, so that later versions may add messages. Throw InvalidInput if
// a known message can't be read. It names the field, except for a malformed [message id, attempt number].
void decodePredecessorLine(const std::string& line,
                           const std::function<void(const PredecessorMessage&)>& on_message);
void decodeSuccessorLine(const std::string& line,
                         const std::function<void(const SuccessorMessage&)>& on_message);

}  // namespace delivery
