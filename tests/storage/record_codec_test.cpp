// Encoding and decoding of record payloads: their bytes, and the errors for payloads that can't be decoded.
#include "storage/record_codec.h"

#include <gtest/gtest.h>

#include <string>
#include <variant>

#include "journal_fixture.h"

namespace delivery {
namespace {

using namespace std::string_literals;

const PersistentClock kClock(1000);

template <class RecordStruct>
RecordStruct roundTrip(const RecordStruct& record) {
  const std::string payload = encodeRecord(record, kClock);
  return std::get<RecordStruct>(decodeRecord(payload, kJournalVersion, kClock));
}

TEST(RecordCodec, EncodesPayloadsAsTheFileFormatStates) {
  EXPECT_EQ("O\x02\0\0\0id"s, encodeRecord(CompletedRecord{"id"}, kClock));
  EXPECT_EQ("N\x02\0\0\0id\x05"s, encodeRecord(AttemptNeverRanRecord{"id", 5}, kClock));
  EXPECT_EQ("T\x02\0\0\0id\x01\0\0\0e\xEB\x03\0\0\0\0\0\0"s,
            encodeRecord(AttemptRecord{"id", "e", 3}, kClock));
  EXPECT_EQ("W\x02\0\0\0id\x01\xFA\0\0\0\0\0\0\0"s,
            encodeRecord(NoticePendingRecord{"id", {true, 250}}, kClock));
  EXPECT_EQ("L\x02\0\0\0{}"s, encodeRecord(EndpointListRecord{"{}"}, kClock));
}

TEST(RecordCodec, DecodesAnEncodedAcceptedMessage) {
  SubmittedMessage message = testMessage("id");
  message.order_key = "order";
  message.is_retry = true;
  const SubmittedMessage decoded = roundTrip(AcceptedRecord{message}).message;
  EXPECT_EQ(message.id, decoded.id);
  EXPECT_EQ(message.message_class, decoded.message_class);
  EXPECT_EQ(message.tenant, decoded.tenant);
  EXPECT_EQ(message.order_key, decoded.order_key);
  EXPECT_EQ(message.idempotency_key, decoded.idempotency_key);
  EXPECT_EQ(message.body, decoded.body);
  EXPECT_EQ(message.destination, decoded.destination);
  EXPECT_EQ(message.deadline, decoded.deadline);
  EXPECT_EQ(message.time_to_live, decoded.time_to_live);
  EXPECT_TRUE(decoded.is_retry);
  EXPECT_EQ(encodeRecord(AcceptedRecord{message}, kClock).size(), encodedSize(message));
}

TEST(RecordCodec, DecodesAnEncodedFileHeaderAndHealthRecord) {
  const FileHeader header = roundTrip(FileHeader{kJournalVersion, true, 17, 18, "boot"});
  EXPECT_EQ(kJournalVersion, header.version);
  EXPECT_TRUE(header.durable);
  EXPECT_EQ(17, header.clock_shift);
  EXPECT_EQ(18, header.written_at);
  EXPECT_EQ("boot", header.boot_id);
  const HealthRecord health = roundTrip(HealthStateRecord{{"e1", 7, true, 99, 123}}).health;
  EXPECT_EQ("e1", health.endpoint);
  EXPECT_EQ(7, health.destination);
  EXPECT_TRUE(health.ejected);
  EXPECT_EQ(99, health.warming_since);
  EXPECT_EQ(123, health.retry_after_until);
}

RecordDecodeError::Reason reasonOf(const std::string& payload) {
  try {
    decodeRecord(payload, kJournalVersion, kClock);
  } catch (const RecordDecodeError& error) {
    return error.reason();
  }
  ADD_FAILURE() << "the payload was decoded";
  return {};
}

TEST(RecordCodec, ReportsATruncatedPayloadAsTooShort) {
  for (const Record& record :
       {Record(FileHeader{kJournalVersion, true, 17, 18, "boot"}), Record(AttemptRecord{"id", "e", 3}),
        Record(AttemptNeverRanRecord{"id", 5}), Record(NoticePendingRecord{"id", {true, 250}}),
        Record(CompletedRecord{"id"}), Record(EndpointListRecord{"{}"})}) {
    const std::string payload = encodeRecord(record, kClock);
    for (std::size_t size = 1; size < payload.size(); ++size) {
      EXPECT_EQ(RecordDecodeError::Reason::too_short, reasonOf(payload.substr(0, size)))
          << payload[0] << ' ' << size;
    }
  }
}

TEST(RecordCodec, ReportsUnknownTypesAndNewerVersions) {
  EXPECT_EQ(RecordDecodeError::Reason::unknown_type, reasonOf("Z a type of a later version"));
  const std::string newer = encodeRecord(FileHeader{kJournalVersion + 1, true, 17, 18, "boot"}, kClock);
  EXPECT_EQ(RecordDecodeError::Reason::newer_version, reasonOf(newer));
  EXPECT_EQ(kJournalVersion + 1, decodeFileHeader(newer).version);
}

}  // namespace
}  // namespace delivery
