// The answer to a client that submits a message (MSG.PUT), and its form on the wire.
#pragma once

#include <cstdint>
#include <string>

#include "common/deadline.h"

namespace delivery {

enum class SubmitStatus {
  accepted,             // recorded: it will be delivered, or the platform notified of its end
  busy,                 // rejected without effect; may be submitted again
  failed,               // given up without a promise that it had no effect
  unknown_class,        // no such message class in the settings
  unknown_destination,  // no endpoint of it is listed
  duplicate             // a message of this id was submitted and is not answered yet
};

struct SubmitReply {
  SubmitStatus status = SubmitStatus::accepted;
  Micros retry_after = 0;  // with `busy`: the pause that the client should make; 0: none named
};

// The RESP line without its line end: "+OK", "-BUSY 250" (milliseconds) or "-ERR ...".
std::string toRespLine(const SubmitReply& reply);

// Whether the client was served as designed (accepted, or rejected with a pause), and not for its own error.
bool isAcceptedOrBusy(const SubmitReply& reply);

// Clients and the platform count pauses in whole milliseconds; one that is rounded down would end too early.
constexpr std::int64_t roundUpToMs(Micros span) {
  return (span + 999) / 1000;
}

}  // namespace delivery
