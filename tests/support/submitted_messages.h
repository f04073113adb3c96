// Messages as tests write them to a journal before they start the program on it, and which of them arrived.
#pragma once

#include <set>
#include <string>

#include "common/clocks.h"
#include "storage/submitted_message.h"
#include "support/http_server.h"

namespace delivery::loopback {

// A message of a class of testSettings() for destination 7, which has 28 s left.
inline SubmittedMessage messageFor(const std::string& id, const std::string& message_class) {
  SubmittedMessage message;
  message.id = id;
  message.message_class = message_class;
  message.body = "body";
  message.destination = 7;
  message.time_to_live = 28'000'000;
  message.deadline = Deadline::after(monotonicNow(), message.time_to_live);
  return message;
}

// The ids of the messages that the endpoint has received.
inline std::set<std::string> idsReceivedBy(HttpServer& endpoint) {
  std::set<std::string> ids;
  for (const ReceivedRequest& request : endpoint.requests()) {
    ids.insert(request.field("X-Txn"));
  }
  return ids;
}

}  // namespace delivery::loopback
