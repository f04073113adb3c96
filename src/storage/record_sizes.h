// The space that the records of a journal take in its file, as upper bounds in bytes. The journal reserves
// the space of a message, with all its later records, before the message is accepted.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "common/events.h"
#include "storage/completed_messages.h"
#include "storage/record_codec.h"
#include "storage/record_frame.h"
#include "storage/submitted_message.h"

namespace delivery {

// What the records of one message may hold at most.
struct MessageRecordLimits {
  int max_attempts = 12;                 // of one message, see Settings::max_attempts
  std::size_t endpoint_name_bytes = 20;  // of the longest name of an endpoint
};

constexpr std::uint64_t kMaxHeaderRecordBytes = 128;

// The size of a framed record whose payload is its type, texts and further bytes.
constexpr std::uint64_t framedSize(std::size_t text_count, std::size_t text_bytes, std::size_t other_bytes) {
  return kFrameOverheadBytes + sizeof(RecordType) + text_count * sizeof(std::uint32_t) + text_bytes +
         other_bytes;
}

// The space that an open message may take in the file: its acceptance, each attempt with its end, its notice
// and its completion.
inline std::uint64_t maxMessageBytes(const SubmittedMessage& message, const MessageRecordLimits& limits) {
  const std::size_t id_bytes = message.id.size();
  const std::uint64_t attempt = framedSize(2, id_bytes + limits.endpoint_name_bytes, sizeof(std::uint64_t));
  const std::uint64_t never_ran = framedSize(1, id_bytes, sizeof(std::uint8_t));
  const std::uint64_t notice = framedSize(1, id_bytes, sizeof(std::uint8_t) + sizeof(std::uint64_t));
  const std::uint64_t completed = framedSize(1, id_bytes, 0);
  const auto attempts = static_cast<std::uint64_t>(std::max(0, limits.max_attempts));
  return kFrameOverheadBytes + encodedSize(message) + attempts * (attempt + never_ran) + notice + completed;
}

// The size of the records by which a compacted file remembers a message that has ended: its acceptance
// without its content, its notice unless it was delivered, and its completion.
inline std::uint64_t completedMessageBytes(const std::string& message_id, const std::string& message_class,
                                           MessageEnd end) {
  SubmittedMessage stub;
  stub.id = message_id;
  stub.message_class = message_class;
  const std::uint64_t notice = framedSize(1, message_id.size(), sizeof(std::uint8_t) + sizeof(std::uint64_t));
  return kFrameOverheadBytes + encodedSize(stub) + (end == MessageEnd::delivered ? 0 : notice) +
         framedSize(1, message_id.size(), 0);
}

// The same for a message that is still open, however it may end.
inline std::uint64_t maxCompletedMessageBytes(const SubmittedMessage& message) {
  return completedMessageBytes(message.id, message.message_class, MessageEnd::failed);
}

inline std::uint64_t endpointListBytes(const std::string& list) {
  return list.empty() ? 0 : framedSize(1, list.size(), 0);
}

inline std::uint64_t healthRecordBytes(const HealthRecord& health) {
  constexpr std::size_t kFixedBytes = 3 * sizeof(std::uint64_t) + sizeof(std::uint8_t);
  return framedSize(1, health.endpoint.size(), kFixedBytes);
}

}  // namespace delivery
