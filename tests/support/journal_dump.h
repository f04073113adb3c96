// Prints the content of a journal as plain text, one fact a line. The texts have to match the recorded
// .expected files in tests/data/journal. Therefore they do not change when names in the code do.
#pragma once

#include <algorithm>
#include <sstream>
#include <string>
#include <vector>

#include "storage/recovery.h"

namespace delivery::journal_dump {

inline std::string quoted(const std::string& text) {
  constexpr char kHex[] = "0123456789abcdef";
  std::string out = "\"";
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    if (byte < 0x20 || byte > 0x7e || character == '"' || character == '\\') {
      out += "\\x";
      out += kHex[byte >> 4];
      out += kHex[byte & 15];
    } else {
      out += character;
    }
  }
  return out + "\"";
}
inline const char* yesNo(bool value) {
  return value ? "yes" : "no";
}

// The open messages in the order of acceptance, the latest endpoint list and the health records.
inline std::string openText(std::vector<JournaledMessage> messages, const std::string& list,
                            const std::vector<HealthRecord>& health) {
  std::ostringstream out;
  std::sort(messages.begin(), messages.end(),
            [](const JournaledMessage& left, const JournaledMessage& right) {
              return left.acceptance_order < right.acceptance_order;
            });
  out << "accepted messages still open: " << messages.size() << '\n';
  for (const JournaledMessage& journaled : messages) {
    const SubmittedMessage& message = journaled.message;
    const std::string prefix = "message " + quoted(message.id) + " ";
    out << prefix << "class: " << quoted(message.message_class) << '\n'
        << prefix << "tenant: " << quoted(message.tenant) << '\n'
        << prefix << "order key: " << quoted(message.order_key) << '\n'
        << prefix << "idempotency key: " << quoted(message.idempotency_key) << '\n'
        << prefix << "body: " << quoted(message.body) << '\n'
        << prefix << "destination: " << message.destination << '\n'
        << prefix << "deadline, monotonic us: " << message.deadline.at() << '\n'
        << prefix << "time it had in all, us: " << message.time_to_live << '\n'
        << prefix << "repeat: " << yesNo(message.is_retry) << '\n'
        << prefix << "attempts: " << journaled.attempts.size() << '\n';
    for (std::size_t i = 0; i < journaled.attempts.size(); ++i) {
      out << prefix << "attempt " << i << ": endpoint " << quoted(journaled.attempts[i].endpoint)
          << ", sent at monotonic us " << journaled.attempts[i].sent_at
          << ", never ran: " << yesNo(journaled.attempts[i].never_ran) << '\n';
    }
    out << prefix << "notification owed: ";
    if (!journaled.notice_pending) {
      out << "none\n";
    } else {
      out << (journaled.notice.returned ? "handed back" : "given up") << ", retry in ms "
          << journaled.notice.retry_after_ms << '\n';
    }
  }
  out << "endpoint list: " << (list.empty() ? "none" : quoted(list)) << '\n';
  out << "health records: " << health.size() << '\n';
  for (const HealthRecord& record : health) {
    out << "health record of destination " << record.destination << " endpoint " << quoted(record.endpoint)
        << ": down: " << yesNo(record.ejected) << ", cold since monotonic us " << record.warming_since
        << ", wait until monotonic us " << record.retry_after_until << '\n';
  }
  return out.str();
}

inline std::string openText(const ReplayResult& replay) {
  std::vector<JournaledMessage> messages;
  std::vector<HealthRecord> health;
  for (const auto& [id, journaled] : replay.state.messages()) {
    messages.push_back(journaled);
  }
  for (const auto& [key, record] : replay.state.healthRecords()) {
    health.push_back(record);
  }
  return openText(messages, replay.state.endpointList(), health);
}

// The records of the file, its damage, its clock and its header.
inline std::string fileText(const ReplayResult& replay) {
  std::ostringstream out;
  out << "records: " << replay.scan.records.size() << '\n';
  for (const auto& record : replay.scan.records) {
    out << "record number " << record.sequence_number << ": format version " << record.version << ", type "
        << quoted(std::string(1, record.payload[0])) << ", bytes " << record.payload.size() << '\n';
  }
  out << "damaged ranges: " << replay.scan.damaged_ranges.size() << '\n';
  for (const ByteRange& range : replay.scan.damaged_ranges) {
    out << "damaged range: bytes " << range.begin << " to " << range.end << '\n';
  }
  out << "gaps in the numbers: " << replay.gaps << '\n'
      << "unreadable records: " << replay.unreadable_records << '\n'
      << "contradictory records: " << replay.contradictory_records << '\n'
      << "repeated records: " << replay.scan.duplicate_records << '\n'
      << "torn tail: " << yesNo(replay.scan.torn_write) << '\n'
      << "damaged tail: " << yesNo(replay.scan.damaged_tail) << '\n'
      << "end of the last sound record: " << replay.scan.valid_end << '\n'
      << "counts as damaged: " << yesNo(replay.damaged()) << '\n'
      << "power cut: " << yesNo(replay.power_cut) << '\n'
      << "monotonic clock goes on: " << yesNo(replay.clock_continues) << '\n'
      << "clock shift used, us: " << replay.clock.shift() << '\n'
      << "next record number: " << replay.next_sequence_number << '\n'
      << "file head: version " << replay.header.version << ", durable: " << yesNo(replay.header.durable)
      << ", clock shift us " << replay.header.clock_shift << ", written at disk us "
      << replay.header.written_at << ", boot " << quoted(replay.header.boot_id) << '\n';
  return out.str();
}

}  // namespace delivery::journal_dump
