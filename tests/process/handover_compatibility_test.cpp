// A handover between two processes of an earlier version, recorded line by line (tests/data/handover, and
// tests/data/README.md says how): the lines of each side are played to a real process of this version, which
// takes the other side's part.
#include <gtest/gtest.h>
#include <sys/un.h>

#include <algorithm>
#include <fstream>
#include <set>

#include "process/ownership_lock.h"
#include "protocol/json_fields.h"
#include "storage/journal.h"
#include "support/loopback.h"

namespace delivery {
namespace {

using namespace loopback;
using CallKey = std::pair<std::string, int>;

const std::string kFolder = std::string(TEST_DATA_DIR) + "/handover/";
constexpr int kFull = 2, kTimeout = 3, kConnectFailed = 4,
              kNotSent = 7;  // results as they stand in the lines

std::vector<json> jsonLines(const std::string& name) {
  std::ifstream f(kFolder + name);
  EXPECT_TRUE(f) << name;
  std::vector<json> out;
  for (std::string line; std::getline(f, line);) {
    out.push_back(json::parse(line));
  }
  EXPECT_FALSE(out.empty()) << name;
  return out;
}

// The lines of one side, as they were.
std::vector<std::string> linesOf(const std::string& side) {
  std::vector<std::string> out;
  for (const json& l : jsonLines("exchange.jsonl")) {
    if (l.at("from") == side) {
      out.push_back(l.at("line"));
    }
  }
  return out;
}

std::set<CallKey> callsIn(const json& release) {
  std::set<CallKey> out;
  for (const json& c : release) {
    out.emplace(c.at(0).get<std::string>(), c.at(1).get<int>());
  }
  return out;
}

json settings(double aim_ms) {
  json s = plainSettings();
  s["Ceilings"]["DialTimeoutMs"] = 100000.0;
  s["Domain"]["CallSlots"] = 20;
  for (json& c : s["Categories"]) {
    c["AimMs"] = aim_ms;
    c["DeadlineMs"] = 100000.0;
  }
  return s;
}

class UnixSocket {
 public:
  UnixSocket() : fd_(::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0)) {}
  explicit UnixSocket(int fd) : fd_(fd) {}
  ~UnixSocket() { close(); }
  UnixSocket(const UnixSocket&) = delete;
  UnixSocket& operator=(const UnixSocket&) = delete;
  void listen(const std::string& path) {
    const sockaddr_un a = at(path);
    EXPECT_EQ(0, ::bind(fd_, reinterpret_cast<const sockaddr*>(&a), sizeof a));
    EXPECT_EQ(0, ::listen(fd_, 4));
  }
  int accept() {
    pollfd p{fd_, POLLIN, 0};
    return ::poll(&p, 1, kWait) > 0 ? ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC) : -1;
  }
  bool connect(const std::string& path) {
    const sockaddr_un a = at(path);
    return ::connect(fd_, reinterpret_cast<const sockaddr*>(&a), sizeof a) == 0;
  }
  void send(const std::string& line) {
    const std::string whole = line + "\n";
    EXPECT_EQ(static_cast<ssize_t>(whole.size()), ::send(fd_, whole.data(), whole.size(), MSG_NOSIGNAL))
        << line;
  }
  std::string line() {  // empty: the other side has ended, or says nothing
    for (;;) {
      const auto end = in_.find('\n');
      if (end != std::string::npos) {
        std::string l = in_.substr(0, end);
        in_.erase(0, end + 1);
        return l;
      }
      pollfd p{fd_, POLLIN, 0};
      char piece[4096];
      const ssize_t n = ::poll(&p, 1, kWait) > 0 ? ::recv(fd_, piece, sizeof piece, 0) : 0;
      if (n <= 0) {
        return "";
      }
      in_.append(piece, static_cast<std::size_t>(n));
    }
  }
  void close() {
    if (fd_ >= 0) {
      ::close(fd_);
    }
    fd_ = -1;
  }

 private:
  static constexpr int kWait = static_cast<int>(std::chrono::milliseconds(kLong).count());
  static sockaddr_un at(const std::string& path) {
    sockaddr_un a{};
    a.sun_family = AF_UNIX;
    path.copy(a.sun_path, sizeof a.sun_path - 1);
    return a;
  }
  int fd_;
  std::string in_;
};

