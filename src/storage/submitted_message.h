// What the journal stores of a message: the message as submitted, its attempts and its completion notice.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "common/deadline.h"

namespace delivery {

// A message as its client submits it, before and after it is accepted, and as it is forwarded to an endpoint.
struct SubmittedMessage {
  std::string id;
  std::string message_class;
  std::string tenant;
  std::string order_key;
  std::string idempotency_key;
  std::string body;
  std::int64_t destination = 0;
  Deadline deadline;        // on the monotonic clock
  Micros time_to_live = 0;  // from submission to the deadline; 0 if it is unknown
  bool is_retry = false;    // the client has submitted this message before
};

// One attempt to deliver a message, recorded before the call to the endpoint is made.
struct JournaledAttempt {
  std::string endpoint;    // empty if it is unknown, as the record of the attempt may have been lost
  Micros sent_at = 0;      // on the monotonic clock
  bool never_ran = false;  // the endpoint certainly did not process the message
};

// Tells the platform that an accepted message ended without delivery.
struct CompletionNotice {
  bool returned = false;            // true: rejected after acceptance; false: abandoned
  std::int64_t retry_after_ms = 0;  // delay before a new submission, in milliseconds; 0 if not stated
};

}  // namespace delivery
