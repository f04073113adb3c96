// The content of a journal as plain text, one fact a line. The words are those of the recorded .expected
// files in tests/data/journal and must not follow the names in the code.
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

// The messages that are still open, in the order of their acceptance; the last endpoint list and the health
// records.
inline std::string openText(std::vector<JournaledMessage> entries, const std::string& list,
                            const std::vector<HealthRecord>& health) {
  std::ostringstream out;
  std::sort(entries.begin(), entries.end(), [](const JournaledMessage& left, const JournaledMessage& right) {
    return left.acceptance_order < right.acceptance_order;
  });
  out << "accepted messages still open: " << entries.size() << '\n';
  for (const JournaledMessage& entry : entries) {
    const SubmittedMessage& message = entry.message;
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
        << prefix << "attempts: " << entry.attempts.size() << '\n';
    for (std::size_t i = 0; i < entry.attempts.size(); ++i) {
      out << prefix << "attempt " << i << ": endpoint " << quoted(entry.attempts[i].endpoint)
          << ", sent at monotonic us " << entry.attempts[i].sent_at
          << ", never ran: " << yesNo(entry.attempts[i].never_ran) << '\n';
    }
    out << prefix << "notification owed: ";
    if (!entry.notice_pending) {
      out << "none\n";
    } else {
      out << (entry.notice.returned ? "handed back" : "given up") << ", retry in ms "
          << entry.notice.retry_after_ms << '\n';
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

inline std::string openText(const ReplayResult& recovered) {
  std::vector<JournaledMessage> entries;
  std::vector<HealthRecord> health;
  for (const auto& [id, entry] : recovered.state.messages()) {
    entries.push_back(entry);
  }
  for (const auto& [key, record] : recovered.state.healthRecords()) {
    health.push_back(record);
  }
  return openText(entries, recovered.state.endpointList(), health);
}

inline std::string fileText(const ReplayResult& recovered) {
  std::ostringstream out;
  out << "records: " << recovered.scan.records.size() << '\n';
  for (const auto& record : recovered.scan.records) {
    out << "record number " << record.sequence_number << ": format version " << record.version << ", type "
        << quoted(std::string(1, record.payload[0])) << ", bytes " << record.payload.size() << '\n';
  }
  out << "damaged ranges: " << recovered.scan.damaged_ranges.size() << '\n';
  for (const ByteRange& range : recovered.scan.damaged_ranges) {
    out << "damaged range: bytes " << range.begin << " to " << range.end << '\n';
  }
  out << "gaps in the numbers: " << recovered.gaps << '\n'
      << "unreadable records: " << recovered.unreadable_records << '\n'
      << "contradictory records: " << recovered.contradictory_records << '\n'
      << "repeated records: " << recovered.scan.duplicate_records << '\n'
      << "torn tail: " << yesNo(recovered.scan.torn_write) << '\n'
      << "damaged tail: " << yesNo(recovered.scan.damaged_tail) << '\n'
      << "end of the last sound record: " << recovered.scan.sound_end << '\n'
      << "counts as damaged: " << yesNo(recovered.damaged()) << '\n'
      << "power cut: " << yesNo(recovered.power_cut) << '\n'
      << "monotonic clock goes on: " << yesNo(recovered.clock_continues) << '\n'
      << "clock shift used, us: " << recovered.clock.shift() << '\n'
      << "next record number: " << recovered.next_sequence_number << '\n'
      << "file head: version " << recovered.header.version << ", durable: " << yesNo(recovered.header.durable)
      << ", clock shift us " << recovered.header.clock_shift << ", written at disk us "
      << recovered.header.written_at << ", boot " << quoted(recovered.header.boot) << '\n';
  return out.str();
}

}  // namespace delivery::journal_dump
