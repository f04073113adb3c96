// The ids of messages that have ended, so that a copy of a request is not taken for a new message.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "storage/submitted_message.h"

namespace delivery {

// How a message ended.
enum class MessageEnd {
  delivered,  // or the endpoint responded that it is over
  failed,     // the platform was told that it is given up
  rejected    // the platform was told that it is handed back, or the client that the sender is busy
};

// Which ended messages are remembered, and how many.
struct CompletedMessageLimits {
  // The classes whose messages must not simply run again, each with the time in microseconds for which a
  // message of it may be delivered.
  std::map<std::string, Micros> class_deadlines;
  std::size_t max_count = 0;
  std::uint64_t max_bytes = 0;  // in the file of the journal
};

struct CompletedMessage {
  std::string message_class;
  Deadline deadline;  // of the message, on the monotonic clock
  Micros time_to_live = 0;
  MessageEnd end = MessageEnd::delivered;
};

// Remembers each message for as long as it, or another message of its class that was submitted at the same
// time, may be delivered. Until then no message is forgotten, so the owner has to ask hasRoomFor() before it
// accepts a message. Older ones stay while there is room.
class CompletedMessages {
 public:
  using Map = std::map<std::string, CompletedMessage>;

  explicit CompletedMessages(CompletedMessageLimits limits = {}) : limits_(std::move(limits)) {}
  // by_time_ refers to the elements of messages_, which a move keeps and a copy would not.
  CompletedMessages(CompletedMessages&&) = default;
  CompletedMessages& operator=(CompletedMessages&&) = default;
  CompletedMessages(const CompletedMessages&) = delete;
  CompletedMessages& operator=(const CompletedMessages&) = delete;
  ~CompletedMessages() = default;

  bool remembers(const std::string& message_class) const {
    return limits_.class_deadlines.count(message_class) > 0;
  }
  // Adds a message that has ended, unless its class is not remembered. Beyond the limits the oldest is
  // forgotten, even if its time is not over; see hasRoomFor().
  void add(const SubmittedMessage& message, MessageEnd end);
  void remove(const std::string& message_id);
  const CompletedMessage* find(const std::string& message_id) const;  // null if it is not remembered

  // Whether a message fits beside `open_count` open ones of up to `open_bytes` once all of them have ended.
  bool hasRoomFor(const SubmittedMessage& message, std::size_t open_count, std::uint64_t open_bytes) const;
  // Forgets the oldest message if its time is over at `now`. Returns whether there was one.
  bool forgetOldest(Micros now);
  // Lowers deadlines so that no message has more time left at `now` than its whole time to live.
  void limitDeadlines(Micros now);

  const Map& messages() const { return messages_; }
  std::uint64_t bytes() const { return bytes_; }  // in the file of the journal, after a compaction

 private:
  using Order = std::multimap<Micros, Map::iterator>;

  Micros rememberedUntil(const CompletedMessage& message) const;
  void erase(Order::iterator oldest);

  CompletedMessageLimits limits_;
  Map messages_;   // by message id
  Order by_time_;  // by the moment until which a message has to be remembered
  std::uint64_t bytes_ = 0;
};

}  // namespace delivery
