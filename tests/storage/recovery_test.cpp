// What the journal gives back after damage, failing calls, kills and power cuts: every cut, every flipped
// byte, and a model of all that was promised over random runs on a disk that loses and reorders what was not
// synced.
#include <fcntl.h>
#include <gtest/gtest.h>

#include <boost/crc.hpp>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "storage/journal.h"
#include "support/loopback.h"

namespace delivery {
namespace {

using loopback::TempFolder;

constexpr Micros kS = 1'000'000;
const Clocks kNow{100 * kS, 1'700'000'000 * kS, "boot-a"};

AcceptedMessage message(const std::string& id, std::size_t size = 20) {
  AcceptedMessage m;
  m.id = id;
  m.message_class = "payment";
  m.idempotency_key = "key" + id;
  m.tenant = "t";
  m.body = std::string(size, 'b');
  m.destination = 7;
  m.deadline = Deadline(kNow.monotonic + 28 * kS);
  m.time_to_live = 28 * kS;
  return m;
}

// A disk in memory. A kill stops it in the middle of a call and keeps what was written; a power cut loses any
// part of what was not synced.
class Disk : public FileSystem {
 public:
  explicit Disk(unsigned seed = 1) : rnd_(seed) {}

  int fail = 0;       // this errno ...
  int fail_from = 0;  // ... once so many calls were made, for fail_count calls
  int fail_count = 0;
  int kill_at = 0;  // 0: not
  bool short_writes = false;
  int calls = 0, syncs = 0;
  std::size_t written = 0, most = SIZE_MAX;
  bool dead() const { return dead_; }

  void powerCut() {
    for (auto& [name, node] : std::map<std::string, std::shared_ptr<Node>>(names_))
      cut(*node);
    for (auto& [name, node] : synced_names_)
      cut(*node);
    if (below(2) == 0)
      names_ = synced_names_;  // no rename since is on the disk
    synced_names_ = names_;
    revive();
  }
  void revive() {
    dead_ = false;
    kill_at = calls = 0;
    open_.clear();
  }
  std::string content(const std::string& name) const {
    const auto it = names_.find(name);
    return it == names_.end() ? "" : it->second->now;
  }
  void set(const std::string& name, const std::string& data) {
    auto& node = names_[name];
    if (!node)
      node = std::make_shared<Node>();
    node->now = node->synced = data;
    node->since.clear();
    synced_names_ = names_;
  }
  std::uint64_t onDisk() const {
    std::uint64_t sum = 0;
    for (const auto& [name, node] : names_)
      sum += (node->now.size() + 511) / 512 * 512;
    return sum;
  }

  int open(const std::string& path, int flags) override {
    if (!call())
      return -1;
    auto it = names_.find(path);
    if (it == names_.end()) {
      if (!(flags & O_CREAT))
        return errno = ENOENT, -1;
      it = names_.emplace(path, std::make_shared<Node>()).first;
    }
    if (flags & O_TRUNC)
      it->second->resize(0);
    open_[++next_] = {it->second, 0};
    return next_;
  }
  ssize_t read(int fd, char* to, std::size_t size) override {
    if (!call())
      return -1;
    auto& [node, at] = open_.at(fd);
    const std::size_t n = std::min(size, node->now.size() - at);
    std::memcpy(to, node->now.data() + at, n);
    at += n;
    return static_cast<ssize_t>(n);
  }
  ssize_t write(int fd, const char* from, std::size_t size) override {
    const bool alive = call();
    if (!alive && !dying_)
      return -1;
    std::size_t n = size;
    if (!alive || (short_writes && size > 1))
      n = static_cast<std::size_t>(below(static_cast<int>(size)));
    if (alive && n == 0)
      n = 1;
    const std::size_t used = total();
    if (used + n > most)
      n = most > used ? most - used : 0;
    dying_ = false;
    if (n > 0)
      open_.at(fd).first->append(std::string(from, n));
    written += n;
    if (!alive)
      return -1;
    if (n == 0)
      return errno = ENOSPC, -1;
    return static_cast<ssize_t>(n);
  }
  int truncate(int fd, off_t size) override {
    if (!call())
      return -1;
    open_.at(fd).first->resize(static_cast<std::size_t>(size));
    return 0;
  }
  off_t size(int fd) override {
    if (!call())
      return -1;
    return static_cast<off_t>(open_.at(fd).first->now.size());
  }
  int sync(int fd) override {
    if (!call())
      return -1;
    ++syncs;
    Node& n = *open_.at(fd).first;
    n.synced = n.now;
    n.since.clear();
    return 0;
  }
  int syncFolder(const std::string&) override {
    if (!call())
      return -1;
    ++syncs;
    synced_names_ = names_;
    return 0;
  }
  int rename(const std::string& from, const std::string& to) override {
    if (!call())
      return -1;
    names_[to] = names_.at(from);
    names_.erase(from);
    return 0;
  }
  int unlink(const std::string& path) override {
    if (!call())
      return -1;
    return names_.erase(path) ? 0 : -1;
  }
  void close(int fd) override { open_.erase(fd); }

 private:
  struct Node {
    std::string now, synced;
    std::vector<std::pair<std::size_t, std::string>> since;  // written where, what
    void append(const std::string& s) {
      since.emplace_back(now.size(), s);
      now += s;
    }
    void resize(std::size_t size) {
      now.resize(size);
      std::vector<std::pair<std::size_t, std::string>> kept;
      for (auto& [at, s] : since)
        if (at < size)
          kept.emplace_back(at, s.substr(0, size - at));
      since = kept;
      if (synced.size() > size)
        synced.resize(size);
    }
  };

  bool call() {
    dying_ = false;
    if (dead_)
      return errno = EIO, false;
    ++calls;
    if (kill_at > 0 && calls >= kill_at) {
      dead_ = dying_ = true;
      return errno = EIO, false;
    }
    if (fail != 0 && calls >= fail_from && calls < fail_from + fail_count)
      return errno = fail, false;
    return true;
  }
  // Any of what was not synced is lost, in any order; what was not written reads as zeros.
  void cut(Node& n) {
    std::string kept = n.synced;
    for (const auto& [at, s] : n.since) {
      if (below(3) == 0)
        continue;
      if (kept.size() < at + s.size())
        kept.resize(at + s.size(), '\0');
      kept.replace(at, s.size(), s);
    }
    n.now = n.synced = kept;
    n.since.clear();
  }
  std::size_t total() const {
    std::size_t sum = 0;
    for (const auto& [name, node] : names_)
      sum += node->now.size();
    return sum;
  }
  int below(int n) { return static_cast<int>(rnd_() % static_cast<unsigned>(std::max(1, n))); }

  std::mt19937 rnd_;
  std::map<std::string, std::shared_ptr<Node>> names_, synced_names_;
  std::map<int, std::pair<std::shared_ptr<Node>, std::size_t>> open_;
  int next_ = 2;
  bool dead_ = false, dying_ = false;
};

const char* const kPath = "d/journal";

// A journal with every type of record. Unsafe messages by what is known of them: "run" was sent and may have
// run, "never" was sent and never ran, "new" was not sent, "owed" and "over" are over.
std::string everyType(bool durable = false, const Clocks& now = kNow) {
  Disk disk;
  {
    Journal j("d", {3'000'000, durable}, now, disk);
    j.recordEndpointList("{\"index\":4}");
    j.recordHealth({"", 7, true, 99, 123});
    for (const char* id : {"run", "never", "new", "owed", "over"})
      j.recordAccepted(message(id));
    for (const char* id : {"run", "never", "over"})
      j.recordAttempt(id, {"e1", now.monotonic, false});
    j.recordNeverRan("never", 0);
    j.recordNoticePending("owed", {true, 250});
    j.recordCompleted("over");
    EXPECT_TRUE(j.flush());
  }
  return disk.content(kPath);
}

std::size_t mayHaveRun(const Journal::Entry& e) {
  std::size_t n = 0;
  for (const JournaledAttempt& a : e.attempts)
    n += !a.never_ran;
  return n;
}

struct Found {
  std::map<std::string, Journal::Entry> entries;
  bool damaged = false;
  std::string line;
  bool safeToResume() const {  // what may have run is not there as if it had not
    const auto it = entries.find("run");
    return it == entries.end() || it->second.notice_pending || mayHaveRun(it->second) > 0;
  }
};
Found reopen(Disk& disk, const Clocks& now = kNow, bool durable = false) {
  Journal j("d", {3'000'000, durable}, now, disk);
  Found f;
  f.damaged = j.recovered().damaged;
  f.line = j.recovered().summary;
  for (const auto& e : j.recovered().entries)
    f.entries[e.message.id] = e;
  return f;
}
Found reopen(const std::string& data, const Clocks& now = kNow) {
  Disk disk;
  disk.set(kPath, data);
  return reopen(disk, now);
}

TEST(Recovery, EveryCutLeavesWhatStandsBeforeIt) {
  const std::string whole = everyType();
  std::size_t most = 0;
  for (std::size_t size = 0; size <= whole.size(); ++size) {
    const Found f = reopen(whole.substr(0, size));
    EXPECT_FALSE(f.damaged) << size;
    for (const auto& [id, e] : f.entries)
      EXPECT_LE(mayHaveRun(e), 1u) << id << " is in doubt after a mere cut at " << size;
    most = std::max(most, f.entries.size());
  }
  EXPECT_EQ(5u, most);
}

// Also the last record, and each byte of a head: none is taken for a write that was cut short.
TEST(Recovery, EveryFlippedByteIsFoundAndNothingGoesOutAgain) {
  const std::string whole = everyType();
  for (std::size_t at = 0; at < whole.size(); ++at)
    for (const char bit : {'\x01', '\x80'}) {
      std::string data = whole;
      data[at] = static_cast<char>(data[at] ^ bit);
      Disk disk;
      disk.set(kPath, data);
      const Found f = reopen(disk);
      EXPECT_TRUE(f.damaged) << at;
      EXPECT_TRUE(f.safeToResume()) << at;
      EXPECT_GE(f.entries.size(), 3u) << at;  // one record is lost, no more
      EXPECT_NE(std::string::npos, f.line.find("kept in journal.damaged")) << at;
      EXPECT_NE("", disk.content("d/journal.damaged")) << at;
      const Found again = reopen(disk);
      EXPECT_FALSE(again.damaged) << at << ": it was written anew";
      EXPECT_TRUE(again.safeToResume()) << at;
      EXPECT_EQ(f.entries.size(), again.entries.size()) << at;
    }
}

TEST(Recovery, RepeatedAndSwappedBlocksDoNoHarm) {
  Disk disk;
  {
    Journal j("d", {3'000'000}, kNow, disk);
    for (int i = 0; i < 40; ++i) {
      j.recordAccepted(message("m" + std::to_string(i), 60));
      j.recordAttempt("m" + std::to_string(i), {"e1", kNow.monotonic, false});
    }
    ASSERT_TRUE(j.flush());
  }
  const std::string whole = disk.content(kPath);
  ASSERT_GT(whole.size(), 6 * 512u);
  for (std::size_t a = 0; a + 512 <= whole.size(); a += 512)
    for (std::size_t b = 0; b + 512 <= whole.size(); b += 512) {
      std::string swapped = whole, repeated = whole;
      swapped.replace(a, 512, whole.substr(b, 512));
      swapped.replace(b, 512, whole.substr(a, 512));
      repeated.insert(b, whole.substr(a, 512));
      for (const std::string& data : {swapped, repeated}) {
        const Found f = reopen(data);
        for (const auto& [id, e] : f.entries)
          ASSERT_GT(mayHaveRun(e), 0u) << id << ' ' << a << ' ' << b;
        EXPECT_GE(f.entries.size(), 30u);
      }
    }
}

// Whole records that stand in another order, or twice, are read as if they stood well.
TEST(Recovery, RecordsAreReadByTheirNumbers) {
  const std::string whole = everyType();
  const std::string mark = "\xA7GJ2";
  std::vector<std::string> records;
  for (std::size_t at = 0; at < whole.size();) {
    const std::size_t next = std::min(whole.find(mark, at + 1), whole.size());
    records.push_back(whole.substr(at, next - at));
    at = next;
  }
  std::string backwards, twice;
  for (const std::string& r : records) {
    backwards.insert(0, r);
    twice += r + r;
  }
  const Found sound = reopen(whole);
  for (const std::string& data : {backwards, twice}) {
    const Found f = reopen(data);
    EXPECT_FALSE(f.damaged);
    ASSERT_EQ(sound.entries.size(), f.entries.size());
    for (const auto& [id, e] : sound.entries) {
      EXPECT_EQ(e.attempts.size(), f.entries.at(id).attempts.size()) << id;
      EXPECT_EQ(e.notice_pending, f.entries.at(id).notice_pending) << id;
    }
  }
}

TEST(Recovery, RecordsThatContradictOthersChangeNothing) {
  const DiskClock clock = DiskClock::of(kNow);
  const JournalHead head{kJournalVersion, false, clock.shift(), clock.toDisk(kNow.monotonic), kNow.boot};
  std::uint64_t n = 0;
  std::string data = framed(++n, headPayload(head));
  data += framed(++n, acceptedPayload(message("run"), clock));
  data += framed(++n, attemptedPayload("run", {"e1", 1, false}, clock));
  const std::string sound = data;
  data += framed(++n, acceptedPayload(message("run"), clock));  // would forget its attempt
  data += framed(++n, attemptedPayload("nobody", {"e1", 1, false}, clock));
  data += framed(++n, neverRanPayload("run", 5));
  data += framed(++n, overPayload("nobody"));
  data += framed(++n, owedPayload("nobody", {}));
  const Found f = reopen(data);
  EXPECT_TRUE(f.damaged);
  EXPECT_NE(std::string::npos, f.line.find("5 contradictory")) << f.line;
  ASSERT_EQ(1u, f.entries.size());
  EXPECT_EQ(1u, mayHaveRun(f.entries.at("run")));
  EXPECT_FALSE(reopen(sound).damaged);
}

TEST(Recovery, ANewerVersionAndAnotherProgramsFileAreSaidAndKeptAside) {
  const DiskClock clock = DiskClock::of(kNow);
  const JournalHead newer{kJournalVersion + 1, false, clock.shift(), clock.toDisk(kNow.monotonic), kNow.boot};
  std::string data = framed(1, headPayload(newer));
  data += framed(2, acceptedPayload(message("run"), clock));
  data += framed(3, "Z a type of later days");
  const Found f = reopen(data);
  EXPECT_TRUE(f.damaged);
  EXPECT_NE(std::string::npos, f.line.find("2 of an unknown kind")) << f.line;
  EXPECT_EQ(1u, mayHaveRun(f.entries.at("run"))) << "what is not understood may have been an attempt";
  Disk disk;
  disk.set(kPath, std::string(300'000, '\x7f') + "ELF");
  const Found other = reopen(disk);
  EXPECT_TRUE(other.damaged);
  EXPECT_TRUE(other.entries.empty());
  EXPECT_LE(disk.content("d/journal.damaged").size(), 3'000'000u / 16);
  EXPECT_NE(std::string::npos, other.line.find("but for ")) << other.line;
  EXPECT_LE(disk.onDisk(), 3'000'000u);
}

// Journals from before there were numbers: read, and written anew.
TEST(Recovery, TheVersionBeforeIsRead) {
  const auto word = [](std::uint32_t w) {
    std::string s;
    for (int i = 0; i < 4; ++i)
      s.push_back(static_cast<char>(w >> (8 * i) & 0xff));
    return s;
  };
  const auto number = [](std::int64_t v) {
    std::string s;
    for (int i = 0; i < 8; ++i)
      s.push_back(static_cast<char>(static_cast<std::uint64_t>(v) >> (8 * i) & 0xff));
    return s;
  };
  const auto text = [&](const std::string& s) { return number(static_cast<std::int64_t>(s.size())) + s; };
  const auto record = [&](const std::string& payload) {
    boost::crc_32_type crc;
    crc.process_bytes(payload.data(), payload.size());
    return "\xA7GJ1" + word(static_cast<std::uint32_t>(payload.size())) + word(crc.checksum()) + payload;
  };
  const auto accepted = [&](const std::string& id) {
    return record("A" + text(id) + text("payment") + text("") + text("k") + text("body") + number(7) +
                  number(kNow.unix + 5 * kS) + number(1) + text("t"));
  };
  const std::string first = accepted("run"),
                    tried = record("T" + text("run") + text("e1") + number(kNow.unix));
  const std::string rest =
      accepted("new") + accepted("owed") + record("W" + text("owed") + number(1) + number(250)) +
      record("H" + text("") + number(7) + number(1) + number(kNow.unix - kS) + number(0));
  Disk disk;
  disk.set(kPath, first + tried + rest);
  const Found f = reopen(disk);
  EXPECT_FALSE(f.damaged) << f.line;
  ASSERT_EQ(3u, f.entries.size());
  EXPECT_EQ(kNow.monotonic + 5 * kS, f.entries.at("run").message.deadline.at());
  EXPECT_EQ("t", f.entries.at("run").message.tenant);
  EXPECT_TRUE(f.entries.at("run").message.is_retry);
  EXPECT_EQ(kNow.monotonic, f.entries.at("run").attempts.at(0).sent_at);
  EXPECT_EQ(0u, mayHaveRun(f.entries.at("new")));
  EXPECT_EQ(250, f.entries.at("owed").notice.retry_after_ms);
  EXPECT_EQ("\xA7GJ2", disk.content(kPath).substr(0, 4));
  for (std::size_t at = first.size(); at < first.size() + tried.size(); ++at) {
    std::string data = first + tried + rest;
    data[at] = static_cast<char>(data[at] ^ 0x55);
    EXPECT_TRUE(reopen(data).safeToResume()) << at;
  }
  EXPECT_EQ(1u, reopen(first + tried.substr(0, 20)).entries.size());
}

// ---- Clocks

TEST(RecoveryClocks, AWallClockThatStepsChangesNothing) {
  for (const Micros step : {-3600 * kS, 3600 * kS}) {
    Clocks later = kNow;
    later.monotonic += 10 * kS;
    later.unix += step;
    const Found f = reopen(everyType(), later);
    EXPECT_EQ(message("new").deadline, f.entries.at("new").message.deadline);
    EXPECT_EQ(kNow.monotonic, f.entries.at("run").attempts.at(0).sent_at);
  }
}

// After a reboot only Unix time is left to tell; no message has more than its whole span.
TEST(RecoveryClocks, AfterARebootNoMessageHasMoreThanItsSpan) {
  Clocks later{2 * kS, kNow.unix + 10 * kS, "boot-b"};
  EXPECT_EQ(20 * kS, reopen(everyType(), later).entries.at("new").message.deadline.at());
  later.unix = kNow.unix - 3600 * kS;
  EXPECT_EQ(30 * kS, reopen(everyType(), later).entries.at("new").message.deadline.at());
}

// Where no boot id is known, a clock that stands before what was written is another one.
TEST(RecoveryClocks, AClockThatWentBackIsAnotherOne) {
  const Clocks restarted{kS, kNow.unix + 10 * kS, kNow.boot};
  EXPECT_EQ(19 * kS, reopen(everyType(), restarted).entries.at("new").message.deadline.at());
}

// ---- Power cuts and failing calls

TEST(PowerCut, WithoutDurableWhatIsOpenMayHaveRun) {
  const Clocks rebooted{kS, kNow.unix + kS, "boot-b"};
  const Found f = reopen(everyType(false), rebooted);
  EXPECT_EQ(1u, mayHaveRun(f.entries.at("new")));
  EXPECT_NE(std::string::npos, f.line.find("after a power cut"));
  EXPECT_EQ(0u, mayHaveRun(reopen(everyType(true), rebooted).entries.at("new")));
}

// One sync for all of a turn; none when nothing is promised, and none at all without the setting.
TEST(PowerCut, ATurnIsSyncedOnce) {
  for (const bool durable : {false, true}) {
    Disk disk;
    Journal j("d", {3'000'000, durable}, kNow, disk);
    const int before = disk.syncs;
    for (const char* id : {"a", "b", "c"})
      j.recordAccepted(message(id));
    j.recordAttempt("a", {"e1", kNow.monotonic, false});
    ASSERT_TRUE(j.flush());
    EXPECT_EQ(before + (durable ? 1 : 0), disk.syncs);
    j.recordCompleted("a");
    ASSERT_TRUE(j.flush());
    EXPECT_EQ(before + (durable ? 1 : 0), disk.syncs);
  }
}

// Each call fails in turn, for once or from then on: what was promised is there afterwards, and the disk
// holds no more than it may.
TEST(FailingCalls, EachOfThemLosesNothingThatWasPromised) {
  for (const int error : {ENOSPC, EIO})
    for (const int count : {1, 1'000'000})
      for (int from = 1; from < 60; ++from) {
        SCOPED_TRACE(std::to_string(error) + " from call " + std::to_string(from) + " for " +
                     std::to_string(count));
        Disk disk;
        std::set<std::string> promised, sent;
        disk.fail = error;
        disk.fail_from = from;
        disk.fail_count = count;
        disk.short_writes = from % 2 == 0;
        try {
          Journal j("d", {200'000, from % 3 == 0}, kNow, disk);
          for (int i = 0; i < 60; ++i) {
            const std::string id = "m" + std::to_string(i);
            if (!j.reserve(message(id, 3000)))
              continue;
            j.recordAccepted(message(id, 3000));
            if (j.flush())
              promised.insert(id);
            else {
              j.recordCompleted(id);
              continue;
            }
            j.recordAttempt(id, {"e1", kNow.monotonic, false});
            if (j.flush())
              sent.insert(id);
            if (i % 2 == 0) {
              j.recordCompleted(id);
              j.flush();
              promised.erase(id);
            }
            EXPECT_LE(disk.onDisk(), 200'000u);
          }
        } catch (const std::runtime_error&) {
          EXPECT_TRUE(promised.empty());
        }
        disk.fail = 0;
        const Found f = reopen(disk);
        for (const std::string& id : promised)
          EXPECT_TRUE(f.entries.count(id)) << id;
        for (const auto& [id, e] : f.entries)
          if (sent.count(id))
            EXPECT_GT(mayHaveRun(e), 0u) << id;
      }
}

// Random runs against a model, with kills in any call (also while it recovers, twice in a row, and while it
// rewrites) and power cuts.
class Model {
 public:
  Model(unsigned seed, bool durable) : rnd_(seed), disk_(seed), durable_(durable) {}

  void run() {
    for (int life = 0; life < 8; ++life) {
      for (int start = 0; start < 3; ++start) {
        disk_.kill_at = below(2) == 0 ? 1 + below(12) : 40 + below(200);
        disk_.short_writes = below(2) == 0;
        if (below(5) == 0) {
          disk_.fail = below(2) ? ENOSPC : EIO;
          disk_.fail_from = 8 + below(60);
          disk_.fail_count = 1 + below(5);
        }
        live();
        disk_.fail = 0;
        if (below(3) == 0)
          powerCut();
        else
          disk_.revive();
      }
      disk_.kill_at = 0;
      check();
      if (::testing::Test::HasFatalFailure())
        return;
    }
  }

 private:
  int below(int n) { return static_cast<int>(rnd_() % static_cast<unsigned>(n)); }

  void live() try {
    now_.monotonic += kS;
    now_.unix += kS;
    Journal j("d", {150'000, durable_}, now_, disk_);
    std::map<std::string, std::size_t> attempts;
    for (const auto& e : j.recovered().entries)
      if (!e.notice_pending)
        attempts[e.message.id] = e.attempts.size();
    for (int step = 0; step < 60 && !disk_.dead(); ++step) {
      std::set<std::string> fresh, over;
      std::vector<std::string> sending;
      for (int n = below(4); n > 0; --n) {
        const std::string id = "m" + std::to_string(++ids_);
        AcceptedMessage m = message(id, static_cast<std::size_t>(below(900)));
        m.deadline = Deadline::after(now_.monotonic, m.time_to_live);
        if (!j.reserve(m))
          continue;
        j.recordAccepted(m);
        attempts[id] = 0;
        fresh.insert(id);
      }
      for (auto it = attempts.begin(); it != attempts.end();) {
        const std::string& id = it->first;
        const int what = below(6);
        if (what == 0 && it->second < 12) {
          j.recordAttempt(id, {"e1", now_.monotonic, false});
          ++it->second;
          sending.push_back(id);
        } else if (what == 1 && it->second > 0 && ran_.count(id) && ran_[id] == 1 && !fresh.count(id)) {
          // its only attempt that may have run turns out never to have
          j.recordNeverRan(id, it->second - 1);
          --ran_[id];
        } else if (what == 2 && !fresh.count(id)) {
          j.recordCompleted(id);
          over.insert(id);
          it = attempts.erase(it);
          continue;
        }
        ++it;
      }
      for (const std::string& id : over)
        held_.erase(id);  // it may be there or not from here on
      const bool kept = j.flush();
      ASSERT_LE(disk_.onDisk(), 150'000u);
      if (disk_.dead())
        return;
      for (const std::string& id : fresh) {
        if (kept)
          held_.insert(id);
        else {
          j.recordCompleted(id);
          attempts.erase(id);
        }
      }
      if (kept)
        for (const std::string& id : sending)
          ++ran_[id];  // the call goes out
      else
        for (const std::string& id : sending)
          if (attempts.count(id))
            j.recordNeverRan(id, attempts[id] - 1);
    }
  } catch (const std::runtime_error&) {
  }  // a start that a failing call stopped

  void powerCut() {
    disk_.powerCut();
    now_.boot = "boot-" + std::to_string(++boots_);
    now_.monotonic = kS;
    now_.unix += 60 * kS;
    if (!durable_)
      held_.clear();  // the promise is for the process alone
  }

  void check() {
    now_.monotonic += kS;
    const Found f = reopen(disk_, now_, durable_);
    for (const std::string& id : held_)
      ASSERT_TRUE(f.entries.count(id)) << id << " was taken on; " << f.line;
    for (const auto& [id, e] : f.entries)
      if (ran_.count(id) && ran_[id] > 0 && !e.notice_pending)
        ASSERT_GT(mayHaveRun(e), 0u) << id << " would go out again; " << f.line;
  }

  std::mt19937 rnd_;
  Disk disk_;
  bool durable_;
  Clocks now_ = kNow;
  int ids_ = 0, boots_ = 0;
  std::set<std::string> held_;      // promised, and not over
  std::map<std::string, int> ran_;  // calls that went out and may have run
};

TEST(RecoveryModel, HoldsOverKillsFailingCallsAndPowerCuts) {
  for (const bool durable : {false, true})
    for (unsigned seed = 1; seed <= 150; ++seed) {
      SCOPED_TRACE((durable ? "durable, seed " : "seed ") + std::to_string(seed));
      Model(seed, durable).run();
      if (::testing::Test::HasFatalFailure())
        return;
    }
}

// ---- The tool

struct Ran {
  int status = 0;
  std::string out;
};
Ran tool(const std::string& arguments) {
  Ran r;
  FILE* p = ::popen((std::string(JOURNAL_INSPECT) + " " + arguments + " 2>&1").c_str(), "r");
  char piece[4096];
  for (std::size_t n; (n = std::fread(piece, 1, sizeof piece, p)) > 0;)
    r.out.append(piece, n);
  r.status = WEXITSTATUS(::pclose(p));
  return r;
}

TEST(JournalTool, TellsWhatIsHeldOwedAndDamaged) {
  TempFolder t;
  EXPECT_EQ(2, tool("").status);
  EXPECT_EQ(2, tool("repair " + t.path()).status);
  EXPECT_EQ(2, tool("check " + t.path()).status) << "there is none";
  const auto put = [&](const std::string& data) {
    std::ofstream(t.path() + "/journal", std::ios::binary | std::ios::trunc) << data;
  };
  const std::string whole = everyType(false, readClocks());
  put(whole);
  const Ran sound = tool("check " + t.path());
  EXPECT_EQ(0, sound.status) << sound.out;
  EXPECT_NE(std::string::npos, sound.out.find("held run: destination 7, 1 attempts, of which 1 may have run"))
      << sound.out;
  EXPECT_NE(std::string::npos, sound.out.find("owed owed: handed back")) << sound.out;
  put(whole.substr(0, whole.size() - 3));  // beside a running sender: the last write is half there
  EXPECT_EQ(0, tool("check " + t.path()).status);
  std::string flipped = whole;
  flipped[whole.size() / 2] ^= 1;
  put(flipped);
  const Ran damaged = tool("check " + t.path());
  EXPECT_EQ(1, damaged.status);
  EXPECT_NE(std::string::npos, damaged.out.find("1 damaged stretches")) << damaged.out;
  std::ifstream f(t.path() + "/journal", std::ios::binary);
  EXPECT_EQ(flipped, std::string(std::istreambuf_iterator<char>(f), {})) << "it only reads";
  put("no journal at all");
  EXPECT_EQ(2, tool("check " + t.path()).status);
}

}  // namespace
}  // namespace delivery
