// Random runs of the journal against a model of all that was promised, with kills in any call (also during
// recovery, several in a row, and during compaction), failing calls, and power cuts.
#include <gtest/gtest.h>

#include <cerrno>
#include <map>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "journal_fixture.h"

namespace delivery {
namespace {

class JournalModel {
 public:
  JournalModel(unsigned seed, bool durable) : random_(seed), disk_(seed), durable_(durable) {}

  void run() {
    for (int round = 0; round < 8; ++round) {
      for (int start = 0; start < 3; ++start) {
        runProcessUntilItEnds();
      }
      disk_.kill_at_call = 0;
      checkPromises();
      if (::testing::Test::HasFatalFailure()) {
        return;
      }
    }
  }

 private:
  static constexpr std::uint64_t kBudgetBytes = 150'000;
  static constexpr std::size_t kMaxAttempts = 12;

  // What one turn of the process did before its flush.
  struct Turn {
    std::set<std::string> accepted;
    std::set<std::string> completed;
    std::vector<std::string> sending;
  };

  int below(int limit) { return static_cast<int>(random_() % static_cast<unsigned>(limit)); }

  void runProcessUntilItEnds() {
    disk_.kill_at_call = below(2) == 0 ? 1 + below(12) : 40 + below(200);
    disk_.short_writes = below(2) == 0;
    if (below(5) == 0) {
      disk_.fail_errno = below(2) != 0 ? ENOSPC : EIO;
      disk_.fail_from = 8 + below(60);
      disk_.fail_count = 1 + below(5);
    }
    runProcess();
    disk_.fail_errno = 0;
    if (below(3) == 0) {
      powerCut();
    } else {
      disk_.restart();
    }
  }

  void runProcess() try {
    now_.monotonic += kSecondMicros;
    now_.unix += kSecondMicros;
    Journal journal(kFolder, {kBudgetBytes, durable_}, now_, disk_);
    attempts_.clear();
    for (const JournaledMessage& entry : journal.recovered().messages) {
      if (!entry.notice_pending) {
        attempts_[entry.message.id] = entry.attempts.size();
      }
    }
    for (int turn = 0; turn < 60 && !disk_.killed(); ++turn) {
      runTurn(journal);
      if (::testing::Test::HasFatalFailure()) {
        return;
      }
    }
  } catch (const JournalError&) {
    return;  // a failing call stopped the start
  }

  void runTurn(Journal& journal) {
    Turn turn;
    acceptMessages(journal, turn);
    advanceMessages(journal, turn);
    for (const std::string& id : turn.completed) {
      promised_.erase(id);  // it may be there or not from here on
    }
    const bool flushed = journal.flush();
    ASSERT_LE(disk_.bytesOnDisk(), kBudgetBytes);
    if (disk_.killed()) {
      return;
    }
    if (flushed) {
      keepPromises(turn);
    } else {
      withdraw(journal, turn);
    }
  }

  void acceptMessages(Journal& journal, Turn& turn) {
    for (int count = below(4); count > 0; --count) {
      ++last_message_;
      const std::string id = "m" + std::to_string(last_message_);
      SubmittedMessage message = testMessage(id, static_cast<std::size_t>(below(900)));
      message.deadline = Deadline::after(now_.monotonic, message.time_to_live);
      if (!journal.reserve(message)) {
        continue;
      }
      journal.recordAccepted(message);
      attempts_[id] = 0;
      turn.accepted.insert(id);
    }
  }

  // Each open message may be sent, turn out never to have run, or be completed.
  void advanceMessages(Journal& journal, Turn& turn) {
    for (auto it = attempts_.begin(); it != attempts_.end();) {
      const std::string id = it->first;
      const bool accepted_before = turn.accepted.count(id) == 0;
      const int choice = below(6);
      if (choice == 0 && it->second < kMaxAttempts) {
        journal.recordAttempt(id, {"e1", now_.monotonic, false});
        ++it->second;
        turn.sending.push_back(id);
      } else if (choice == 1 && it->second > 0 && hasOneAttemptThatMayHaveRun(id) && accepted_before) {
        journal.recordNeverRan(id, it->second - 1);
        --may_have_run_[id];
      } else if (choice == 2 && accepted_before) {
        journal.recordCompleted(id);
        turn.completed.insert(id);
        it = attempts_.erase(it);
        continue;
      }
      ++it;
    }
  }

  bool hasOneAttemptThatMayHaveRun(const std::string& id) const {
    const auto found = may_have_run_.find(id);
    return found != may_have_run_.end() && found->second == 1;
  }

  void keepPromises(const Turn& turn) {
    promised_.insert(turn.accepted.begin(), turn.accepted.end());
    for (const std::string& id : turn.sending) {
      ++may_have_run_[id];  // the call goes out
    }
  }

  void withdraw(Journal& journal, const Turn& turn) {
    for (const std::string& id : turn.accepted) {
      journal.recordCompleted(id);
      attempts_.erase(id);
    }
    for (const std::string& id : turn.sending) {
      if (attempts_.count(id) > 0) {
        journal.recordNeverRan(id, attempts_[id] - 1);
      }
    }
  }

  void powerCut() {
    disk_.powerCut();
    ++boots_;
    now_.boot = "boot-" + std::to_string(boots_);
    now_.monotonic = kSecondMicros;
    now_.unix += 60 * kSecondMicros;
    if (!durable_) {
      promised_.clear();  // the promise holds for the end of the process alone
    }
  }

  void checkPromises() {
    now_.monotonic += kSecondMicros;
    const ReopenedJournal reopened = reopen(disk_, now_, durable_);
    for (const std::string& id : promised_) {
      ASSERT_TRUE(reopened.entries.count(id) > 0) << id << " was accepted; " << reopened.report;
    }
    for (const auto& [id, entry] : reopened.entries) {
      if (may_have_run_.count(id) > 0 && may_have_run_[id] > 0 && !entry.notice_pending) {
        ASSERT_GT(countAttemptsThatMayHaveRun(entry), 0u)
            << id << " would be sent again; " << reopened.report;
      }
    }
  }

  std::mt19937 random_;
  SimulatedDisk disk_;
  bool durable_;
  ClockReadings now_ = kNow;
  int last_message_ = 0;
  int boots_ = 0;
  std::map<std::string, std::size_t> attempts_;  // of each open message in this process
  std::set<std::string> promised_;               // accepted, and not completed
  std::map<std::string, int> may_have_run_;      // calls that went out and may have run
};

TEST(RecoveryModel, PromisesHoldOverKillsFailingCallsAndPowerCuts) {
  for (const bool durable : {false, true}) {
    for (unsigned seed = 1; seed <= 150; ++seed) {
      SCOPED_TRACE((durable ? "durable, seed " : "seed ") + std::to_string(seed));
      JournalModel(seed, durable).run();
      if (::testing::Test::HasFatalFailure()) {
        return;
      }
    }
  }
}

}  // namespace
}  // namespace delivery
