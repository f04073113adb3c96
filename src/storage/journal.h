// The journal of what this sender has taken on. Append-only records, written before what they
// promise; rewritten without what is over, and renamed. It keeps what happened and decides nothing. Its
// format and what it promises: docs/journal.md.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "storage/file_system.h"
#include "storage/journal_format.h"

namespace delivery {

class Journal {
 public:
  using Entry = JournalEntry;
  struct Options {
    std::uint64_t disk_bytes = 0;
    bool durable = false;  // what is promised outlasts the machine, too
  };
  struct Recovered {
    std::vector<Entry> entries;  // in the order in which they were taken on
    std::string endpoint_list;   // discovery's last list, empty if none
    std::vector<HealthRecord> health_records;
    std::string summary;  // one line for the log
    bool damaged = false;
  };

  // Opens or creates the journal in `folder`. Throws std::runtime_error when that can't be done.
  Journal(const std::string& folder, Options options, const Clocks& now = readClocks(),
          FileSystem& files = FileSystem::system());
  ~Journal();
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  const Recovered& recovered() const { return recovered_; }
  void releaseRecovered() { recovered_ = {}; }

  // Keeps room to take this on and to see it through, old and new file together. It holds until the next
  // flush, by when the message is either taken on or refused. False: there is none.
  bool reserve(const AcceptedMessage& m);

  // Each of these appends to a buffer; flush() writes it. False: what it promises must not be done; the
  // buffer waits for the next flush.
  void recordAccepted(const AcceptedMessage& m);
  void recordAttempt(const std::string& id, const JournaledAttempt& a);
  void recordNeverRan(const std::string& id, std::size_t attempt);
  void recordNoticePending(const std::string& id, const CompletionNotice& n);
  void recordCompleted(const std::string& id);  // delivered, withdrawn, or its notice was answered
  void recordEndpointList(const std::string& list);
  void recordHealth(const HealthRecord& a);
  bool flush();
  void close();  // flushes; from then on another process may own the files

 private:
  std::string readAll();
  void recover(const Clocks& now);
  void goOnInPlace();
  void setAside(const std::string& data, const JournalReading& reading);
  bool append(const std::string& payload);
  std::uint64_t liveBytes() const;
  bool wasteful(std::uint64_t size) const;
  bool compact();
  bool writeAll(int fd, const std::string& data);

  FileSystem& files_;
  std::string folder_, path_, fresh_path_, aside_path_;
  Options options_;
  std::uint64_t disk_ = 0, size_ = 0, live_ = 0, reserved_ = 0, next_number_ = 1;
  int fd_ = -1;
  std::string buffer_;
  bool to_sync_ = false;  // the buffer holds what is promised on being synced
  bool suspect_ = false;  // what was written may not be on the disk, and must be written anew
  JournalState state_;
  DiskClock clock_;
  JournalHead head_;
  Recovered recovered_;
};

}  // namespace delivery
