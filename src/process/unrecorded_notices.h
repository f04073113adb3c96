// Notices whose records are not in the journal yet.
#pragma once

#include <string>
#include <vector>

#include "common/deadline.h"
#include "storage/submitted_message.h"

namespace delivery {

// A notice that the platform hears of before the journal holds it would be forgotten by a kill, and the next
// process would send a message that has ended. The exception is a message whose time is up: no process sends
// it any more, and its notice must not be late.
class UnrecordedNotices {
 public:
  struct Entry {
    std::string message_id;
    CompletionNotice notice;
    Deadline deadline;  // of the message
  };

  void add(const std::string& message_id, const CompletionNotice& notice, Deadline deadline) {
    entries_.push_back({message_id, notice, deadline});
  }
  bool empty() const { return entries_.empty(); }

  // Removes and returns the notices that may be sent, in the order in which they were added: all of them if
  // their records are written, otherwise those of messages that expire within `margin`.
  std::vector<Entry> takeSendable(bool recorded, Micros now, Micros margin) {
    std::vector<Entry> sendable;
    std::vector<Entry> kept;
    for (Entry& entry : entries_) {
      const bool is_due = entry.deadline.remaining(now) <= margin;
      (recorded || is_due ? sendable : kept).push_back(std::move(entry));
    }
    entries_ = std::move(kept);
    return sendable;
  }

 private:
  std::vector<Entry> entries_;
};

}  // namespace delivery
