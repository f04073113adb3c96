#include "storage/journal.h"

#include <fcntl.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "storage/damage_quarantine.h"
#include "storage/record_codec.h"
#include "storage/record_frame.h"

namespace delivery {
namespace {

// A compaction that the disk budget does not require has to free more than this.
constexpr std::uint64_t kMinCompactionGainBytes = 256u << 10;
// The index of an attempt that never ran is stored in one byte.
constexpr std::size_t kMaxStoredAttemptIndex = UINT8_MAX;
// The quarantine file may take up to 1/16 of the disk budget.
constexpr std::uint64_t kQuarantineShareDivisor = 16;
// New messages leave space for optional records of up to 1/8 of the disk budget.
constexpr std::uint64_t kProtectedOptionalShareDivisor = 8;
// Optional records are written only if so much stays free for the next records. Otherwise almost each flush
// would need a compaction.
constexpr std::uint64_t kOptionalSlackBytes = 128u << 10;

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

// Earlier versions read these records as an ordinary message that was accepted and has ended.
void appendCompletedMessage(RecordBuffer& records, const std::string& message_id,
                            const CompletedMessage& completed) {
  SubmittedMessage stub;
  stub.id = message_id;
  stub.message_class = completed.message_class;
  stub.deadline = completed.deadline;
  stub.time_to_live = completed.time_to_live;
  records.append(AcceptedRecord{stub});
  if (completed.end != MessageEnd::delivered) {
    records.append(NoticePendingRecord{message_id, {completed.end == MessageEnd::rejected, 0}});
  }
  records.append(CompletedRecord{message_id});
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
      options_(std::move(options)),
      budget_(options_.disk_budget_bytes),
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
  state_ = JournalState();  // another process reads the files; this one may go on for its calls in flight
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
  ReplayResult replay = replayJournal(content.data, now, options_.completed_messages);
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
  countOpenMessages();
  for (const auto& [key, health] : state_.healthRecords()) {
    health_bytes_ += healthRecordBytes(health);
  }
}

// The damage is set aside only in space that the open messages do not need.
void Journal::quarantineDamage(const std::string& data, const std::vector<ByteRange>& damaged_ranges) {
  const std::uint64_t free_bytes =
      budget_.freeBesideCompaction(std::max(file_size_, liveBytes()), liveBytes());
  const std::uint64_t capacity = std::min(options_.disk_budget_bytes / kQuarantineShareDivisor, free_bytes);
  DamageQuarantine quarantine(files_, quarantine_path_, capacity);
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

bool Journal::reserve(const SubmittedMessage& message, Micros now) {
  if (!makeRoomToRemember(message, now)) {
    return false;
  }
  const MessageSpace reserved_before = reserved_;
  reserved_ += spaceOf(message);
  // Messages that were remembered long enough give way.
  while (!fitsIntoBudget() && state_.forgetOldestCompleted(now)) {
  }
  const auto fits_now = [&] {
    const std::uint64_t size_after = file_size_ + buffer_.size() + reserved_.bytes;
    return budget_.allowsCompaction(size_after, liveBytes() + reserved_.bytes);
  };
  if (!fitsIntoBudget() || (!fits_now() && !(compact() && fits_now()))) {
    reserved_ = reserved_before;
    return false;
  }
  return true;
}

// Whether what is live and reserved fits. A compacted file takes the live bytes, and the next compaction
// writes as many again beside it.
bool Journal::fitsIntoBudget() const {
  const std::uint64_t compacted = liveBytes() + reserved_.bytes + protectedOptionalBytes();
  return budget_.allowsCompaction(compacted, compacted);
}

// Each open message has its place among the completed ones, so that none is forgotten before its time.
bool Journal::makeRoomToRemember(const SubmittedMessage& message, Micros now) {
  const CompletedMessages& completed = state_.completedMessages();
  if (!completed.remembers(message.message_class)) {
    return true;
  }
  MessageSpace accepted = open_;
  accepted += reserved_;
  const auto has_room = [&] {
    return completed.hasRoomFor(message, accepted.to_remember, accepted.bytes_to_remember);
  };
  while (!has_room()) {
    if (!state_.forgetOldestCompleted(now)) {
      return false;
    }
  }
  return true;
}

void Journal::reserveEndpointNames(std::size_t max_name_bytes) {
  std::size_t& reserved = options_.message_records.endpoint_name_bytes;
  if (max_name_bytes <= reserved) {
    return;
  }
  reserved = max_name_bytes;
  countOpenMessages();
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
  open_ += spaceOf(message);
  sync_required_ = true;
}

void Journal::recordAttempt(const std::string& message_id, const JournaledAttempt& attempt) {
  if (append(AttemptRecord{message_id, attempt.endpoint, attempt.sent_at})) {
    sync_required_ = true;
  }
}

void Journal::recordNeverRan(const std::string& message_id, std::size_t attempt_index) {
  if (attempt_index > kMaxStoredAttemptIndex) {
    return;  // the attempt counts as one that may have run
  }
  append(AttemptNeverRanRecord{message_id, attempt_index});
}

void Journal::recordNoticePending(const std::string& message_id, const CompletionNotice& notice) {
  append(NoticePendingRecord{message_id, notice});
}

void Journal::recordCompleted(const std::string& message_id) {
  const JournaledMessage* journaled = state_.find(message_id);
  if (journaled == nullptr) {
    return;
  }
  open_ -= spaceOf(journaled->message);
  append(CompletedRecord{message_id});
}

std::optional<MessageEnd> Journal::endOf(const std::string& message_id) const {
  const JournaledMessage* journaled = state_.find(message_id);
  if (journaled != nullptr && journaled->notice_pending) {
    return delivery::endOf(*journaled);
  }
  const CompletedMessage* completed = state_.completedMessages().find(message_id);
  return completed == nullptr ? std::nullopt : std::optional<MessageEnd>(completed->end);
}

// The list goes into the buffer in flush(), so that the buffer holds only the latest one.
void Journal::recordEndpointList(const std::string& list) {
  state_.apply(EndpointListRecord{list});
  lacks_endpoint_list_ = true;
}

void Journal::recordHealth(const HealthRecord& health) {
  const auto earlier = state_.healthRecords().find({health.destination, health.endpoint});
  if (earlier != state_.healthRecords().end()) {
    health_bytes_ -= healthRecordBytes(earlier->second);
  }
  health_bytes_ += healthRecordBytes(health);
  state_.apply(HealthStateRecord{health});
  const std::uint64_t size_after = file_size_ + buffer_.size() + healthRecordBytes(health);
  if (lacks_health_records_ || last_flush_failed_ ||
      !budget_.allowsCompaction(size_after, liveBytes() + reserved_.bytes)) {
    lacks_health_records_ = true;  // flush() writes all of them
    return;
  }
  buffer_.append(HealthStateRecord{health});
}

MessageSpace Journal::spaceOf(const SubmittedMessage& message) const {
  const bool is_remembered = state_.completedMessages().remembers(message.message_class);
  return MessageSpace::of(message, options_.message_records, is_remembered);
}

void Journal::countOpenMessages() {
  open_ = {};
  for (const auto& [message_id, journaled] : state_.messages()) {
    open_ += spaceOf(journaled.message);
  }
}

// An upper bound of the file size after a compaction, without optional records.
std::uint64_t Journal::liveBytes() const {
  return kMaxHeaderRecordBytes + open_.bytes + state_.completedMessages().bytes();
}

std::uint64_t Journal::optionalBytes() const {
  return endpointListBytes(state_.endpointList()) + health_bytes_;
}

// Larger optional records have to wait until the open messages leave room for them.
std::uint64_t Journal::protectedOptionalBytes() const {
  const std::uint64_t bytes = optionalBytes();
  return bytes <= options_.disk_budget_bytes / kProtectedOptionalShareDivisor ? bytes : 0;
}

// Whether a compacted file with the optional records leaves enough space for the records of all open messages
// and for the next compaction.
bool Journal::optionalRecordsFit() const {
  const std::uint64_t live = liveBytes() + reserved_.bytes;
  return budget_.allowsCompaction(live + optionalBytes() + kOptionalSlackBytes, live);
}

// ---- Writing

bool Journal::flush() {
  reserved_ = {};
  flush_error_.reset();
  appendOptionalRecords();
  const bool flushed = writeBuffer();
  last_flush_failed_ = !flushed;
  return flushed;
}

bool Journal::writeBuffer() {
  if (buffer_.empty() && !rewrite_required_) {
    return true;
  }
  const std::uint64_t size_after = file_size_ + buffer_.size();
  const bool must_compact = rewrite_required_ || !budget_.allowsCompaction(size_after, liveBytes());
  if ((must_compact || isWorthCompacting(size_after)) && compact()) {
    flush_error_.reset();
    return true;
  }
  // Some space always stays free, so that the file can be compacted once few messages are open.
  if (rewrite_required_ || !budget_.allowsCompaction(size_after, 0)) {
    return false;
  }
  flush_error_.reset();  // the compaction that failed was not needed yet
  return appendToFile();
}

// Adds the optional records that the file lacks to the buffer if they fit, but not while writes fail, when
// the buffer would grow with each of them. If only a compaction makes room for them, it is done here.
void Journal::appendOptionalRecords() {
  if (!lacksOptionalRecords() || last_flush_failed_ || !optionalRecordsFit()) {
    return;
  }
  const std::uint64_t size_after = file_size_ + buffer_.size() + optionalBytes();
  if (!budget_.allowsCompaction(size_after + kOptionalSlackBytes, liveBytes())) {
    compact();
    return;
  }
  if (lacks_endpoint_list_) {
    buffer_.append(EndpointListRecord{state_.endpointList()});
  }
  if (lacks_health_records_) {
    appendHealthRecords(buffer_);
  }
  lacks_endpoint_list_ = false;
  lacks_health_records_ = false;
}

void Journal::appendHealthRecords(RecordBuffer& records) const {
  for (const auto& [key, health] : state_.healthRecords()) {
    records.append(HealthStateRecord{health});
  }
}

// Whether more than half of the file, and more than kMinCompactionGainBytes, is no longer live.
bool Journal::isWorthCompacting(std::uint64_t file_size) const {
  const std::uint64_t compacted = liveBytes() + (optionalRecordsFit() ? optionalBytes() : 0);
  return file_size > 2 * compacted && file_size - compacted > kMinCompactionGainBytes;
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
  bool with_optional_records = optionalRecordsFit();
  RecordBuffer records = compactedRecords(with_optional_records);
  if (with_optional_records && !budget_.fitsTogether(file_size_, records.size())) {
    with_optional_records = false;
    records = compactedRecords(with_optional_records);
  }
  if (!budget_.fitsTogether(file_size_, records.size())) {
    return false;
  }
  if (!replaceFile(records.data())) {
    return false;
  }
  file_size_ = records.size();
  buffer_ = RecordBuffer(clock_, records.nextSequenceNumber());
  sync_required_ = false;
  lacks_endpoint_list_ = !with_optional_records && !state_.endpointList().empty();
  lacks_health_records_ = !with_optional_records && health_bytes_ > 0;
  // A rename that is not synced may be undone by a power cut, which brings the old file back.
  rewrite_required_ = options_.durable && files_.syncFolder(folder_) != 0;
  if (rewrite_required_) {
    setFlushError(FileOperation::sync, folder_);
  }
  return !rewrite_required_;
}

RecordBuffer Journal::compactedRecords(bool with_optional_records) const {
  RecordBuffer records(clock_, buffer_.nextSequenceNumber());
  records.append(header_);
  if (with_optional_records && !state_.endpointList().empty()) {
    records.append(EndpointListRecord{state_.endpointList()});
  }
  if (with_optional_records) {
    appendHealthRecords(records);
  }
  for (const auto& [message_id, completed] : state_.completedMessages().messages()) {
    appendCompletedMessage(records, message_id, completed);
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
