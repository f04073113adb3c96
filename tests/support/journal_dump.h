// What a journal tells, as plain text, one fact a line. The words are those of the recorded .expected files
// in tests/data/journal and must not follow the names in the code.
#pragma once

#include <algorithm>
#include <sstream>
#include <string>
#include <vector>

#include "storage/recovery.h"

namespace delivery::journal_dump {

inline std::string quoted(const std::string& s) {
  constexpr char kHex[] = "0123456789abcdef";
  std::string out = "\"";
  for (const char c : s) {
    const auto u = static_cast<unsigned char>(c);
    if (u < 0x20 || u > 0x7e || c == '"' || c == '\\') {
      out += "\\x";
      out += kHex[u >> 4];
      out += kHex[u & 15];
    } else {
      out += c;
    }
  }
  return out + "\"";
}
inline const char* yesNo(bool b) {
  return b ? "yes" : "no";
}

// What is still open, in the order in which it was taken on; the last list and the health records.
inline std::string openText(std::vector<JournalEntry> entries, const std::string& list,
                            const std::vector<HealthRecord>& health) {
  std::ostringstream out;
  std::sort(entries.begin(), entries.end(),
            [](const auto& a, const auto& b) { return a.acceptance_order < b.acceptance_order; });
  out << "accepted messages still open: " << entries.size() << '\n';
  for (const JournalEntry& e : entries) {
    const std::string m = "message " + quoted(e.message.id) + " ";
    out << m << "class: " << quoted(e.message.message_class) << '\n'
        << m << "tenant: " << quoted(e.message.tenant) << '\n'
        << m << "order key: " << quoted(e.message.order_key) << '\n'
        << m << "idempotency key: " << quoted(e.message.idempotency_key) << '\n'
        << m << "body: " << quoted(e.message.body) << '\n'
        << m << "destination: " << e.message.destination << '\n'
        << m << "deadline, monotonic us: " << e.message.deadline.at() << '\n'
        << m << "time it had in all, us: " << e.message.time_to_live << '\n'
        << m << "repeat: " << yesNo(e.message.is_retry) << '\n'
        << m << "attempts: " << e.attempts.size() << '\n';
    for (std::size_t i = 0; i < e.attempts.size(); ++i) {
      out << m << "attempt " << i << ": endpoint " << quoted(e.attempts[i].endpoint)
          << ", sent at monotonic us " << e.attempts[i].sent_at
          << ", never ran: " << yesNo(e.attempts[i].never_ran) << '\n';
    }
    out << m << "notification owed: ";
    if (!e.notice_pending) {
      out << "none\n";
    } else {
      out << (e.notice.returned ? "handed back" : "given up") << ", retry in ms " << e.notice.retry_after_ms
          << '\n';
    }
  }
  out << "endpoint list: " << (list.empty() ? "none" : quoted(list)) << '\n';
  out << "health records: " << health.size() << '\n';
  for (const HealthRecord& a : health) {
    out << "health record of destination " << a.destination << " endpoint " << quoted(a.endpoint)
        << ": down: " << yesNo(a.ejected) << ", cold since monotonic us " << a.warming_since
        << ", wait until monotonic us " << a.retry_after_until << '\n';
  }
  return out.str();
}

inline std::string openText(const RecoveredJournal& r) {
  std::vector<JournalEntry> entries;
  std::vector<HealthRecord> health;
  for (const auto& [id, e] : r.state.entries()) {
    entries.push_back(e);
  }
  for (const auto& [key, a] : r.state.healthRecords()) {
    health.push_back(a);
  }
  return openText(entries, r.state.endpointList(), health);
}

inline std::string fileText(const RecoveredJournal& r) {
  std::ostringstream out;
  out << "records: " << r.scan.records.size() << '\n';
  for (const auto& record : r.scan.records) {
    out << "record number " << record.sequence_number << ": format version " << record.version << ", type "
        << quoted(std::string(1, record.payload[0])) << ", bytes " << record.payload.size() << '\n';
  }
  out << "damaged ranges: " << r.scan.damaged_ranges.size() << '\n';
  for (const ByteRange& range : r.scan.damaged_ranges) {
    out << "damaged range: bytes " << range.begin << " to " << range.end << '\n';
  }
  out << "gaps in the numbers: " << r.gaps << '\n'
      << "unreadable records: " << r.unreadable_records << '\n'
      << "contradictory records: " << r.contradictory_records << '\n'
      << "repeated records: " << r.scan.duplicate_records << '\n'
      << "torn tail: " << yesNo(r.scan.torn_write) << '\n'
      << "damaged tail: " << yesNo(r.scan.damaged_tail) << '\n'
      << "end of the last sound record: " << r.scan.sound_end << '\n'
      << "counts as damaged: " << yesNo(r.damaged()) << '\n'
      << "power cut: " << yesNo(r.power_cut) << '\n'
      << "monotonic clock goes on: " << yesNo(r.clock_continues) << '\n'
      << "clock shift used, us: " << r.clock.shift() << '\n'
      << "next record number: " << r.next_sequence_number << '\n'
      << "file head: version " << r.header.version << ", durable: " << yesNo(r.header.durable)
      << ", clock shift us " << r.header.clock_shift << ", written at disk us " << r.header.written_at
      << ", boot " << quoted(r.header.boot) << '\n';
  return out.str();
}

}  // namespace delivery::journal_dump
