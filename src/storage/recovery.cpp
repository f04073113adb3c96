#include "storage/recovery.h"

#include <algorithm>
#include <variant>

namespace delivery {
namespace {

class JournalReplayer {
 public:
  JournalReplayer(const std::string& data, const ClockReadings& now,
                  const CompletedMessageLimits& completed_limits)
      : now_(now) {
    result_.state = JournalState(completed_limits);
    result_.scan = scanRecords(data);
  }

  ReplayResult replay() {
    findNewestHeaderAndTime();
    chooseClock();
    detectPowerCut();
    for (const FramedRecord& record : result_.scan.records) {
      detectGapBefore(record);
      apply(record);
    }
    result_.next_sequence_number = last_sequence_number_ + 1;
    if (result_.scan.damaged_tail || result_.power_cut) {
      result_.state.assumeUnknownAttempts();
    }
    for (const FramedRecord& record : result_.scan.unverified_records) {
      abandonUnverifiedMessage(record);
    }
    if (!result_.clock_continues) {
      result_.state.limitDeadlines(now_.monotonic);
    }
    return std::move(result_);
  }

 private:
  void findNewestHeaderAndTime() {
    for (const FramedRecord& record : result_.scan.records) {
      if (record.version == 1) {
        continue;
      }
      try {
        readHeaderOrAttemptTime(record);
      } catch (const RecordDecodeError&) {
        continue;  // apply() counts this record
      }
    }
    newest_stored_time_ = std::max(newest_stored_time_, result_.header.written_at);
  }

  void readHeaderOrAttemptTime(const FramedRecord& record) {
    const RecordType type = recordTypeOf(record.payload);
    if (type == RecordType::file_header) {
      result_.header = decodeFileHeader(record.payload);
    }
    if (type == RecordType::attempt) {
      const Record attempt = decodeRecord(record.payload, record.version, PersistentClock());
      newest_stored_time_ = std::max(newest_stored_time_, std::get<AttemptRecord>(attempt).sent_at);
    }
  }

  // The monotonic clock continues until the machine reboots. If it is before the newest time in the file, the
  // machine has rebooted, even if the boot ids are equal: they may both be unknown.
  void chooseClock() {
    const FileHeader& header = result_.header;
    const PersistentClock file_clock(header.clock_shift);
    result_.clock_continues = header.version > 0 && header.boot_id == now_.boot &&
                              file_clock.toStored(now_.monotonic) >= newest_stored_time_;
    result_.clock = result_.clock_continues ? file_clock : PersistentClock::startingNow(now_);
  }

  void detectPowerCut() {
    const std::vector<FramedRecord>& records = result_.scan.records;
    if (records.empty() || records.back().version == 1) {  // version 1 stores no boot id
      return;
    }
    result_.power_cut = result_.header.boot_id != now_.boot && !result_.header.durable;
  }

  // A missing record may have been an attempt of any message that was open at that point.
  void detectGapBefore(const FramedRecord& record) {
    const bool is_first = &record == &result_.scan.records.front();
    if (!is_first && record.sequence_number != last_sequence_number_ + 1) {
      ++result_.gaps;
      result_.state.assumeUnknownAttempts();
    }
    last_sequence_number_ = record.sequence_number;
  }

  void apply(const FramedRecord& record) try {
    Record decoded = decodeRecord(record.payload, record.version, result_.clock);
    if (result_.state.apply(std::move(decoded)) == JournalState::ApplyResult::contradictory) {
      ++result_.contradictory_records;
    }
  } catch (const RecordDecodeError&) {
    ++result_.unreadable_records;
    result_.state.assumeUnknownAttempts();
  }

  // A message in an unverified record may have been accepted, or a client may have written the record into a
  // body. Therefore it is never sent, and ends with a notice. All other unverified records are ignored: what
  // they may say about open messages is covered by the unknown attempts that a damaged tail adds.
  void abandonUnverifiedMessage(const FramedRecord& record) try {
    if (recordTypeOf(record.payload) != RecordType::accepted) {
      return;
    }
    Record decoded = decodeRecord(record.payload, record.version, result_.clock);
    if (result_.state.abandonUnlessOpen(std::get<AcceptedRecord>(decoded).message.id)) {
      ++result_.abandoned_messages;
    }
  } catch (const RecordDecodeError&) {
    return;
  }

  const ClockReadings& now_;
  ReplayResult result_;
  Micros newest_stored_time_ = 0;  // see PersistentClock
  std::uint64_t last_sequence_number_ = 0;
};

}  // namespace

bool ReplayResult::damaged() const {
  return !scan.damaged_ranges.empty() || gaps > 0 || unreadable_records > 0 || contradictory_records > 0;
}

ReplayResult replayJournal(const std::string& data, const ClockReadings& now,
                           const CompletedMessageLimits& completed_limits) {
  return JournalReplayer(data, now, completed_limits).replay();
}

}  // namespace delivery
