#include "storage/recovery.h"

#include <algorithm>
#include <variant>

namespace delivery {
namespace {

class JournalReader {
 public:
  JournalReader(const std::string& data, const ClockReadings& now) : now_(now) {
    journal_.scan = scanRecords(data);
  }

  ReplayResult read() {
    findNewestHeader();
    chooseClock();
    detectPowerCut();
    for (const FramedRecord& record : journal_.scan.records) {
      noteGapBefore(record);
      apply(record);
    }
    journal_.next_sequence_number = last_sequence_number_ + 1;
    if (journal_.scan.damaged_tail || journal_.power_cut) {
      journal_.state.assumeUnknownAttempts();
    }
    if (!journal_.clock_continues) {
      journal_.state.limitDeadlines(now_.monotonic);
    }
    return std::move(journal_);
  }

 private:
  void findNewestHeader() {
    for (const FramedRecord& record : journal_.scan.records) {
      if (record.version == 1) {
        continue;
      }
      try {
        readHeaderOrAttemptTime(record);
      } catch (const RecordDecodeError&) {
        continue;  // apply() counts it
      }
    }
    newest_time_on_disk_ = std::max(newest_time_on_disk_, journal_.header.written_at);
  }

  void readHeaderOrAttemptTime(const FramedRecord& record) {
    const RecordType type = recordTypeOf(record.payload);
    if (type == RecordType::file_header) {
      journal_.header = decodeFileHeader(record.payload);
    }
    if (type == RecordType::attempt) {
      const Record attempt = decodeRecord(record.payload, record.version, PersistentClock());
      newest_time_on_disk_ = std::max(newest_time_on_disk_, std::get<AttemptRecord>(attempt).sent_at);
    }
  }

  // The clock goes on within a boot. Where it stands before the newest time in the file it is another one,
  // even if the boot seems to be the same: a boot id may be unknown.
  void chooseClock() {
    const FileHeader& header = journal_.header;
    const PersistentClock clock_of_file(header.clock_shift);
    journal_.clock_continues = header.version > 0 && header.boot == now_.boot &&
                               clock_of_file.toStored(now_.monotonic) >= newest_time_on_disk_;
    journal_.clock = journal_.clock_continues ? clock_of_file : PersistentClock::startingNow(now_);
  }

  void detectPowerCut() {
    const std::vector<FramedRecord>& records = journal_.scan.records;
    if (records.empty() || records.back().version == 1) {  // version 1 does not know its boot
      return;
    }
    journal_.power_cut = journal_.header.boot != now_.boot && !journal_.header.durable;
  }

  // A missing record may have been an attempt of any message that was open then.
  void noteGapBefore(const FramedRecord& record) {
    const bool is_first = &record == &journal_.scan.records.front();
    if (!is_first && record.sequence_number != last_sequence_number_ + 1) {
      ++journal_.gaps;
      journal_.state.assumeUnknownAttempts();
    }
    last_sequence_number_ = record.sequence_number;
  }

  void apply(const FramedRecord& record) try {
    Record decoded = decodeRecord(record.payload, record.version, journal_.clock);
    if (journal_.state.apply(std::move(decoded)) == JournalState::ApplyResult::contradictory) {
      ++journal_.contradictory_records;
    }
  } catch (const RecordDecodeError&) {
    ++journal_.unreadable_records;
    journal_.state.assumeUnknownAttempts();
  }

  const ClockReadings& now_;
  ReplayResult journal_;
  Micros newest_time_on_disk_ = 0;  // in stored form, see PersistentClock
  std::uint64_t last_sequence_number_ = 0;
};

}  // namespace

bool ReplayResult::damaged() const {
  return !scan.damaged_ranges.empty() || gaps > 0 || unreadable_records > 0 || contradictory_records > 0;
}

ReplayResult replayJournal(const std::string& data, const ClockReadings& now) {
  return JournalReader(data, now).read();
}

}  // namespace delivery
