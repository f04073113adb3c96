#include "storage/completed_messages.h"

#include <algorithm>
#include <utility>

#include "storage/record_sizes.h"

namespace delivery {

void CompletedMessages::add(const SubmittedMessage& message, MessageEnd end) {
  if (!remembers(message.message_class)) {
    return;
  }
  remove(message.id);
  const CompletedMessage completed{message.message_class, message.deadline, message.time_to_live, end};
  const auto added = messages_.emplace(message.id, completed).first;
  by_time_.emplace(rememberedUntil(completed), added);
  bytes_ += completedMessageBytes(message.id, message.message_class, end);
  while (messages_.size() > limits_.max_count || bytes_ > limits_.max_bytes) {
    erase(by_time_.begin());
  }
}

void CompletedMessages::remove(const std::string& message_id) {
  const auto found = messages_.find(message_id);
  if (found == messages_.end()) {
    return;
  }
  auto [position, end] = by_time_.equal_range(rememberedUntil(found->second));
  position = std::find_if(position, end, [&](const auto& entry) { return entry.second == found; });
  erase(position);
}

const CompletedMessage* CompletedMessages::find(const std::string& message_id) const {
  const auto found = messages_.find(message_id);
  return found == messages_.end() ? nullptr : &found->second;
}

bool CompletedMessages::hasRoomFor(const SubmittedMessage& message, std::size_t open_count,
                                   std::uint64_t open_bytes) const {
  const std::uint64_t bytes = maxCompletedMessageBytes(message);
  return messages_.size() + open_count + 1 <= limits_.max_count &&
         bytes_ + open_bytes + bytes <= limits_.max_bytes;
}

bool CompletedMessages::forgetOldest(Micros now) {
  if (by_time_.empty() || by_time_.begin()->first > now) {
    return false;
  }
  erase(by_time_.begin());
  return true;
}

void CompletedMessages::limitDeadlines(Micros now) {
  by_time_.clear();
  for (auto entry = messages_.begin(); entry != messages_.end(); ++entry) {
    CompletedMessage& message = entry->second;
    message.deadline = std::min(message.deadline, Deadline::after(now, message.time_to_live));
    by_time_.emplace(rememberedUntil(message), entry);
  }
}

// A copy of a request states the same time to live from its own arrival on, and other messages of the class
// may state more. So the time of the class counts if it is longer.
Micros CompletedMessages::rememberedUntil(const CompletedMessage& message) const {
  const auto class_deadline = limits_.class_deadlines.find(message.message_class);
  const Micros longest = class_deadline == limits_.class_deadlines.end() ? 0 : class_deadline->second;
  return message.deadline.at() + std::max<Micros>(0, longest - message.time_to_live);
}

void CompletedMessages::erase(Order::iterator oldest) {
  const auto message = oldest->second;
  bytes_ -= completedMessageBytes(message->first, message->second.message_class, message->second.end);
  messages_.erase(message);
  by_time_.erase(oldest);
}

}  // namespace delivery
