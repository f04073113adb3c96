#include "storage/journal_state.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace delivery {
namespace {

// The time of the attempt that is assumed for a message without any recorded attempt: long ago.
constexpr Micros kUnknownAttemptTime = INT64_MIN / 4;

}  // namespace

MessageEnd endOf(const JournaledMessage& journaled) {
  if (!journaled.notice_pending) {
    return MessageEnd::delivered;
  }
  return journaled.notice.returned ? MessageEnd::rejected : MessageEnd::failed;
}

bool operator<(const HealthKey& a, const HealthKey& b) {
  return std::tie(a.destination, a.endpoint) < std::tie(b.destination, b.endpoint);
}

JournalState::ApplyResult JournalState::apply(Record record) {
  return std::visit([this](auto& typed_record) { return applyRecord(typed_record); }, record);
}

JournalState::ApplyResult JournalState::applyRecord(FileHeader& /*header*/) {
  return ApplyResult::applied;
}

JournalState::ApplyResult JournalState::applyRecord(AcceptedRecord& record) {
  if (find(record.message.id) != nullptr) {
    return ApplyResult::contradictory;  // the attempts of the open message must not be lost
  }
  const std::string message_id = record.message.id;
  completed_messages_.remove(message_id);  // an earlier version may have accepted an id twice
  JournaledMessage& journaled = messages_[message_id];
  journaled.message = std::move(record.message);
  journaled.acceptance_order = ++last_acceptance_order_;
  return ApplyResult::applied;
}

JournalState::ApplyResult JournalState::applyRecord(AttemptRecord& record) {
  JournaledMessage* journaled = findMutable(record.message_id);
  if (journaled == nullptr || journaled->notice_pending) {
    return ApplyResult::contradictory;
  }
  journaled->attempts.push_back({std::move(record.endpoint), record.sent_at, false});
  return ApplyResult::applied;
}

JournalState::ApplyResult JournalState::applyRecord(AttemptNeverRanRecord& record) {
  JournaledMessage* journaled = findMutable(record.message_id);
  if (journaled == nullptr || record.attempt_index >= journaled->attempts.size()) {
    return ApplyResult::contradictory;
  }
  journaled->attempts[record.attempt_index].never_ran = true;
  return ApplyResult::applied;
}

JournalState::ApplyResult JournalState::applyRecord(NoticePendingRecord& record) {
  JournaledMessage* journaled = findMutable(record.message_id);
  if (journaled == nullptr || journaled->notice_pending) {
    return ApplyResult::contradictory;
  }
  journaled->notice_pending = true;
  journaled->notice = record.notice;
  return ApplyResult::applied;
}

JournalState::ApplyResult JournalState::applyRecord(CompletedRecord& record) {
  const auto found = messages_.find(record.message_id);
  if (found == messages_.end()) {
    return ApplyResult::contradictory;
  }
  completed_messages_.add(found->second.message, endOf(found->second));
  messages_.erase(found);
  return ApplyResult::applied;
}

JournalState::ApplyResult JournalState::applyRecord(EndpointListRecord& record) {
  endpoint_list_ = std::move(record.list);
  return ApplyResult::applied;
}

JournalState::ApplyResult JournalState::applyRecord(HealthStateRecord& record) {
  const HealthKey key{record.health.destination, record.health.endpoint};
  health_records_[key] = std::move(record.health);
  return ApplyResult::applied;
}

void JournalState::assumeUnknownAttempts() {
  for (auto& [message_id, journaled] : messages_) {
    if (journaled.notice_pending) {
      continue;
    }
    const Micros sent_at =
        journaled.attempts.empty() ? kUnknownAttemptTime : journaled.attempts.back().sent_at;
    journaled.attempts.push_back({"", sent_at, false});
  }
}

bool JournalState::abandonUnlessOpen(const std::string& message_id) {
  AcceptedRecord accepted;
  accepted.message.id = message_id;
  if (applyRecord(accepted) != ApplyResult::applied) {
    return false;
  }
  JournaledMessage& journaled = messages_.at(message_id);
  journaled.attempts.push_back({"", kUnknownAttemptTime, false});
  journaled.notice_pending = true;
  return true;
}

void JournalState::limitDeadlines(Micros now) {
  completed_messages_.limitDeadlines(now);
  for (auto& [message_id, journaled] : messages_) {
    SubmittedMessage& message = journaled.message;
    if (message.time_to_live > 0) {
      message.deadline = std::min(message.deadline, Deadline::after(now, message.time_to_live));
    }
  }
}

std::vector<const JournaledMessage*> JournalState::messagesInOrderOfAcceptance() const {
  std::vector<const JournaledMessage*> ordered;
  ordered.reserve(messages_.size());
  for (const auto& [message_id, journaled] : messages_) {
    ordered.push_back(&journaled);
  }
  std::sort(ordered.begin(), ordered.end(), [](const JournaledMessage* a, const JournaledMessage* b) {
    return a->acceptance_order < b->acceptance_order;
  });
  return ordered;
}

const JournaledMessage* JournalState::find(const std::string& message_id) const {
  const auto found = messages_.find(message_id);
  return found == messages_.end() ? nullptr : &found->second;
}

JournaledMessage* JournalState::findMutable(const std::string& message_id) {
  const auto found = messages_.find(message_id);
  return found == messages_.end() ? nullptr : &found->second;
}

}  // namespace delivery