// Another process that has the lock until it is told to go: a new process kills the owner that does not hand
// over in time, which must not be this one.
class LockHolder {
 public:
  explicit LockHolder(const std::string& folder) {
    int ready[2], go[2];
    EXPECT_EQ(0, ::pipe2(ready, O_CLOEXEC));
    EXPECT_EQ(0, ::pipe2(go, O_CLOEXEC));
    pid_ = ::fork();
    if (pid_ == 0) {
      ::close(go[1]);
      OwnershipLock lock(folder);
      char c = lock.tryAcquire() ? 'y' : 'n';
      (void)!::write(ready[1], &c, 1);
      (void)!::read(go[0], &c, 1);
      ::_exit(0);
    }
    ::close(go[0]);
    ::close(ready[1]);
    go_ = go[1];
    char c = 'n';
    EXPECT_EQ(1, ::read(ready[0], &c, 1));
    EXPECT_EQ('y', c);
    ::close(ready[0]);
  }
  ~LockHolder() { letGo(); }
  LockHolder(const LockHolder&) = delete;
  LockHolder& operator=(const LockHolder&) = delete;
  void letGo() {
    if (pid_ <= 0) {
      return;
    }
    ::close(go_);
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }

 private:
  pid_t pid_ = -1;
  int go_ = -1;
};

// The journal that the older process had left when it let go, with the times of today.
void writeJournal(const std::string& folder, const std::vector<json>& messages) {
  Journal j(folder, {3'000'000});
  const Micros now = monotonicNow();
  for (const json& m : messages) {
    AcceptedMessage t;
    t.id = m.at("message");
    t.message_class = m.at("class");
    t.idempotency_key = m.at("idempotency_key");
    t.body = m.at("body");
    t.destination = m.at("destination");
    t.time_to_live = 100'000'000;
    t.deadline = Deadline::after(now, t.time_to_live);
    j.recordAccepted(t);
    std::size_t n = 0;
    for (const json& a : m.at("attempts")) {
      j.recordAttempt(t.id, {a.at("endpoint"), now, false});
      if (a.at("never_ran") == true) {
        j.recordNeverRan(t.id, n);
      }
      ++n;
    }
  }
  ASSERT_TRUE(j.flush());
}

std::map<std::string, JournalEntry> openIn(const std::string& folder) {
  std::ifstream f(folder + "/journal", std::ios::binary);
  return readJournal({std::istreambuf_iterator<char>(f), {}}, readClocks()).state.entries();
}

// ---- The recorded older process and a real newer one

class RecordedOlder : public testing::TestWithParam<bool> {};

