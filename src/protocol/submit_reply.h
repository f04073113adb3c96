// The reply to a client that submits a message (MSG.PUT), and its encoding in RESP.
#pragma once

#include <cstdint>
#include <string>

#include "common/deadline.h"

namespace delivery {

enum class SubmitStatus {
  accepted,             // recorded: it will be delivered, or the platform will be notified of its end
  busy,                 // rejected without effect; the client may submit it again
  failed,               // abandoned; it may have had an effect
  unknown_class,        // the settings have no message class of this name
  unknown_destination,  // discovery has listed no endpoint of the destination so far
  duplicate             // a message with this id was submitted and its reply is still pending
};

struct SubmitReply {
  SubmitStatus status = SubmitStatus::accepted;
  // With `busy`: the time that the client should wait before it retries, in microseconds; 0 if none is
  // stated.
  Micros retry_after = 0;
};

// The RESP line without the line end: "+OK", "-BUSY 250" (milliseconds) or "-ERR ...".
std::string toRespLine(const SubmitReply& reply);

// Whether the client was served as designed: its message was accepted, or rejected because the sender is
// busy. All other replies report an error of the client or an abandoned message.
bool isAcceptedOrBusy(const SubmitReply& reply);

// Clients and the platform read pauses in whole milliseconds. A pause that is rounded down would end too
// early.
constexpr std::int64_t roundUpToMs(Micros span) {
  return (span + (kMicrosPerMillisecond - 1)) / kMicrosPerMillisecond;
}

}  // namespace delivery
