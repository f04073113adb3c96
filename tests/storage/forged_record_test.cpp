// Recovery of journals whose messages hold bytes that look like records: a client's body, order key or
// tenant. A record that is found in such a text must never be applied, in whatever way the scan loses its
// position: a torn write, damage to any field of a frame, bytes that are missing or zero, and files of
// version 1.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "journal_fixture.h"
#include "storage/record_buffer.h"
#include "storage/record_frame.h"
#include "storage/recovery.h"
#include "version1_records.h"

namespace delivery {
namespace {

const PersistentClock kClock = PersistentClock::startingNow(kNow);
constexpr char kForgedId[] = "feedfacefeedface";

std::string concatenated(std::string first, const std::string& second, const std::string& third = "") {
  return first.append(second).append(third);
}

FileHeader fileHeader() {
  return {kJournalVersion, false, kClock.shift(), kClock.toStored(kNow.monotonic), kNow.boot};
}

std::string version1Accepted(const std::string& id, const std::string& body) {
  return version1Record("A" + version1Text(id) + version1Text("payment") + version1Text("") +
                        version1Text("k") + version1Text(body) + version1Integer(7) +
                        version1Integer(kNow.unix + 5 * kSecondMicros) + version1Integer(1) +
                        version1Text("t"));
}

// Frames of every type, with the numbers that the next records of the journal may have, in both versions.
std::string forgedFrames(int numbers = 4) {
  std::string frames;
  for (int number = 1; number <= numbers; ++number) {
    RecordBuffer records(kClock, static_cast<std::uint64_t>(number));
    records.append(AcceptedRecord{testMessage(kForgedId)});
    records.append(CompletedRecord{"open"});
    records.append(AttemptNeverRanRecord{"attempted", 0});
    records.append(NoticePendingRecord{"open", {true, 0}});
    records.append(AttemptRecord{"open", "forged", 1});
    records.append(EndpointListRecord{"{\"forged\":1}"});
    records.append(HealthStateRecord{{"forged", 9, true, 1, 1}});
    records.append(FileHeader{kJournalVersion, true, 5, 5, "forged"});
    frames += records.data();
  }
  return frames + version1Accepted(kForgedId, "x") + version1Record("O" + version1Text("open"));
}

// A journal whose record number 5 holds forged frames in each text that a client can fill.
struct ForgedJournal {
  explicit ForgedJournal(std::string SubmittedMessage::*field = &SubmittedMessage::body)
      : forged_message(testMessage("carrier")) {
    forged_message.*field = forgedFrames();
    RecordBuffer records(kClock, 1);
    records.append(fileHeader());
    records.append(AcceptedRecord{testMessage("open")});
    records.append(AcceptedRecord{testMessage("attempted")});
    records.append(AttemptRecord{"attempted", "e1", kNow.monotonic});
    before = records.data();
    records.append(AcceptedRecord{forged_message});
    forged = records.data().substr(before.size());
    records.append(AcceptedRecord{testMessage("later")});
    records.append(AcceptedRecord{testMessage("last")});
    after = records.data().substr(before.size() + forged.size());
  }