TEST_P(RecordedOlder, HandsOverToARealNewerProcess) {
  const bool early = GetParam();  // the calls end before the newer process has the journal
  const std::vector<json> messages = jsonLines("messages.jsonl");
  const std::vector<std::string> lines = linesOf("older");
  ASSERT_FALSE(isAbsent(json::parse(lines.front()), "release"));

  TempFolder folder;
  const std::string scratch = folder.path() + "-tmp";
  std::filesystem::create_directories(scratch);
  writeJournal(folder.path(), messages);
  LockHolder lock(folder.path());
  loopback::Agent agent;
  Server endpoint(stayOut);
  std::map<std::string, json> by_id;
  std::map<std::string, json> endpoints;
  for (const json& m : messages) {
    by_id[m.at("message")] = m;
    for (const json& a : m.at("attempts")) {
      endpoints[a.at("endpoint")] = listed(a.at("endpoint"), endpoint.address(), m.at("destination"));
    }
  }
  json known = json::array();
  for (const auto& [name, e] : endpoints) {
    known.push_back(e);
  }

  UnixSocket listener;
  listener.listen(scratch + "/handover");
  std::unique_ptr<UnixSocket> link;
  std::vector<json> said;  // up to that it serves; of calls that ended before it may tell waits first
  std::thread older([&] {
    link = std::make_unique<UnixSocket>(listener.accept());
    for (const std::string& l : lines) {
      if (early || &l == &lines.front()) {
        link->send(l);
      }
    }
    lock.letGo();
    do {
      said.push_back(json::parse(link->line(), nullptr, false));
    } while (said.back().is_object() && isAbsent(said.back(), "serving"));
    if (!early) {
      for (std::size_t i = 1; i < lines.size(); ++i) {
        link->send(lines[i]);
      }
    }
  });
  Program newer(folder.path(), agent.address(), known, 3,
                settings(16000));  // as recorded; waits until it is ready
  older.join();
  EXPECT_EQ(R"({"serving":true})", said.back().dump());
  if (!early) {
    EXPECT_EQ(1u, said.size());
  }
  EXPECT_EQ("OK ready", newer.operate("READY"));

  // A told wait holds for the older one's calls, too, and is told to it.
  std::set<std::pair<std::string, std::int64_t>> waits, told;
  std::map<std::string, json> ends;
  for (const std::string& l : lines) {
    const json message = json::parse(l);
    if (isAbsent(message, "outcome")) {
      continue;
    }
    const json& o = message.at("outcome");
    const json& m = by_id.at(o.at("id"));
    if (o.at("wait") > 0) {
      waits.emplace(m.at("attempts").at(o.at("attempt").get<std::size_t>()).at("endpoint").get<std::string>(),
                    m.at("destination").get<std::int64_t>());
    }
    if (o.at("still_out") == false) {
      ends[o.at("id")] = o;
    }
  }
  EXPECT_EQ(callsIn(json::parse(lines.front()).at("release")).size(), ends.size());
  EXPECT_FALSE(waits.empty());
  const auto hear = [&](const json& message) {
    if (!isAbsent(message, "held") && !isAbsent(message, "destination")) {
      told.emplace(message.at("held").get<std::string>(), message.at("destination").get<std::int64_t>());
    }
  };
  for (const json& message : said) {
    hear(message);
  }
  while (!std::includes(told.begin(), told.end(), waits.begin(), waits.end())) {
    const std::string l = link->line();
    ASSERT_FALSE(l.empty()) << "a wait is not told to the older process";
    hear(json::parse(l));
  }

  // What is delivered is over, what must not run twice is given up, and what may is sent again.
  std::set<std::string> again, given_up;
  for (const auto& [id, o] : ends) {
    if (o.at("finished") == true) {
      continue;
    }
    const int result = o.at("result");
    const bool ran = result != kFull && result != kConnectFailed && result != kNotSent;
    (ran && by_id.at(id).at("class") == "payment" ? given_up : again).insert(id);
  }
  EXPECT_FALSE(given_up.empty() || again.empty());
  for (const std::string& id : given_up) {
    EXPECT_TRUE(agent.waitForNotice(id)) << id;
  }
  const auto sent = [&] {
    std::set<std::string> out;
    for (const Seen& s : endpoint.seen()) {
      out.insert(s.field("X-Txn"));
    }
    return out;
  };
  EXPECT_TRUE(eventually([&] { return sent() == again; }))
      << json(sent()).dump() << " not " << json(again).dump();
  const auto written = [&] {
    const auto open = openIn(folder.path());
    std::set<std::string> ids;
    for (const auto& [id, e] : open) {
      ids.insert(id);
      if (e.notice_pending || e.attempts.size() < 2 || ends.count(id) == 0) {
        return false;
      }
      const int result = ends.at(id).at("result");
      const bool never = result == kFull || result == kConnectFailed || result == kNotSent;
      if (e.attempts[0].never_ran != never) {
        return false;
      }
    }
    return ids == again;
  };
  EXPECT_TRUE(eventually(written)) << openIn(folder.path()).size() << " messages open";

  link->close();  // the older one leaves
  EXPECT_EQ("OK ready", newer.operate("READY"));
  EXPECT_EQ(again, sent());
  EXPECT_EQ(given_up.size(), agent.noticeCount()) << agent.allNotices();
}

INSTANTIATE_TEST_SUITE_P(All, RecordedOlder, testing::Bool(), [](const testing::TestParamInfo<bool>& early) {
  return early.param ? "WithItsCallsEndingAtOnce" : "WithItsCallsEndingLater";
});

// ---- The recorded newer process and a real older one

// The answers of the recording; what hung there hangs until it is let.
struct Gates {
  void wait(bool& gate) {
    std::unique_lock<std::mutex> l(mutex);
    changed.wait_for(l, kLong, [&] { return gate; });
  }
  void let(bool& gate) {
    std::lock_guard<std::mutex> l(mutex);
    gate = true;
    changed.notify_all();
  }
  Act act(const std::string& id) {
    const bool last = id.rfind("hang-", 0) == 0 || id == "expires";
    wait(last ? hanging : answering);
    if (last) {
      return {answer("200 OK")};
    }
    if (id == "full") {
      return {answer("429 Full", "Retry-After: 2\r\nX-Pressure: x0=0.9,x1=5\r\n")};
    }
    if (id == "half") {
      return {"HTTP/1.1 429 Full\r\nRetry-After: 1\r\nContent-Length: 9\r\n\r\nhalf"};
    }
    if (id == "error") {
      return {answer("500 Error")};
    }
    if (id == "reset") {
      return {"", false, true};
    }
    return {answer("200 OK", "X-Pressure: x0=0.4,x1=25\r\n")};
  }
  struct Opener {  // at the end of a test that failed, too
    ~Opener() {
      gates.let(gates.answering);
      gates.let(gates.hanging);
    }
    Gates& gates;
  };
  std::mutex mutex;
  std::condition_variable changed;
  bool answering = false, hanging = false;
};

