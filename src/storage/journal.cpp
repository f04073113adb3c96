#include "storage/journal.h"

#include <fcntl.h>

#include <cerrno>
#include <utility>

#include "storage/damage_quarantine.h"
#include "storage/record_codec.h"
#include "storage/record_frame.h"

namespace delivery {
namespace {

// Space for the records that follow a message's acceptance: its attempts, their ends and its notice.
constexpr std::uint64_t kLifecycleBytes = 1536;
// A compaction that the disk budget does not require has to free more than this.
constexpr std::uint64_t kMinCompactionGainBytes = 256u << 10;
// Upper bounds of the sizes of framed records in bytes, used to estimate the size of a compacted file.
constexpr std::uint64_t kMaxHeaderRecordBytes = 128;
constexpr std::uint64_t kMaxHealthRecordBytes = 128;
// The quarantine file may take up to 1/16 of the disk budget.
constexpr std::uint64_t kQuarantineShareDivisor = 16;

// The space that an open message may take in the file, over all its records.
std::uint64_t bytesToReserve(const SubmittedMessage& message) {
  return kFrameOverheadBytes + encodedSize(message) + kLifecycleBytes;
}

bool lastAttemptIsUnknown(const JournaledMessage& journaled) {
  return !journaled.notice_pending && !journaled.attempts.empty() &&
         journaled.attempts.back().endpoint.empty();
}

RecoveryReport makeReport(const ReplayResult& replay, const FileContent& content) {
  RecoveryReport report;
  report.records = replay.scan.records.size();
  report.bytes = content.data.size();
  report.read_errno = content.error;
  report.damaged_ranges = replay.scan.damaged_ranges.size();
  report.gaps = replay.gaps;
  report.unreadable_records = replay.unreadable_records;
  report.contradictory_records = replay.contradictory_records;
  report.abandoned_messages = replay.abandoned_messages;
  report.duplicate_records = replay.scan.duplicate_records;
  report.torn_write = replay.scan.torn_write;
  report.power_cut = replay.power_cut;
  return report;
}

void appendMessageRecords(RecordBuffer& records, const JournaledMessage& journaled) {
  const std::string& message_id = journaled.message.id;
  records.append(AcceptedRecord{journaled.message});
  for (std::size_t i = 0; i < journaled.attempts.size(); ++i) {
    const JournaledAttempt& attempt = journaled.attempts[i];
    records.append(AttemptRecord{message_id, attempt.endpoint, attempt.sent_at});
    if (attempt.never_ran) {
      records.append(AttemptNeverRanRecord{message_id, i});
    }
  }
  if (journaled.notice_pending) {
    records.append(NoticePendingRecord{message_id, journaled.notice});
  }
}

}  // namespace

Journal::Journal(const std::string& folder, Options options, const ClockReadings& now, FileSystem& files)
    : files_(files),
      folder_(folder),
      path_(folder + "/journal"),
      compaction_path_(folder + "/journal.new"),
      quarantine_path_(folder + "/journal.damaged"),
      options_(options),
      budget_(options.disk_budget_bytes),
      file_(openOrThrow()) {
  recover(now);
}

Journal::~Journal() {
  close();
}

void Journal::close() {
  if (!file_.isOpen()) {
    return;
  }
  flush();
  file_.reset();
}

// ---- Recovery

FileDescriptor Journal::openOrThrow() {
  // A leftover of a compaction that was interrupted before its rename: the old file is still complete.
  files_.unlink(compaction_path_);
  FileDescriptor file(files_, files_.open(path_, O_RDWR | O_CREAT | O_APPEND));
  if (!file.isOpen()) {
    throw JournalError(FileOperation::open, path_, errno);
  }
  return file;
}

void Journal::recover(const ClockReadings& now) {
  const FileContent content = readAll(files_, file_);
  ReplayResult replay = replayJournal(content.data, now);
  if (content.error != 0) {  // the rest of the file, which can't be read, counts as damaged
    rewrite_required_ = true;
    replay.state.assumeUnknownAttempts();
  }
  recovered_.damaged = replay.damaged() || rewrite_required_;
  recovered_.report = makeReport(replay, content);
  adoptState(replay, now);
  const off_t size = files_.size(file_.get());
  file_size_ = size < 0 ? content.data.size() : static_cast<std::uint64_t>(size);
  quarantineDamage(content.data, replay.scan.damaged_ranges);
  truncateTornWrite(replay.scan);
  if (!canAppendTo(replay) && !compact()) {
    if (replay.scan.position_lost) {
      rewrite_required_ = true;  // the next process could not verify records that are appended
    } else {
      appendUnknownAttempts();
    }
  }
  // The previous process may have been killed after a write or a rename and before its sync.
  if (options_.durable && (files_.sync(file_.get()) != 0 || files_.syncFolder(folder_) != 0)) {
    rewrite_required_ = true;
  }
  publishRecovered();
}

void Journal::adoptState(ReplayResult& replay, const ClockReadings& now) {
  state_ = std::move(replay.state);
  clock_ = replay.clock;
  buffer_ = RecordBuffer(clock_, replay.next_sequence_number);
  header_ = {kJournalVersion, options_.durable, clock_.shift(), clock_.toStored(now.monotonic), now.boot};
  live_bytes_ = liveBytes();
}

void Journal::quarantineDamage(const std::string& data, const std::vector<ByteRange>& damaged_ranges) {
  DamageQuarantine quarantine(files_, quarantine_path_, options_.disk_budget_bytes / kQuarantineShareDivisor);
  const DamageQuarantine::Result result = quarantine.store(data, damaged_ranges);
  if (!result.opened) {
    return;
  }
  recovered_.report.quarantined = !damaged_ranges.empty();
  recovered_.report.unquarantined_bytes = result.dropped_bytes;
  budget_ = DiskBudget::remainingBeside(options_.disk_budget_bytes, result.file_bytes);
}

void Journal::truncateTornWrite(const ScanResult& scan) {
  if (!scan.torn_write) {
    return;
  }
  if (files_.truncate(file_.get(), static_cast<off_t>(scan.valid_end)) == 0) {
    file_size_ = scan.valid_end;
  } else {
    rewrite_required_ = true;
  }
}

// Whether new records can be appended to the file as it is. Otherwise it is compacted.
bool Journal::canAppendTo(const ReplayResult& replay) const {
  return replay.clock_continues && replay.header.version == kJournalVersion &&
         replay.header.durable == options_.durable && !recovered_.damaged &&
         replay.scan.duplicate_records == 0;
}

// Used if a compaction fails, for instance for lack of disk space. Appends the attempts that recovery
// assumed, as the next start would not know of them otherwise.
void Journal::appendUnknownAttempts() {
  append(header_);
  std::vector<AttemptRecord> unknown_attempts;
  for (const auto& [message_id, journaled] : state_.messages()) {
    if (lastAttemptIsUnknown(journaled)) {
      unknown_attempts.push_back({message_id, "", journaled.attempts.back().sent_at});
    }
  }
  for (const AttemptRecord& attempt : unknown_attempts) {
    if (append(attempt)) {
      sync_required_ = true;
    }
  }
  flush();
}

void Journal::publishRecovered() {
  for (const JournaledMessage* journaled : state_.messagesInOrderOfAcceptance()) {
    recovered_.messages.push_back(*journaled);
  }
  recovered_.endpoint_list = state_.endpointList();
  for (const auto& [key, health] : state_.healthRecords()) {
    recovered_.health_records.push_back(health);
  }
}

// ---- Records

bool Journal::reserve(const SubmittedMessage& message) {
  const std::uint64_t reserved = reserved_bytes_ + bytesToReserve(message);
  const std::uint64_t live = live_bytes_ + reserved;
  // A compacted file takes the live bytes, and the next compaction writes as many again beside it.
  if (!budget_.allowsCompaction(live, live)) {
    return false;
  }
  if (!budget_.allowsCompaction(file_size_ + buffer_.size() + reserved, live)) {
    if (!compact()) {
      return false;
    }
    if (!budget_.allowsCompaction(file_size_ + reserved, live)) {
      return false;
    }
  }
  reserved_bytes_ = reserved;
  return true;
}

bool Journal::append(const Record& record) {
  if (state_.apply(record) != JournalState::ApplyResult::applied) {
    return false;
  }
  buffer_.append(record);
  return true;
}

void Journal::recordAccepted(const SubmittedMessage& message) {
  if (!append(AcceptedRecord{message})) {
    return;
  }
  live_bytes_ += bytesToReserve(message);
  sync_required_ = true;
}

void Journal::recordAttempt(const std::string& message_id, const JournaledAttempt& attempt) {
  if (append(AttemptRecord{message_id, attempt.endpoint, attempt.sent_at})) {
    sync_required_ = true;
  }
}

void Journal::recordNeverRan(const std::string& message_id, std::size_t attempt_index) {
  const std::size_t stored_index = static_cast<std::uint8_t>(attempt_index);  // stored in one byte
  append(AttemptNeverRanRecord{message_id, stored_index});
}

void Journal::recordNoticePending(const std::string& message_id, const CompletionNotice& notice) {
  append(NoticePendingRecord{message_id, notice});
}

void Journal::recordCompleted(const std::string& message_id) {
  const JournaledMessage* journaled = state_.find(message_id);
  if (journaled == nullptr) {
    return;
  }
  live_bytes_ -= bytesToReserve(journaled->message);
  append(CompletedRecord{message_id});
}

void Journal::recordEndpointList(const std::string& list) {
  append(EndpointListRecord{list});
  live_bytes_ = liveBytes();
}

void Journal::recordHealth(const HealthRecord& health) {
  append(HealthStateRecord{health});
  live_bytes_ = liveBytes();
}

std::uint64_t Journal::liveBytes() const {
  std::uint64_t live = kMaxHeaderRecordBytes + kFrameOverheadBytes + state_.endpointList().size() +
                       state_.healthRecords().size() * kMaxHealthRecordBytes;
  for (const auto& [message_id, journaled] : state_.messages()) {
    live += bytesToReserve(journaled.message);
  }
  return live;
}

// ---- Writing

bool Journal::flush() {
  reserved_bytes_ = 0;
  flush_error_.reset();
  if (buffer_.empty() && !rewrite_required_) {
    return true;
  }
  const std::uint64_t size_after = file_size_ + buffer_.size();
  const bool must_compact = rewrite_required_ || !budget_.allowsCompaction(size_after, live_bytes_);
  if ((must_compact || isWorthCompacting(size_after)) && compact()) {
    flush_error_.reset();
    return true;
  }
  if (rewrite_required_ || !budget_.fits(size_after)) {
    return false;
  }
  flush_error_.reset();  // the compaction that failed was not needed yet
  return appendToFile();
}

// Whether more than half of the file, and more than kMinCompactionGainBytes, is no longer live.
bool Journal::isWorthCompacting(std::uint64_t file_size) const {
  return file_size > 2 * live_bytes_ && file_size - live_bytes_ > kMinCompactionGainBytes;
}

bool Journal::appendToFile() {
  if (!writeAll(files_, file_, buffer_.data())) {
    setFlushError(FileOperation::write, path_);
    undoFailedAppend();
    return false;
  }
  if (!syncIfRequired()) {
    undoFailedAppend();
    return false;
  }
  file_size_ += buffer_.size();
  buffer_.clear();
  sync_required_ = false;
  return true;
}

bool Journal::syncIfRequired() {
  if (!options_.durable || !sync_required_) {
    return true;
  }
  if (files_.sync(file_.get()) != 0) {
    return setFlushError(FileOperation::sync, path_);
  }
  return true;
}

// Recovery ends at a partial write, so nothing may be appended to one that can't be removed. After a failed
// sync the content on the disk is unknown. In both cases all of it is written anew to another file.
void Journal::undoFailedAppend() {
  if (files_.truncate(file_.get(), static_cast<off_t>(file_size_)) != 0) {
    rewrite_required_ = true;
    const off_t size = files_.size(file_.get());
    if (size >= 0) {
      file_size_ = static_cast<std::uint64_t>(size);
    }
  }
  rewrite_required_ = rewrite_required_ || options_.durable;
}

// Writes the live state to a new file and renames it over the old one. A kill at any moment leaves either the
// complete old file or the complete new one.
bool Journal::compact() {
  const RecordBuffer records = compactedRecords();
  if (!budget_.fitsTogether(file_size_, records.size())) {
    return false;
  }
  if (!replaceFile(records.data())) {
    return false;
  }
  file_size_ = records.size();
  buffer_ = RecordBuffer(clock_, records.nextSequenceNumber());
  sync_required_ = false;
  live_bytes_ = liveBytes();
  // A rename that is not synced may be undone by a power cut, which brings the old file back.
  rewrite_required_ = options_.durable && files_.syncFolder(folder_) != 0;
  if (rewrite_required_) {
    setFlushError(FileOperation::sync, folder_);
  }
  return !rewrite_required_;
}

RecordBuffer Journal::compactedRecords() const {
  RecordBuffer records(clock_, buffer_.nextSequenceNumber());
  records.append(header_);
  if (!state_.endpointList().empty()) {
    records.append(EndpointListRecord{state_.endpointList()});
  }
  for (const auto& [key, health] : state_.healthRecords()) {
    records.append(HealthStateRecord{health});
  }
  for (const JournaledMessage* journaled : state_.messagesInOrderOfAcceptance()) {
    appendMessageRecords(records, *journaled);
  }
  return records;
}

bool Journal::replaceFile(const std::string& content) {
  FileDescriptor compacted(files_, files_.open(compaction_path_, O_RDWR | O_CREAT | O_TRUNC | O_APPEND));
  if (!compacted.isOpen()) {
    return setFlushError(FileOperation::open, compaction_path_);
  }
  if (!writeAndRename(compacted, content)) {
    compacted.reset();
    files_.unlink(compaction_path_);
    return false;
  }
  file_ = std::move(compacted);
  return true;
}

bool Journal::writeAndRename(const FileDescriptor& compacted, const std::string& content) {
  if (!writeAll(files_, compacted, content)) {
    return setFlushError(FileOperation::write, compaction_path_);
  }
  if (options_.durable && files_.sync(compacted.get()) != 0) {
    return setFlushError(FileOperation::sync, compaction_path_);
  }
  if (files_.rename(compaction_path_, path_) != 0) {
    return setFlushError(FileOperation::rename, compaction_path_);
  }
  return true;
}

// Stores errno of the failed call for flushError(). Always returns false.
bool Journal::setFlushError(FileOperation operation, const std::string& path) {
  flush_error_.emplace(operation, path, errno);
  return false;
}

}  // namespace delivery
