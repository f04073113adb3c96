// Encoding and decoding of one journal record's payload: its type and its fields, without the frame around
// them (record_frame.h). Format: docs/journal.md.
#pragma once

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>

#include "common/clocks.h"
#include "common/events.h"
#include "storage/submitted_message.h"

namespace delivery {

// The version that is written. Version 1 can be read.
constexpr std::int64_t kJournalVersion = 2;

// The first byte of a payload; the letters are part of the file format.
enum class RecordType : char {
  file_header = 'V',
  accepted = 'A',
  attempt = 'T',
  attempt_never_ran = 'N',
  notice_pending = 'W',
  completed = 'O',
  endpoint_list = 'L',
  health = 'H',
};

// The first record of a file; written once more when one of its values changes.
struct FileHeader {
  std::int64_t version = 0;
  bool durable = false;    // what was promised had been synced before
  Micros clock_shift = 0;  // of the PersistentClock of all times in the file
  Micros written_at = 0;   // in stored form, see PersistentClock
  std::string boot;        // the kernel's boot id; empty: not known
};
struct AcceptedRecord {
  SubmittedMessage message;
};
struct AttemptRecord {
  std::string message_id;
  std::string endpoint;
  Micros sent_at = 0;  // on the monotonic clock
};
struct AttemptNeverRanRecord {
  std::string message_id;
  std::size_t attempt_index = 0;
};
struct NoticePendingRecord {
  std::string message_id;
  CompletionNotice notice;
};
struct CompletedRecord {
  std::string message_id;
};
struct EndpointListRecord {
  std::string list;  // discovery's answer, in JSON
};
struct HealthStateRecord {
  HealthRecord health;
};

using Record = std::variant<FileHeader, AcceptedRecord, AttemptRecord, AttemptNeverRanRecord,
                            NoticePendingRecord, CompletedRecord, EndpointListRecord, HealthStateRecord>;

// A payload whose checksum is right, but which this program does not understand.
class RecordDecodeError : public std::runtime_error {
 public:
  enum class Reason { too_short, unknown_type, newer_version };
  explicit RecordDecodeError(Reason reason);
  Reason reason() const { return reason_; }

 private:
  Reason reason_;
};

// The payload in version kJournalVersion, from the type on. `clock` converts points in time to their stored
// form.
std::string encodeRecord(const Record& record, const PersistentClock& clock);

// The size in bytes of the payload of an AcceptedRecord.
std::size_t encodedSize(const SubmittedMessage& message);

// Decodes a payload, from the type on and not empty, of a record in the given version. With a
// default-constructed `clock` points in time stay as they are on disk. Throws RecordDecodeError, also for a
// header of a newer version.
Record decodeRecord(std::string_view payload, std::int64_t version, const PersistentClock& clock);

// Decodes the payload of a file header, also of a newer version. Throws RecordDecodeError.
FileHeader decodeFileHeader(std::string_view payload);

// The type of a payload that is not empty; it may be one that RecordType does not list.
RecordType recordTypeOf(std::string_view payload);

}  // namespace delivery