TEST(RecordedNewer, IsHandedOverToByARealOlderProcess) {
  const std::vector<json> messages = jsonLines("messages.jsonl");
  std::vector<std::string> lines = linesOf("newer");
  ASSERT_FALSE(isAbsent(json::parse(lines.front()), "serving"));

  Gates gates;
  Server endpoint([&](const Seen& s) { return gates.act(s.field("X-Txn")); });
  const Gates::Opener opener{gates};
  const StuckListener stuck;
  TempFolder folder;
  loopback::Agent agent;
  const auto is_stuck = [](const json& m) {
    return m.at("message").get<std::string>().rfind("stuck-", 0) == 0;
  };
  std::map<std::string, json> endpoints;
  for (const json& m : messages) {
    const std::string name = m.at("attempts").at(0).at("endpoint");
    endpoints[name] = listed(name, is_stuck(m) ? stuck.address() : endpoint.address(), m.at("destination"));
  }
  json known = json::array();
  for (const auto& [name, e] : endpoints) {
    known.push_back(e);
  }
  Program older(folder.path(), agent.address(), known, 3, settings(100000));  // nothing is overdue meanwhile
  std::size_t written = 0;
  for (const json& m : messages) {
    ASSERT_EQ(
        "+OK",
        Client(older.port()).put(m.at("message"), m.at("class"), m.at("destination"), m.at("body"), 100000));
    written += !is_stuck(m);
  }
  ASSERT_TRUE(endpoint.waitFor(written));

  UnixSocket link;
  ASSERT_TRUE(link.connect(folder.path() + "-tmp/handover"));
  const json release = json::parse(link.line(), nullptr, false);
  OwnershipLock lock(folder.path());
  EXPECT_TRUE(eventually([&] { return lock.tryAcquire(); }));
  link.send(lines.front());  // it serves
  ASSERT_TRUE(release.is_object() && !isAbsent(release, "release")) << release.dump();
  const std::vector<std::string> recorded = linesOf("older");
  EXPECT_EQ(callsIn(json::parse(recorded.front()).at("release")), callsIn(release.at("release")));

  // Each as recorded but for how long it took. Nothing runs into its deadline here: that one is answered.
  std::vector<json> expected, heard;
  for (const std::string& l : recorded) {
    json message = json::parse(l);
    if (isAbsent(message, "outcome")) {
      continue;
    }
    json& o = message.at("outcome");
    EXPECT_EQ(o.at("id") == "expires", o.at("result") == kTimeout);
    if (o.at("id") == "expires") {
      o["result"] = 0, o["finished"] = true;
    }
    o.erase("rtt");
    expected.push_back(message);
  }
  const auto hear = [&](const std::string& id) {  // until an outcome of it has come; any, where none is named
    for (;;) {
      const std::string l = link.line();
      json message = json::parse(l, nullptr, false);
      if (!message.is_object() || isAbsent(message, "outcome")) {
        ADD_FAILURE() << "no outcome of " << id << ": " << l;
        return false;
      }
      json& o = message.at("outcome");
      EXPECT_TRUE(o.at("rtt").is_number_integer());
      EXPECT_EQ(o.at("still_out") == true, o.at("rtt") == 0) << l;
      o.erase("rtt");
      heard.push_back(message);
      if (id.empty() || o.at("id") == id) {
        return true;
      }
    }
  };
  const auto is_cancel = [](const std::string& l) { return !isAbsent(json::parse(l), "cancel"); };
  const auto send_all = [&](bool cancels) {
    std::size_t n = 0;
    for (const std::string& l : lines) {
      if (&l != &lines.front() && is_cancel(l) == cancels) {
        link.send(l), ++n;
      }
    }
    EXPECT_GT(n, 0u);
  };
  const auto was_heard = [&](const std::string& id) {
    return std::any_of(heard.begin(), heard.end(),
                       [&](const json& h) { return h.at("outcome").at("id") == id; });
  };
  send_all(false);  // drains and told waits: what is not written yet goes back
  for (const char* id : {"stuck-drain", "stuck-wait"}) {
    ASSERT_TRUE(was_heard(id) || hear(id));
  }
  EXPECT_EQ(2u, heard.size());
  gates.let(gates.answering);
  for (const char* id : {"done", "full", "error", "reset", "half"}) {
    ASSERT_TRUE(was_heard(id) || hear(id));
  }
  EXPECT_EQ(7u, heard.size());
  send_all(true);
  ASSERT_TRUE(hear("half"));
  ASSERT_TRUE(was_heard("hang-1") || hear("hang-1"));
  EXPECT_EQ(9u, heard.size());
  gates.let(gates.hanging);
  while (heard.size() < expected.size() && hear("")) {
  }
  std::sort(expected.begin(), expected.end());
  std::sort(heard.begin(), heard.end());
  EXPECT_EQ(json(expected).dump(1), json(heard).dump(1));
  const int status = older.wait();  // with nothing left to do it leaves
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << status;
  EXPECT_EQ("", link.line());
}

}  // namespace
}  // namespace delivery
