// The state that the records of a journal add up to: the open messages with their attempts and notices, the
// endpoint list and the health records. Recovery builds it by replaying a file, and a running journal keeps
// it up to date with each record that it appends.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "common/events.h"
#include "storage/completed_messages.h"
#include "storage/record_codec.h"
#include "storage/submitted_message.h"

namespace delivery {

// An open message: its delivery has not ended yet, or the platform has not acknowledged its notice yet.
struct JournaledMessage {
  SubmittedMessage message;
  std::vector<JournaledAttempt> attempts;
  bool notice_pending = false;  // delivery has ended without success, and `notice` is not acknowledged yet
  CompletionNotice notice;
  std::uint64_t acceptance_order = 0;  // ascending in the order in which the messages were accepted
};

// How a message ended whose notice is pending, or which is completed now.
MessageEnd endOf(const JournaledMessage& journaled);

struct HealthKey {
  std::int64_t destination = 0;
  std::string endpoint;  // empty for the destination itself
};
bool operator<(const HealthKey& a, const HealthKey& b);

class JournalState {
 public:
  explicit JournalState(CompletedMessageLimits completed_limits = {})
      : completed_messages_(std::move(completed_limits)) {}

  enum class ApplyResult {
    applied,
    contradictory,  // the record does not fit the earlier ones; the state is unchanged
  };
  ApplyResult apply(Record record);

  // Adds an attempt that may have run to each message without a pending notice, as the records of such an
  // attempt may have been lost. Therefore a message that must not run twice is not sent again. The cost is
  // that it may be abandoned although it was never sent.
  void assumeUnknownAttempts();

  // Adds a message that is not open as one that may have been attempted and whose notice is pending. Only its
  // id is kept. Returns false if a message with this id is open.
  bool abandonUnlessOpen(const std::string& message_id);

  // Lowers deadlines so that no message has more time left at `now` than its whole time to live.
  void limitDeadlines(Micros now);

  // The open messages by message id.
  const std::map<std::string, JournaledMessage>& messages() const { return messages_; }
  std::vector<const JournaledMessage*> messagesInOrderOfAcceptance() const;
  const JournaledMessage* find(const std::string& message_id) const;  // null if it is not open

  const CompletedMessages& completedMessages() const { return completed_messages_; }
  // See CompletedMessages::forgetOldest().
  bool forgetOldestCompleted(Micros now) { return completed_messages_.forgetOldest(now); }

  // The latest endpoint list, in JSON; empty if there is none.
  const std::string& endpointList() const { return endpoint_list_; }
  // The latest health record of each destination or endpoint.
  const std::map<HealthKey, HealthRecord>& healthRecords() const { return health_records_; }

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
  CompletedMessages completed_messages_;
  std::string endpoint_list_;
  std::map<HealthKey, HealthRecord> health_records_;
  std::uint64_t last_acceptance_order_ = 0;
};

}  // namespace delivery
