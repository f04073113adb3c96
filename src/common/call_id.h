// The identifier of one attempt to deliver a message. It is valid across the processes of a sender.
#pragma once

#include <string>
#include <tuple>

namespace delivery {

struct CallId {
  std::string message_id;
  int attempt = 0;  // number of the attempt, counted from 0 for each message

  friend bool operator==(const CallId& a, const CallId& b) {
    return a.message_id == b.message_id && a.attempt == b.attempt;
  }
  friend bool operator<(const CallId& a, const CallId& b) {
    return std::tie(a.message_id, a.attempt) < std::tie(b.message_id, b.attempt);
  }
};

}  // namespace delivery
