// The write-ahead journal of accepted messages: records are appended and flushed before what they promise is
// done. Records that are no longer needed are dropped by a compaction, which writes a new file and renames
// it. It records events and decides nothing. Format and promises: docs/journal.md.
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
#include "storage/record_buffer.h"
#include "storage/recovery.h"
#include "storage/recovery_report.h"
#include "storage/submitted_message.h"

namespace delivery {

class Journal {
 public:
  struct Options {
    std::uint64_t disk_bytes = 0;  // for all files of the journal together
    bool durable = false;          // promises outlast a power cut: synced before they are made
  };
  struct Recovered {
    std::vector<JournaledMessage> messages;  // in the order of acceptance
    std::string endpoint_list;               // discovery's latest answer, in JSON; empty: none
    std::vector<HealthRecord> health_records;
    RecoveryReport report;
    bool damaged = false;
  };

  // Opens or creates the journal in `folder`. Throws JournalError when it can't be opened.
  Journal(const std::string& folder, Options options, const ClockReadings& now = readClocks(),
          FileSystem& files = FileSystem::system());
  ~Journal();
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  const Recovered& recovered() const { return recovered_; }
  void discardRecovered() { recovered_ = {}; }

  // Reserves room for this message and all its later records, also during a compaction. The reservation
  // holds until the next flush, by when the message has to be recorded as accepted or rejected. False: there
  // is no room.
  bool reserve(const SubmittedMessage& message);

  // Each of these appends to a buffer, which flush() writes. A record that contradicts those before is left
  // out.
  void recordAccepted(const SubmittedMessage& message);
  void recordAttempt(const std::string& message_id, const JournaledAttempt& attempt);
  void recordNeverRan(const std::string& message_id, std::size_t attempt_index);
  void recordNoticePending(const std::string& message_id, const CompletionNotice& notice);
  void recordCompleted(const std::string& message_id);  // delivered, withdrawn, or its notice was confirmed
  void recordEndpointList(const std::string& list);
  void recordHealth(const HealthRecord& health);

  // False: what the buffered records promise must not be done. They stay buffered for the next flush.
  bool flush();
  // The file call that made the last flush() fail; none if it succeeded or the disk budget was used up.
  const std::optional<JournalError>& flushError() const { return flush_error_; }

  // Flushes and closes; from then on another process may own the files.
  void close();

 private:
  FileDescriptor openOrThrow();
  void recover(const ClockReadings& now);
  void adoptState(ReplayResult& journal, const ClockReadings& now);
  void quarantineDamage(const std::string& data, const std::vector<ByteRange>& damaged_ranges);
  void truncateTornWrite(const ScanResult& scan);
  bool canAppendTo(const ReplayResult& journal) const;
  void appendUnknownAttempts();
  void publishRecovered();

  bool append(const Record& record);
  std::uint64_t liveBytes() const;
  bool isWorthCompacting(std::uint64_t file_size) const;

  bool appendToFile();
  bool syncIfRequired();
  void undoFailedAppend();
  bool compact();
  RecordBuffer compactedRecords() const;
  bool replaceFile(const std::string& content);
  bool writeAndRename(const FileDescriptor& compacted, const std::string& content);
  bool failed(FileOperation operation, const std::string& path);

  FileSystem& files_;
  std::string folder_;
  std::string path_;
  std::string compaction_path_;
  std::string quarantine_path_;
  Options options_;
  DiskBudget budget_;  // without the quarantine's file

  FileDescriptor file_;
  std::uint64_t file_size_ = 0;
  std::uint64_t live_bytes_ = 0;      // the size of the file after a compaction, at most
  std::uint64_t reserved_bytes_ = 0;  // for messages that are accepted or rejected by the next flush

  RecordBuffer buffer_;
  bool sync_required_ = false;     // the buffer holds records whose promises need a sync
  bool rewrite_required_ = false;  // the file may not be on the disk as written: it must be written anew
  std::optional<JournalError> flush_error_;

  JournalState state_;
  PersistentClock clock_;
  FileHeader header_;
  Recovered recovered_;
};

}  // namespace delivery
