#include "storage/record_codec.h"

#include <utility>

#include "storage/little_endian.h"

namespace delivery {
namespace {

class PayloadWriter {
 public:
  explicit PayloadWriter(RecordType type) { out_.push_back(static_cast<char>(type)); }
  PayloadWriter& integer(std::int64_t value) {
    appendLittleEndian(out_, static_cast<std::uint64_t>(value));
    return *this;
  }
  PayloadWriter& byte(std::size_t value) {
    appendLittleEndian(out_, static_cast<std::uint8_t>(value));
    return *this;
  }
  PayloadWriter& boolean(bool value) { return byte(value ? 1 : 0); }
  PayloadWriter& text(const std::string& value) {
    appendLittleEndian(out_, static_cast<std::uint32_t>(value.size()));
    out_ += value;
    return *this;
  }
  std::string take() { return std::move(out_); }

 private:
  std::string out_;
};

// Reads the fields of a payload in order. In version 1, lengths, booleans and indices take 8 bytes each.
class PayloadReader {
 public:
  PayloadReader(std::string_view payload, std::int64_t version) : payload_(payload), version_(version) {}

  std::int64_t integer() { return static_cast<std::int64_t>(next<std::uint64_t>()); }
  std::size_t index() {
    return version_ == 1 ? static_cast<std::size_t>(next<std::uint64_t>()) : next<std::uint8_t>();
  }
  bool boolean() { return index() != 0; }
  std::string text() {
    const std::uint64_t length = version_ == 1 ? next<std::uint64_t>() : next<std::uint32_t>();
    if (length > remaining()) {
      throw RecordDecodeError(RecordDecodeError::Reason::too_short);
    }
    std::string value(payload_.substr(offset_, length));
    offset_ += length;
    return value;
  }
  // False at the end of the payload: older records lack the fields that were added later.
  bool hasMore() const { return remaining() > 0; }

 private:
  std::size_t remaining() const { return payload_.size() - offset_; }

  template <class Unsigned>
  Unsigned next() {
    if (remaining() < sizeof(Unsigned)) {
      throw RecordDecodeError(RecordDecodeError::Reason::too_short);
    }
    const auto value = readLittleEndian<Unsigned>(payload_, offset_);
    offset_ += sizeof(Unsigned);
    return value;
  }

  std::string_view payload_;
  std::int64_t version_;
  std::size_t offset_ = sizeof(RecordType);
};

class Encoder {
 public:
  explicit Encoder(const PersistentClock& clock) : clock_(clock) {}

  std::string operator()(const FileHeader& header) const {
    return PayloadWriter(RecordType::file_header)
        .integer(header.version)
        .boolean(header.durable)
        .integer(header.clock_shift)
        .integer(header.written_at)
        .text(header.boot_id)
        .take();
  }

  std::string operator()(const AcceptedRecord& record) const {
    const SubmittedMessage& message = record.message;
    return PayloadWriter(RecordType::accepted)
        .text(message.id)
        .text(message.message_class)
        .text(message.order_key)
        .text(message.idempotency_key)
        .text(message.body)
        .integer(message.destination)
        .integer(clock_.toStored(message.deadline))
        .boolean(message.is_retry)
        .text(message.tenant)
        .integer(message.time_to_live)
        .take();
  }

  std::string operator()(const AttemptRecord& record) const {
    return PayloadWriter(RecordType::attempt)
        .text(record.message_id)
        .text(record.endpoint)
        .integer(clock_.toStored(record.sent_at))
        .take();
  }

  std::string operator()(const AttemptNeverRanRecord& record) const {
    return PayloadWriter(RecordType::attempt_never_ran)
        .text(record.message_id)
        .byte(record.attempt_index)
        .take();
  }

  std::string operator()(const NoticePendingRecord& record) const {
    return PayloadWriter(RecordType::notice_pending)
        .text(record.message_id)
        .boolean(record.notice.returned)
        .integer(record.notice.retry_after_ms)
        .take();
  }

  std::string operator()(const CompletedRecord& record) const {
    return PayloadWriter(RecordType::completed).text(record.message_id).take();
  }

  std::string operator()(const EndpointListRecord& record) const {
    return PayloadWriter(RecordType::endpoint_list).text(record.list).take();
  }

  std::string operator()(const HealthStateRecord& record) const {
    const HealthRecord& health = record.health;
    return PayloadWriter(RecordType::health)
        .text(health.endpoint)
        .integer(health.destination)
        .boolean(health.ejected)
        .integer(clock_.toStored(health.warming_since))
        .integer(clock_.toStored(health.retry_after_until))
        .take();
  }

