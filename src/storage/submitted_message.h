// What is stored of a message: the message itself, its attempts and its completion notice.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "common/deadline.h"

namespace delivery {

// A message as its client submitted it and as it is forwarded to an endpoint.
struct SubmittedMessage {
  std::string id;
  std::string message_class;
  std::string tenant;
  std::string order_key;
  std::string idempotency_key;
  std::string body;
  std::int64_t destination = 0;
  Deadline deadline;        // on the monotonic clock
  Micros time_to_live = 0;  // from submission to the deadline; 0: not known
  bool is_retry = false;
};

// One call of an endpoint with a message, written before the call is made.
struct JournaledAttempt {
  std::string endpoint;  // empty: not known, since the record of the attempt may have been lost
  Micros sent_at = 0;    // on the monotonic clock
  bool never_ran = false;
};

// How the client learns about a message that was accepted and could not be delivered.
struct CompletionNotice {
  bool returned = false;  // false: abandoned
  std::int64_t retry_after_ms = 0;
};

}  // namespace delivery
