// Shared by the tests of the journal: clock readings, messages, a file with every type of record, and helpers
// that reopen a file.
#pragma once

#include <gtest/gtest.h>

#include <cstddef>
#include <map>
#include <ostream>
#include <string>

#include "common/clocks.h"
#include "simulated_disk.h"
#include "storage/journal.h"

namespace delivery {

constexpr Micros kSecondMicros = 1'000'000;
inline const ClockReadings kNow{100 * kSecondMicros, 1'700'000'000 * kSecondMicros, "boot-a"};

constexpr std::uint64_t kDiskBytes = 3'000'000;
constexpr char kFolder[] = "d";
constexpr char kJournalPath[] = "d/journal";
constexpr char kQuarantinePath[] = "d/journal.damaged";

inline SubmittedMessage testMessage(const std::string& id, std::size_t body_bytes = 20) {
  SubmittedMessage message;
  message.id = id;
  message.message_class = "payment";
  message.idempotency_key = "key" + id;
  message.tenant = "t";
  message.body = std::string(body_bytes, 'b');
  message.destination = 7;
  message.deadline = Deadline(kNow.monotonic + 28 * kSecondMicros);
  message.time_to_live = 28 * kSecondMicros;
  return message;
}

// Returns the content of a journal file with every type of record. Its message "run" was sent and may have
// run, "never" was sent and never ran, "new" was not sent, "pending" has a pending notice, and "completed" is
// completed.
inline std::string journalWithEveryRecordType(bool durable = false, const ClockReadings& now = kNow) {
  SimulatedDisk disk;
  {
    Journal journal(kFolder, {kDiskBytes, durable}, now, disk);
    journal.recordEndpointList("{\"index\":4}");
    journal.recordHealth({"", 7, true, 99, 123});
    for (const char* id : {"run", "never", "new", "pending", "completed"}) {
      journal.recordAccepted(testMessage(id));
    }
    for (const char* id : {"run", "never", "completed"}) {
      journal.recordAttempt(id, {"e1", now.monotonic, false});
    }
    journal.recordNeverRan("never", 0);
    journal.recordNoticePending("pending", {true, 250});
    journal.recordCompleted("completed");
    EXPECT_TRUE(journal.flush());
  }
  return disk.content(kJournalPath);
}

inline std::size_t countAttemptsThatMayHaveRun(const JournaledMessage& journaled) {
  std::size_t count = 0;
  for (const JournaledAttempt& attempt : journaled.attempts) {
    count += attempt.never_ran ? 0 : 1;
  }
  return count;
}

inline std::ostream& operator<<(std::ostream& out, const RecoveryReport& report) {
  for (const RecoveryReport::Field& field : report.fields()) {
    out << field.name << '=' << field.value << ' ';
  }
  return out;
}

// What a journal recovered when it was opened again.
struct ReopenedJournal {
  std::map<std::string, JournaledMessage> messages;  // by message id
  bool damaged = false;
  RecoveryReport report;

  // Whether a sender can go on without sending "run" a second time, which may have run: the message is
  // absent, has a pending notice, or has an attempt that may have run.
  bool safeToResume() const {
    const auto run = messages.find("run");
    return run == messages.end() || run->second.notice_pending ||
           countAttemptsThatMayHaveRun(run->second) > 0;
  }
};

inline ReopenedJournal reopen(SimulatedDisk& disk, const ClockReadings& now = kNow, bool durable = false) {
  const Journal journal(kFolder, {kDiskBytes, durable}, now, disk);
  ReopenedJournal reopened;
  reopened.damaged = journal.recovered().damaged;
  reopened.report = journal.recovered().report;
  for (const JournaledMessage& journaled : journal.recovered().messages) {
    reopened.messages[journaled.message.id] = journaled;
  }
  return reopened;
}

inline ReopenedJournal reopen(const std::string& data, const ClockReadings& now = kNow) {
  SimulatedDisk disk;
  disk.setContent(kJournalPath, data);
  return reopen(disk, now);
}

}  // namespace delivery