  SubmittedMessage forged_message;
  std::string before;
  std::string forged;  // the frame that holds the forged ones
  std::string after;
};

// Checks that nothing of the forged frames was applied to the messages of the journal: the forged message
// may only have a pending notice.
void expectNothingForged(const ReplayResult& replay) {
  const JournaledMessage* forged = replay.state.find(kForgedId);
  EXPECT_TRUE(forged == nullptr || forged->notice_pending);
  const JournaledMessage* open = replay.state.find("open");
  ASSERT_NE(nullptr, open) << "a forged record completed the message";
  EXPECT_FALSE(open->notice_pending);
  for (const JournaledAttempt& attempt : open->attempts) {
    EXPECT_NE("forged", attempt.endpoint);
  }
  const JournaledMessage* attempted = replay.state.find("attempted");
  ASSERT_NE(nullptr, attempted);
  EXPECT_GT(countAttemptsThatMayHaveRun(*attempted), 0u);
  EXPECT_EQ("", replay.state.endpointList());
  EXPECT_TRUE(replay.state.healthRecords().empty());
  EXPECT_EQ(kNow.boot, replay.header.boot_id);
}

bool isOpen(const ReplayResult& replay, const std::string& id) {
  const JournaledMessage* journaled = replay.state.find(id);
  return journaled != nullptr && !journaled->notice_pending;
}

// Whether a message has an end ahead: it is open, or its notice is pending.
bool isKept(const ReplayResult& replay, const std::string& id) {
  return replay.state.find(id) != nullptr;
}

// Guards against records from a client's text after a kill: a torn write is dropped as a whole.
TEST(ForgedRecords, ATornWriteAtAnyByteAppliesNone) {
  for (const auto field :
       {&SubmittedMessage::body, &SubmittedMessage::order_key, &SubmittedMessage::tenant}) {
    const ForgedJournal journal(field);
    for (std::size_t size = 0; size < journal.forged.size(); ++size) {
      SCOPED_TRACE(size);
      const ReplayResult replay = replayJournal(journal.before + journal.forged.substr(0, size), kNow);
      expectNothingForged(replay);
      EXPECT_EQ(nullptr, replay.state.find(kForgedId));
      EXPECT_EQ(journal.before.size(), replay.scan.valid_end);
      EXPECT_EQ(size > 0, replay.scan.torn_write);
      EXPECT_FALSE(replay.damaged());
      ASSERT_TRUE(isOpen(replay, "open"));
      EXPECT_EQ(0u, replay.state.find("open")->attempts.size()) << "it was never sent, and has to be";
    }
  }
}

// Guards against a search for the next record inside a damaged one: a flipped byte anywhere in it costs this
// record alone, and the ones behind it are found.
TEST(ForgedRecords, AFlippedByteAnywhereAppliesNoneAndCostsOneRecord) {
  const ForgedJournal journal;
  for (std::size_t offset = 0; offset < journal.forged.size(); ++offset) {
    for (const char bits : {'\x01', '\x80', '\x55', '\xff'}) {
      SCOPED_TRACE(offset);
      std::string forged = journal.forged;
      forged[offset] = static_cast<char>(forged[offset] ^ bits);
      const std::string data = concatenated(journal.before, forged, journal.after);
      const ReplayResult replay = replayJournal(data, kNow);
      expectNothingForged(replay);
      EXPECT_EQ(nullptr, replay.state.find(kForgedId));
      EXPECT_FALSE(replay.scan.position_lost);
      EXPECT_TRUE(replay.damaged());
      EXPECT_EQ(1u, replay.gaps);
      EXPECT_TRUE(isOpen(replay, "later"));
      EXPECT_TRUE(isOpen(replay, "last"));
      const ReplayResult at_the_end = replayJournal(journal.before + forged, kNow);
      expectNothingForged(at_the_end);
      EXPECT_EQ(nullptr, at_the_end.state.find(kForgedId));
      EXPECT_TRUE(at_the_end.scan.damaged_tail);
    }
  }
}

// Guards against a search inside a record whose whole header is lost, or that has lost or got bytes. No place
// behind it is certain: each accepted message found there gets a notice and is not sent.
TEST(ForgedRecords, WhereThePositionIsLostMessagesAreAbandonedAndNotSent) {
  const ForgedJournal journal;
  const std::string& whole = journal.forged;
  const std::string zeros(kFrameHeaderBytes, '\0');
  std::vector<std::string> damaged_frames{zeros + whole.substr(zeros.size()), whole.substr(1),
                                          whole.substr(kFrameHeaderBytes),
                                          whole.substr(whole.find("\xA7GJ2", 1) - 20)};
  for (const std::size_t offset : {0u, 5u, 40u, 300u}) {
    damaged_frames.push_back(concatenated(whole.substr(0, offset), "x", whole.substr(offset)));
    damaged_frames.push_back(whole.substr(0, offset) + whole.substr(offset + 3));
    damaged_frames.push_back(
        concatenated(whole.substr(0, offset), std::string(512, '\0'), whole.substr(offset + 512)));
  }
  for (const std::string& damaged : damaged_frames) {
    for (const std::string& after : {journal.after, std::string()}) {
      SCOPED_TRACE(&damaged - damaged_frames.data());
      const ReplayResult replay = replayJournal(concatenated(journal.before, damaged, after), kNow);
      expectNothingForged(replay);
      // At the end of the file, a frame that has lost bytes can't be told from a torn write.
      EXPECT_TRUE(replay.damaged() || (after.empty() && replay.scan.torn_write));
      ASSERT_TRUE(isOpen(replay, "open"));
      if (replay.damaged()) {
        EXPECT_GT(countAttemptsThatMayHaveRun(*replay.state.find("open")), 0u);
      }
      if (!after.empty()) {
        EXPECT_TRUE(isKept(replay, "later"));
        EXPECT_TRUE(isKept(replay, "last"));
      }
    }
  }
}

// What recovery decided about unverified messages has to last: a kill before their notices are sent must not
// turn them into messages to be sent.
TEST(ForgedRecords, AbandonedMessagesStayAbandonedAtTheNextStart) {
  const ForgedJournal journal;
  SimulatedDisk disk;
  disk.setContent(kJournalPath, journal.before + journal.forged.substr(kFrameHeaderBytes) + journal.after);
  for (int start = 0; start < 2; ++start) {
    const ReopenedJournal reopened = reopen(disk);
    EXPECT_EQ(start == 0, reopened.damaged);
    EXPECT_TRUE(reopened.messages.at("later").notice_pending);
    EXPECT_FALSE(reopened.messages.at("later").notice.returned);
    EXPECT_FALSE(reopened.messages.at("open").notice_pending);
    EXPECT_EQ(start == 0 ? 3u : 0u, reopened.report.abandoned_messages) << reopened.report;
  }
}

// Guards against the same in a file of version 1, whose headers have no checksum.
TEST(ForgedRecords, Version1AppliesNone) {
  const std::string before =
      version1Accepted("open", "b") + version1Accepted("attempted", "b") +
      version1Record("T" + version1Text("attempted") + version1Text("e1") + version1Integer(kNow.unix));
  const std::string carrier = version1Accepted("carrier", forgedFrames(3));
  const std::string after = version1Accepted("later", "b");
  const auto expect_none = [](const ReplayResult& replay) {
    const JournaledMessage* forged = replay.state.find(kForgedId);
    EXPECT_TRUE(forged == nullptr || forged->notice_pending);
    ASSERT_TRUE(isOpen(replay, "open"));
    ASSERT_TRUE(isOpen(replay, "attempted"));
    EXPECT_GT(countAttemptsThatMayHaveRun(*replay.state.find("attempted")), 0u);
  };
  for (std::size_t size = 0; size < carrier.size(); ++size) {
    SCOPED_TRACE(size);
    const ReplayResult replay = replayJournal(before + carrier.substr(0, size), kNow);
    expect_none(replay);
    EXPECT_EQ(nullptr, replay.state.find(kForgedId));
    EXPECT_EQ(size > 0, replay.scan.torn_write);
  }
  for (std::size_t offset = 0; offset < carrier.size(); ++offset) {
    SCOPED_TRACE(offset);
    std::string damaged = carrier;
    damaged[offset] = static_cast<char>(damaged[offset] ^ 0x55);
    const ReplayResult replay = replayJournal(concatenated(before, damaged, after), kNow);
    expect_none(replay);
    EXPECT_EQ(nullptr, replay.state.find(kForgedId));
    EXPECT_TRUE(isOpen(replay, "later"));
  }
  expect_none(replayJournal(before + carrier.substr(12) + after, kNow));
}

// Guards against an accepted message that the next process can't verify: if recovery can't remove a torn
// write, or can't write a file anew in which the position is lost, nothing is appended to that file.
TEST(ForgedRecords, NothingIsAppendedToAFileThatRecoveryCouldNotMend) {
  const ForgedJournal forged;
  const std::string torn = forged.before + forged.forged.substr(0, forged.forged.size() - 1);
  const std::string lost = concatenated(forged.before, forged.forged.substr(kFrameHeaderBytes), forged.after);
  for (const std::string& content : {torn, lost}) {
    for (int failing_call = 1; failing_call < 16; ++failing_call) {
      SCOPED_TRACE(failing_call);
      SimulatedDisk disk;
      disk.setContent(kJournalPath, content);
      disk.fail_errno = EIO;
      disk.fail_from = failing_call;
      disk.fail_count = 1;
      bool accepted = false;
      try {
        Journal journal(kFolder, {kDiskBytes}, kNow, disk);
        journal.recordAccepted(testMessage("fresh"));
        accepted = journal.flush() || journal.flush();
      } catch (const JournalError&) {
        continue;  // the file could not be opened
      }
      const ReplayResult replay = replayJournal(disk.content(kJournalPath), kNow);
      EXPECT_TRUE(accepted);
      EXPECT_TRUE(isOpen(replay, "fresh"));
      EXPECT_FALSE(isOpen(replay, kForgedId));
    }
  }
}

// Guards against a record that the scan does not reach: a partial write that can't be removed must not be
// followed by further records, as the scan ends at it.
TEST(ForgedRecords, NothingIsAppendedBehindAPartialWrite) {
  for (int failing_call = 1; failing_call < 30; ++failing_call) {
    SCOPED_TRACE(failing_call);
    const ForgedJournal forged;
    SimulatedDisk disk;
    disk.short_writes = true;
    Journal journal(kFolder, {kDiskBytes}, kNow, disk);
    disk.fail_errno = ENOSPC;
    disk.fail_from = failing_call;
    disk.fail_count = 2;  // the write and the truncation that follows it
    for (int i = 0; i < 12; ++i) {
      SubmittedMessage message = forged.forged_message;
      message.id = "m" + std::to_string(i);
      journal.recordAccepted(message);
      if (!journal.flush()) {
        journal.flush();
      }
    }
    const ReplayResult replay = replayJournal(disk.content(kJournalPath), kNow);
    EXPECT_FALSE(replay.damaged());
    EXPECT_EQ(12u, replay.state.messages().size());
  }
}

}  // namespace
}  // namespace delivery