 private:
  const PersistentClock& clock_;
};

AcceptedRecord decodeAccepted(PayloadReader& reader, const PersistentClock& clock) {
  AcceptedRecord record;
  SubmittedMessage& message = record.message;
  message.id = reader.text();
  message.message_class = reader.text();
  message.order_key = reader.text();
  message.idempotency_key = reader.text();
  message.body = reader.text();
  message.destination = reader.integer();
  message.deadline = clock.deadlineFromStored(reader.integer());
  message.is_retry = reader.boolean();
  if (reader.hasMore()) {
    message.tenant = reader.text();
  }
  if (reader.hasMore()) {
    message.time_to_live = reader.integer();
  }
  return record;
}

AttemptRecord decodeAttempt(PayloadReader& reader, const PersistentClock& clock) {
  AttemptRecord record;
  record.message_id = reader.text();
  record.endpoint = reader.text();
  record.sent_at = clock.fromStored(reader.integer());
  return record;
}

AttemptNeverRanRecord decodeAttemptNeverRan(PayloadReader& reader) {
  AttemptNeverRanRecord record;
  record.message_id = reader.text();
  record.attempt_index = reader.index();
  return record;
}

NoticePendingRecord decodeNoticePending(PayloadReader& reader) {
  NoticePendingRecord record;
  record.message_id = reader.text();
  record.notice.returned = reader.boolean();
  record.notice.retry_after_ms = reader.integer();
  return record;
}

HealthStateRecord decodeHealth(PayloadReader& reader, const PersistentClock& clock) {
  HealthStateRecord record;
  HealthRecord& health = record.health;
  health.endpoint = reader.text();
  health.destination = reader.integer();
  health.ejected = reader.boolean();
  health.warming_since = clock.fromStored(reader.integer());
  health.retry_after_until = clock.fromStored(reader.hasMore() ? reader.integer() : 0);
  return record;
}

FileHeader decodeSupportedFileHeader(std::string_view payload) {
  FileHeader header = decodeFileHeader(payload);
  if (header.version > kJournalVersion) {
    throw RecordDecodeError(RecordDecodeError::Reason::newer_version);
  }
  return header;
}

const char* describe(RecordDecodeError::Reason reason) {
  switch (reason) {
    case RecordDecodeError::Reason::too_short:
      return "journal record is shorter than its fields";
    case RecordDecodeError::Reason::unknown_type:
      return "journal record is of an unknown type";
    case RecordDecodeError::Reason::newer_version:
      return "journal file is of a newer version";
  }
  return "journal record can't be decoded";
}

}  // namespace

RecordDecodeError::RecordDecodeError(Reason reason) : std::runtime_error(describe(reason)), reason_(reason) {}

std::string encodeRecord(const Record& record, const PersistentClock& clock) {
  return std::visit(Encoder(clock), record);
}

std::size_t encodedSize(const SubmittedMessage& message) {
  constexpr std::size_t kTextCount = 6;     // the texts whose sizes are added below
  constexpr std::size_t kIntegerCount = 3;  // destination, deadline and time to live
  constexpr std::size_t kByteCount = 1;     // is_retry
  constexpr std::size_t kFixedBytes = sizeof(RecordType) + kTextCount * sizeof(std::uint32_t) +
                                      kIntegerCount * sizeof(std::uint64_t) + kByteCount;
  return kFixedBytes + message.id.size() + message.message_class.size() + message.tenant.size() +
         message.order_key.size() + message.idempotency_key.size() + message.body.size();
}

RecordType recordTypeOf(std::string_view payload) {
  return static_cast<RecordType>(payload.front());
}

// File headers exist since version 2 only, so their format does not depend on the version of the frame.
FileHeader decodeFileHeader(std::string_view payload) {
  PayloadReader reader(payload, kJournalVersion);
  FileHeader header;
  header.version = reader.integer();
  header.durable = reader.boolean();
  header.clock_shift = reader.integer();
  header.written_at = reader.integer();
  header.boot_id = reader.text();
  return header;
}

Record decodeRecord(std::string_view payload, std::int64_t version, const PersistentClock& clock) {
  PayloadReader reader(payload, version);
  switch (recordTypeOf(payload)) {
    case RecordType::file_header:
      return decodeSupportedFileHeader(payload);
    case RecordType::accepted:
      return decodeAccepted(reader, clock);
    case RecordType::attempt:
      return decodeAttempt(reader, clock);
    case RecordType::attempt_never_ran:
      return decodeAttemptNeverRan(reader);
    case RecordType::notice_pending:
      return decodeNoticePending(reader);
    case RecordType::completed:
      return CompletedRecord{reader.text()};
    case RecordType::endpoint_list:
      return EndpointListRecord{reader.text()};
    case RecordType::health:
      return decodeHealth(reader, clock);
  }
  throw RecordDecodeError(RecordDecodeError::Reason::unknown_type);
}

}  // namespace delivery
