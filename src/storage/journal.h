// The write-ahead journal of accepted messages. A record is appended and flushed before the action that it
// stands for takes effect: before a client gets the reply that its message is accepted, and before a message
// is sent to an endpoint. A compaction drops the records that are no longer needed: it writes a new file and
// renames it over the old one. The journal records events and makes no delivery decisions.
// Format and guarantees: docs/journal.md.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/clocks.h"
#include "common/events.h"
#include "storage/disk_budget.h"
#include "storage/file_system.h"
#include "storage/journal_error.h"
#include "storage/journal_state.h"
#include "storage/message_space.h"
#include "storage/record_buffer.h"
#include "storage/record_sizes.h"
#include "storage/recovery.h"
#include "storage/recovery_report.h"
#include "storage/submitted_message.h"

namespace delivery {

class Journal {
 public:
  struct Options {
    std::uint64_t disk_budget_bytes = 0;  // limit for all files of the journal together
    // Whether flush() syncs accepted messages and attempts, so that they survive a power cut. Without it,
    // flushed records survive the end of the process, but some may be lost if the machine fails.
    bool durable = false;
    MessageRecordLimits message_records = {};
    CompletedMessageLimits completed_messages = {};
  };
  // What the journal held when it was opened.
  struct Recovered {
    std::vector<JournaledMessage> messages;    // the open ones, in the order of acceptance
    std::string endpoint_list;                 // the latest, in JSON; empty if there is none
    std::vector<HealthRecord> health_records;  // the latest of each destination or endpoint
    RecoveryReport report;
    bool damaged = false;  // records may have been lost, other than by a torn write
  };

  // Opens the journal in `folder`, or creates it, and recovers its content. Throws JournalError if the file
  // can't be opened.
  Journal(const std::string& folder, Options options, const ClockReadings& now = readClocks(),
          FileSystem& files = FileSystem::system());
  ~Journal();
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  const Recovered& recovered() const { return recovered_; }
  // Frees the memory of recovered(), which is empty from then on.
  void discardRecovered() { recovered_ = {}; }

  // Reserves disk space for this message and all its later records, including the space that a compaction
  // needs. The reservation lasts until the next flush(): by then the message has to be recorded as accepted,
  // or to have been rejected. Returns false if the disk budget does not suffice, or if the message would have
  // to be remembered beside too many others; `now` is on the monotonic clock.
  bool reserve(const SubmittedMessage& message, Micros now = monotonicNow());
  // Reserves space for names of endpoints of up to this size in the attempts of all messages. A smaller value
  // than before has no effect.
  void reserveEndpointNames(std::size_t max_name_bytes);

  // Each of the following calls appends a record to a buffer, which flush() writes. A record that contradicts
  // earlier ones is ignored.
  void recordAccepted(const SubmittedMessage& message);
  void recordAttempt(const std::string& message_id, const JournaledAttempt& attempt);
  // The endpoint certainly did not process this attempt. Index 0 is the first attempt of the message.
  void recordNeverRan(const std::string& message_id, std::size_t attempt_index);
  // The message has ended without delivery, and the platform has yet to acknowledge the notice of that.
  void recordNoticePending(const std::string& message_id, const CompletionNotice& notice);
  // The message was delivered, or the endpoint responded that it is gone (410), or it was rejected because
  // its acceptance could not be persisted, or the platform has acknowledged its notice.
  void recordCompleted(const std::string& message_id);
  // The endpoint list and the health records are optional: they are written once they fit beside what the
  // open messages may still need, and a compaction for such messages drops them from the file.
  void recordEndpointList(const std::string& list);  // discovery's answer, in JSON
  void recordHealth(const HealthRecord& health);
  // Whether the file lacks the latest endpoint list or a health record for want of space.
  bool lacksOptionalRecords() const { return lacks_endpoint_list_ || lacks_health_records_; }

  // How the message with this id ended; empty if it is not known or has not ended. Messages of the classes in
  // Options::completed_messages are remembered after their completion, also by the next process.
  std::optional<MessageEnd> endOf(const std::string& message_id) const;

  // Writes the buffered records. A durable journal syncs them if accepted messages or attempts are among
  // them. Returns false on failure: the actions that these records stand for must not take effect, and the
  // records stay buffered for the next flush().
  bool flush();
  // The file operation that made the latest flush() fail. Empty if it succeeded, or if it failed because the
  // disk budget was used up.
  const std::optional<JournalError>& flushError() const { return flush_error_; }
  // The size of the buffered records in bytes, which flush() has not written yet.
  std::size_t unwrittenBytes() const { return buffer_.size(); }

  // Flushes and closes the file. From then on another process may own the files.
  void close();

 private:
  FileDescriptor openOrThrow();
  void recover(const ClockReadings& now);
  void adoptState(ReplayResult& replay, const ClockReadings& now);
  void quarantineDamage(const std::string& data, const std::vector<ByteRange>& damaged_ranges);
  void truncateTornWrite(const ScanResult& scan);
  bool canAppendTo(const ReplayResult& replay) const;
  void appendUnknownAttempts();
  void publishRecovered();

  bool append(const Record& record);
  MessageSpace spaceOf(const SubmittedMessage& message) const;
  void countOpenMessages();
  std::uint64_t liveBytes() const;
  bool makeRoomToRemember(const SubmittedMessage& message, Micros now);
  bool fitsIntoBudget() const;
  std::uint64_t optionalBytes() const;
  std::uint64_t protectedOptionalBytes() const;
  bool optionalRecordsFit() const;
  void appendOptionalRecords();
  void appendHealthRecords(RecordBuffer& records) const;
  bool isWorthCompacting(std::uint64_t file_size) const;

  bool writeBuffer();
  bool appendToFile();
  bool syncIfRequired();
  void undoFailedAppend();
  bool compact();
  RecordBuffer compactedRecords(bool with_optional_records) const;
  bool replaceFile(const std::string& content);
  bool writeAndRename(const FileDescriptor& compacted, const std::string& content);
  bool setFlushError(FileOperation operation, const std::string& path);

  FileSystem& files_;
  std::string folder_;
  std::string path_;
  std::string compaction_path_;
  std::string quarantine_path_;
  Options options_;
  DiskBudget budget_;  // what is left of options_.disk_budget_bytes beside the quarantine file

  FileDescriptor file_;
  std::uint64_t file_size_ = 0;        // in bytes
  MessageSpace open_;                  // of the open messages
  MessageSpace reserved_;              // of messages that will be accepted or rejected by the next flush()
  std::uint64_t health_bytes_ = 0;     // of the health records in state_
  bool lacks_endpoint_list_ = false;   // the file and the buffer do not hold the latest one
  bool lacks_health_records_ = false;  // neither holds all of them

  RecordBuffer buffer_;
  bool sync_required_ = false;     // the buffer holds records that a durable journal has to sync
  bool rewrite_required_ = false;  // the content on the disk is uncertain: the file has to be written anew
  std::optional<JournalError> flush_error_;
  bool last_flush_failed_ = false;

  JournalState state_;
  PersistentClock clock_;
  FileHeader header_;
  Recovered recovered_;
};

}  // namespace delivery
