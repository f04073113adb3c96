// Encodes and decodes the payload of a journal record: its type and its fields, without the frame around them
// (record_frame.h). Format: docs/journal.md.
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

// The format version that is written. Version 1 can still be read.
constexpr std::int64_t kJournalVersion = 2;

// The first byte of a payload. The letters are part of the file format.
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

// The first record of a file. It is written again when one of its values changes.
struct FileHeader {
  std::int64_t version = 0;
  bool durable = false;    // accepted messages and attempts were synced, see Journal::Options
  Micros clock_shift = 0;  // the shift of the PersistentClock for all times in the file
  Micros written_at = 0;   // in stored form, see PersistentClock
  std::string boot_id;     // the kernel's boot id; empty if it is unknown
};
// A message was accepted and is open from then on.
struct AcceptedRecord {
  SubmittedMessage message;
};
// The message is about to be sent to an endpoint.
struct AttemptRecord {
  std::string message_id;
  std::string endpoint;  // empty if it is unknown
  Micros sent_at = 0;    // on the monotonic clock
};
// The endpoint certainly did not process an attempt.
struct AttemptNeverRanRecord {
  std::string message_id;
  std::size_t attempt_index = 0;  // 0 is the first attempt of the message
};
// The message ended without delivery, and the platform has yet to acknowledge the notice.
struct NoticePendingRecord {
  std::string message_id;
  CompletionNotice notice;
};
// The message was delivered, or the endpoint responded that it is gone (410), or it was rejected because its
// acceptance could not be persisted, or the platform acknowledged its notice. It is no longer open.
struct CompletedRecord {
  std::string message_id;
};
struct EndpointListRecord {
  std::string list;  // the answer of discovery, in JSON
};
struct HealthStateRecord {
  HealthRecord health;
};

using Record = std::variant<FileHeader, AcceptedRecord, AttemptRecord, AttemptNeverRanRecord,
                            NoticePendingRecord, CompletedRecord, EndpointListRecord, HealthStateRecord>;

// The exception for a payload with a correct checksum that can't be decoded.
class RecordDecodeError : public std::runtime_error {
 public:
  enum class Reason { too_short, unknown_type, newer_version };
  explicit RecordDecodeError(Reason reason);
  Reason reason() const { return reason_; }

 private:
  Reason reason_;
};

// Returns the payload in version kJournalVersion, beginning with the type. `clock` converts points in time to
// their stored form.
std::string encodeRecord(const Record& record, const PersistentClock& clock);

// The size of the payload of an AcceptedRecord in bytes.
std::size_t encodedSize(const SubmittedMessage& message);

// Decodes the payload of a record of the given version. The payload begins with the type and must not be
// empty. With a default-constructed `clock`, points in time keep their stored form. Throws RecordDecodeError,
// also for a file header of a newer version.
Record decodeRecord(std::string_view payload, std::int64_t version, const PersistentClock& clock);

// Decodes the payload of a file header, including one of a newer version. Throws RecordDecodeError.
FileHeader decodeFileHeader(std::string_view payload);

// Returns the type of a payload, which must not be empty. The value may be one that RecordType does not list.
RecordType recordTypeOf(std::string_view payload);

}  // namespace delivery
