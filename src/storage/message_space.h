// The space that a number of messages take in the journal's file, and later among the completed messages.
#pragma once

#include <cstddef>
#include <cstdint>

#include "storage/completed_messages.h"
#include "storage/record_sizes.h"

namespace delivery {

struct MessageSpace {
  std::uint64_t bytes = 0;              // with all records that may still follow; an upper bound
  std::size_t to_remember = 0;          // how many of the messages will be remembered after their end
  std::uint64_t bytes_to_remember = 0;  // that these will take then; an upper bound

  // The space of one message. `is_remembered`: see CompletedMessages::remembers().
  static MessageSpace of(const SubmittedMessage& message, const MessageRecordLimits& limits,
                         bool is_remembered) {
    MessageSpace space;
    space.bytes = maxMessageBytes(message, limits);
    if (is_remembered) {
      space.to_remember = 1;
      space.bytes_to_remember = maxCompletedMessageBytes(message);
    }
    return space;
  }

  MessageSpace& operator+=(const MessageSpace& other) {
    bytes += other.bytes;
    to_remember += other.to_remember;
    bytes_to_remember += other.bytes_to_remember;
    return *this;
  }
  MessageSpace& operator-=(const MessageSpace& other) {
    bytes -= other.bytes;
    to_remember -= other.to_remember;
    bytes_to_remember -= other.bytes_to_remember;
    return *this;
  }
};

}  // namespace delivery
