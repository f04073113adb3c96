// What the records of a journal together leave open: messages with their attempts and notices, the endpoint
// list, and health. It is kept both while a file is read and while one is written.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/events.h"
#include "storage/record_codec.h"
#include "storage/submitted_message.h"

namespace delivery {

// A message that is open: not delivered yet, or its client has not confirmed the notice yet.
struct JournaledMessage {
  SubmittedMessage message;
  std::vector<JournaledAttempt> attempts;
  bool notice_pending = false;  // the message is completed, and `notice` has to reach its client
  CompletionNotice notice;
  std::uint64_t acceptance_order = 0;  // ascending in the order of acceptance
};

struct HealthKey {
  std::int64_t destination = 0;
  std::string endpoint;  // empty: the destination itself
};
bool operator<(const HealthKey& a, const HealthKey& b);

class JournalState {
 public:
  enum class ApplyResult {
    applied,
    contradictory,  // it does not fit the records before; nothing was changed
  };
  ApplyResult apply(Record record);

  // Adds to each message without a pending notice an attempt that may have run, as the records of such an
  // attempt may be lost: a message that must not run twice is not sent again. The cost: it may be abandoned
  // though it was never sent.
  void assumeUnknownAttempts();

  // Lowers the deadlines so that no message has more than its whole time to live from `now` on.
  void limitDeadlines(Micros now);

  // The open messages by message id.
  const std::map<std::string, JournaledMessage>& messages() const { return messages_; }
  std::vector<const JournaledMessage*> messagesInOrderOfAcceptance() const;
  const JournaledMessage* find(const std::string& message_id) const;  // null: not open

  const std::string& endpointList() const { return endpoint_list_; }  // the latest; empty: none
  const std::map<HealthKey, HealthRecord>& healthRecords() const { return health_records_; }  // the latest

 private:
  ApplyResult applyRecord(FileHeader& header);
  ApplyResult applyRecord(AcceptedRecord& record);
  ApplyResult applyRecord(AttemptRecord& record);
  ApplyResult applyRecord(AttemptNeverRanRecord& record);
  ApplyResult applyRecord(NoticePendingRecord& record);
  ApplyResult applyRecord(CompletedRecord& record);
  ApplyResult applyRecord(EndpointListRecord& record);
  ApplyResult applyRecord(HealthStateRecord& record);
  JournaledMessage* findMutable(const std::string& message_id);

  std::map<std::string, JournaledMessage> messages_;
  std::string endpoint_list_;
  std::map<HealthKey, HealthRecord> health_records_;
  std::uint64_t last_acceptance_order_ = 0;
};

}  // namespace delivery
