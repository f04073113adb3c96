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
  std::ifstream file(kFolder + name);
  EXPECT_TRUE(file) << name;
  std::vector<json> lines;
  for (std::string line; std::getline(file, line);) {
    lines.push_back(json::parse(line));
  }
  EXPECT_FALSE(lines.empty()) << name;
  return lines;
}

// The recorded names of the two sides.
const std::string kPredecessorSide = "older", kSuccessorSide = "newer";

// The lines that one side sent, unchanged.
std::vector<std::string> linesOf(const std::string& side) {
  std::vector<std::string> lines;
  for (const json& recorded : jsonLines("exchange.jsonl")) {
    if (recorded.at("from") == side) {
      lines.push_back(recorded.at("line"));
    }
  }
  return lines;
}

std::set<CallKey> callsIn(const json& release) {
  std::set<CallKey> calls;
  for (const json& call : release) {
    calls.emplace(call.at(0).get<std::string>(), call.at(1).get<int>());
  }
  return calls;
}

json settings(double objective_ms) {
  json values = testSettings();
  values["Ceilings"]["DialTimeoutMs"] = 100000.0;
  values["Domain"]["CallSlots"] = 20;
  for (json& message_class : values["Categories"]) {
    message_class["AimMs"] = objective_ms;
    message_class["DeadlineMs"] = 100000.0;
  }
  return values;
}

class UnixSocket {
 public:
  UnixSocket() : fd_(::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0)) {}
  explicit UnixSocket(int fd) : fd_(fd) {}
  ~UnixSocket() { close(); }
  UnixSocket(const UnixSocket&) = delete;
  UnixSocket& operator=(const UnixSocket&) = delete;
  void listen(const std::string& path) {
    const sockaddr_un address = addressOf(path);
    EXPECT_EQ(0, ::bind(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address));
    EXPECT_EQ(0, ::listen(fd_, 4));
  }
  int accept() { return waitUntilReadable() ? ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC) : -1; }
  bool connect(const std::string& path) {
    const sockaddr_un address = addressOf(path);
    return ::connect(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
  }
  void send(const std::string& line) {
    const std::string bytes = line + "\n";
    EXPECT_EQ(static_cast<ssize_t>(bytes.size()), ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL))
        << line;
  }
  // The next line; empty: the other side has closed the connection, or sends nothing.
  std::string readLine() {
    for (;;) {
      const auto end = received_.find('\n');
      if (end != std::string::npos) {
        std::string first = received_.substr(0, end);
        received_.erase(0, end + 1);
        return first;
      }
      char piece[4096];
      const ssize_t size = waitUntilReadable() ? ::recv(fd_, piece, sizeof piece, 0) : 0;
      if (size <= 0) {
        return "";
      }
      received_.append(piece, static_cast<std::size_t>(size));
    }
  }
  void close() {
    if (fd_ >= 0) {
      ::close(fd_);
    }
    fd_ = -1;
  }

 private:
  bool waitUntilReadable() const {
    constexpr int kWaitMs = static_cast<int>(std::chrono::milliseconds(kWaitLimit).count());
    pollfd poll_fd{fd_, POLLIN, 0};
    return ::poll(&poll_fd, 1, kWaitMs) > 0;
  }
  static sockaddr_un addressOf(const std::string& path) {
    sockaddr_un address{};
    address.sun_family = AF_UNIX;
    path.copy(address.sun_path, sizeof address.sun_path - 1);
    return address;
  }
  int fd_;
  std::string received_;
};

// A child process that holds the lock until release(): a successor kills an owner that does not hand over in
// time, and the owner must not be the test itself.
class LockHolder {
 public:
  explicit LockHolder(const std::string& folder) {
    int ready[2], release_pipe[2];
    EXPECT_EQ(0, ::pipe2(ready, O_CLOEXEC));
    EXPECT_EQ(0, ::pipe2(release_pipe, O_CLOEXEC));
    pid_ = ::fork();
    if (pid_ == 0) {
      ::close(release_pipe[1]);
      OwnershipLock lock(folder);
      char acquired = lock.tryAcquire() ? 'y' : 'n';
      (void)!::write(ready[1], &acquired, 1);
      (void)!::read(release_pipe[0], &acquired, 1);
      ::_exit(0);
    }
    ::close(release_pipe[0]);
    ::close(ready[1]);
    release_fd_ = release_pipe[1];
    char acquired = 'n';
    EXPECT_EQ(1, ::read(ready[0], &acquired, 1));
    EXPECT_EQ('y', acquired);
    ::close(ready[0]);
  }
  ~LockHolder() { release(); }
  LockHolder(const LockHolder&) = delete;
  LockHolder& operator=(const LockHolder&) = delete;
  void release() {
    if (pid_ <= 0) {
      return;
    }
    ::close(release_fd_);
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }

 private:
  pid_t pid_ = -1;
  int release_fd_ = -1;
};

// The journal as the predecessor had left it when it stepped down, with present times.
void writeJournal(const std::string& folder, const std::vector<json>& messages) {
  Journal journal(folder, {3'000'000});
  const Micros now = monotonicNow();
  for (const json& recorded : messages) {
    SubmittedMessage message;
    message.id = recorded.at("message");
    message.message_class = recorded.at("class");
    message.idempotency_key = recorded.at("idempotency_key");
    message.body = recorded.at("body");
    message.destination = recorded.at("destination");
    message.time_to_live = 100'000'000;
    message.deadline = Deadline::after(now, message.time_to_live);
    journal.recordAccepted(message);
    std::size_t index = 0;
    for (const json& attempt : recorded.at("attempts")) {
      journal.recordAttempt(message.id, {attempt.at("endpoint"), now, false});
      if (attempt.at("never_ran") == true) {
        journal.recordNeverRan(message.id, index);
      }
      ++index;
    }
  }
  ASSERT_TRUE(journal.flush());
}

std::map<std::string, JournaledMessage> openIn(const std::string& folder) {
  std::ifstream file(folder + "/journal", std::ios::binary);
  return replayJournal({std::istreambuf_iterator<char>(file), {}}, readClocks()).state.messages();
}

// ---- The recorded predecessor and a real successor

class RecordedPredecessor : public testing::TestWithParam<bool> {};

TEST_P(RecordedPredecessor, HandsOverToARealSuccessor) {
  const bool early = GetParam();  // the calls end before the successor has the journal
  const std::vector<json> messages = jsonLines("messages.jsonl");
  const std::vector<std::string> lines = linesOf(kPredecessorSide);
  ASSERT_FALSE(isAbsent(json::parse(lines.front()), "release"));

  TempFolder folder;
  const std::string scratch = folder.path() + "-tmp";
  std::filesystem::create_directories(scratch);
  writeJournal(folder.path(), messages);
  LockHolder lock(folder.path());
  DiscoveryServer discovery;
  HttpServer endpoint(neverRespond);
  std::map<std::string, json> by_id;
  std::map<std::string, json> endpoints;
  for (const json& message : messages) {
    by_id[message.at("message")] = message;
    for (const json& attempt : message.at("attempts")) {
      const std::string name = attempt.at("endpoint");
      endpoints[name] = endpointEntry(name, endpoint.address(), message.at("destination"));
    }
  }
  json known = json::array();
  for (const auto& [name, entry] : endpoints) {
    known.push_back(entry);
  }

  UnixSocket listener;
  listener.listen(scratch + "/handover");
  std::unique_ptr<UnixSocket> link;
  // The successor's lines up to `serving`; a Retry-After of calls that ended before may come first.
  std::vector<json> successor_lines;
  std::thread predecessor([&] {
    link = std::make_unique<UnixSocket>(listener.accept());
    for (const std::string& line : lines) {
      if (early || &line == &lines.front()) {
        link->send(line);
      }
    }
    lock.release();
    do {
      successor_lines.push_back(json::parse(link->readLine(), nullptr, false));
    } while (successor_lines.back().is_object() && isAbsent(successor_lines.back(), "serving"));
    if (!early) {
      for (std::size_t i = 1; i < lines.size(); ++i) {
        link->send(lines[i]);
      }
    }
  });
  // With the recorded objective; the constructor waits until the successor is ready.
  SenderProgram successor(folder.path(), discovery.address(), known, 3, settings(16000));
  predecessor.join();
  EXPECT_EQ(R"({"serving":true})", successor_lines.back().dump());
  if (!early) {
    EXPECT_EQ(1u, successor_lines.size());
  }
  EXPECT_EQ("OK ready", successor.sendCommand("READY"));

  // A Retry-After holds for the predecessor's calls, too, and is reported to it.
  std::set<std::pair<std::string, std::int64_t>> expected_holds, reported_holds;
  std::map<std::string, json> final_outcomes;
  for (const std::string& line : lines) {
    const json parsed = json::parse(line);
    if (isAbsent(parsed, "outcome")) {
      continue;
    }
    const json& outcome = parsed.at("outcome");
    const json& message = by_id.at(outcome.at("id"));
    if (outcome.at("wait") > 0) {
      const json& attempt = message.at("attempts").at(outcome.at("attempt").get<std::size_t>());
      expected_holds.emplace(attempt.at("endpoint").get<std::string>(),
                             message.at("destination").get<std::int64_t>());
    }
    if (outcome.at("still_out") == false) {
      final_outcomes[outcome.at("id")] = outcome;
    }
  }
  EXPECT_EQ(callsIn(json::parse(lines.front()).at("release")).size(), final_outcomes.size());
  EXPECT_FALSE(expected_holds.empty());
  const auto note_hold = [&](const json& line) {
    if (!isAbsent(line, "held") && !isAbsent(line, "destination")) {
      reported_holds.emplace(line.at("held").get<std::string>(), line.at("destination").get<std::int64_t>());
    }
  };
  for (const json& line : successor_lines) {
    note_hold(line);
  }
  while (!std::includes(reported_holds.begin(), reported_holds.end(), expected_holds.begin(),
                        expected_holds.end())) {
    const std::string line = link->readLine();
    ASSERT_FALSE(line.empty()) << "a Retry-After is not reported to the predecessor";
    note_hold(json::parse(line));
  }

  // Delivered messages are complete; of the others, those that must not run twice are abandoned and the rest
  // are retried.
  const auto never_ran = [](int result) {
    return result == kFull || result == kConnectFailed || result == kNotSent;
  };
  std::set<std::string> retried, abandoned;
  for (const auto& [id, outcome] : final_outcomes) {
    if (outcome.at("finished") == true) {
      continue;
    }
    const bool may_have_run = !never_ran(outcome.at("result").get<int>());
    std::set<std::string>& ids = may_have_run && by_id.at(id).at("class") == "payment" ? abandoned : retried;
    ids.insert(id);
  }
  EXPECT_FALSE(abandoned.empty() || retried.empty());
  for (const std::string& id : abandoned) {
    EXPECT_TRUE(discovery.waitForNotice(id)) << id;
  }
  const auto sent_ids = [&] {
    std::set<std::string> ids;
    for (const ReceivedRequest& request : endpoint.requests()) {
      ids.insert(request.field("X-Txn"));
    }
    return ids;
  };
  EXPECT_TRUE(eventually([&] { return sent_ids() == retried; }))
      << json(sent_ids()).dump() << " not " << json(retried).dump();
  const auto journal_is_complete = [&] {
    const auto open = openIn(folder.path());
    std::set<std::string> ids;
    for (const auto& [id, entry] : open) {
      ids.insert(id);
      if (entry.notice_pending || entry.attempts.size() < 2 || final_outcomes.count(id) == 0) {
        return false;
      }
      if (entry.attempts[0].never_ran != never_ran(final_outcomes.at(id).at("result").get<int>())) {
        return false;
      }
    }
    return ids == retried;
  };
  EXPECT_TRUE(eventually(journal_is_complete)) << openIn(folder.path()).size() << " messages open";

  link->close();  // the predecessor exits
  EXPECT_EQ("OK ready", successor.sendCommand("READY"));
  EXPECT_EQ(retried, sent_ids());
  EXPECT_EQ(abandoned.size(), discovery.noticeCount()) << discovery.allNotices();
}

INSTANTIATE_TEST_SUITE_P(All, RecordedPredecessor, testing::Bool(),
                         [](const testing::TestParamInfo<bool>& early) {
                           return early.param ? "WithItsCallsEndingAtOnce" : "WithItsCallsEndingLater";
                         });

// ---- The recorded successor and a real predecessor

// Gives the recorded responses, each once its gate has been opened; what hung in the recording has a gate of
// its own.
struct ResponseGates {
  void waitUntilOpen(const bool& gate) {
    std::unique_lock<std::mutex> lock(mutex);
    changed.wait_for(lock, kWaitLimit, [&] { return gate; });
  }
  void open(bool& gate) {
    std::lock_guard<std::mutex> lock(mutex);
    gate = true;
    changed.notify_all();
  }
  ServerAction respond(const std::string& id) {
    const bool hangs = id.rfind("hang-", 0) == 0 || id == "expires";
    waitUntilOpen(hangs ? hanging : answering);
    if (hangs) {
      return {httpResponse("200 OK")};
    }
    if (id == "full") {
      return {httpResponse("429 Full", "Retry-After: 2\r\nX-Pressure: x0=0.9,x1=5\r\n")};
    }
    if (id == "half") {
      return {"HTTP/1.1 429 Full\r\nRetry-After: 1\r\nContent-Length: 9\r\n\r\nhalf"};
    }
    if (id == "error") {
      return {httpResponse("500 Error")};
    }
    if (id == "reset") {
      return {"", false, true};
    }
    return {httpResponse("200 OK", "X-Pressure: x0=0.4,x1=25\r\n")};
  }
  // Opens both gates at the end of a test, also of one that failed.
  struct Opener {
    ~Opener() {
      gates.open(gates.answering);
      gates.open(gates.hanging);
    }
    ResponseGates& gates;
  };
  std::mutex mutex;
  std::condition_variable changed;
  bool answering = false, hanging = false;
};

TEST(RecordedSuccessor, TakesOverFromARealPredecessor) {
  const std::vector<json> messages = jsonLines("messages.jsonl");
  std::vector<std::string> lines = linesOf(kSuccessorSide);
  ASSERT_FALSE(isAbsent(json::parse(lines.front()), "serving"));

  ResponseGates gates;
  HttpServer endpoint([&](const ReceivedRequest& request) { return gates.respond(request.field("X-Txn")); });
  const ResponseGates::Opener opener{gates};
  const FullBacklogListener stuck;
  TempFolder folder;
  DiscoveryServer discovery;
  const auto is_stuck = [](const json& message) {
    return message.at("message").get<std::string>().rfind("stuck-", 0) == 0;
  };
  std::map<std::string, json> endpoints;
  for (const json& message : messages) {
    const std::string name = message.at("attempts").at(0).at("endpoint");
    const std::string address = is_stuck(message) ? stuck.address() : endpoint.address();
    endpoints[name] = endpointEntry(name, address, message.at("destination"));
  }
  json known = json::array();
  for (const auto& [name, entry] : endpoints) {
    known.push_back(entry);
  }
  // An objective so long that nothing is overdue meanwhile.
  SenderProgram predecessor(folder.path(), discovery.address(), known, 3, settings(100000));
  std::size_t written = 0;
  for (const json& message : messages) {
    SenderClient client(predecessor.port());
    ASSERT_EQ("+OK", client.submit(message.at("message"), message.at("class"), message.at("destination"),
                                   message.at("body"), 100000));
    written += !is_stuck(message);
  }
  ASSERT_TRUE(endpoint.waitForRequests(written));

  UnixSocket link;
  ASSERT_TRUE(link.connect(folder.path() + "-tmp/handover"));
  const json release = json::parse(link.readLine(), nullptr, false);
  OwnershipLock lock(folder.path());
  EXPECT_TRUE(eventually([&] { return lock.tryAcquire(); }));
  link.send(lines.front());  // `serving`
  ASSERT_TRUE(release.is_object() && !isAbsent(release, "release")) << release.dump();
  const std::vector<std::string> recorded = linesOf(kPredecessorSide);
  EXPECT_EQ(callsIn(json::parse(recorded.front()).at("release")), callsIn(release.at("release")));

  // Each as recorded except for its duration. Nothing reaches its deadline here: "expires" is answered.
  std::vector<json> expected, received;
  for (const std::string& line : recorded) {
    json parsed = json::parse(line);
    if (isAbsent(parsed, "outcome")) {
      continue;
    }
    json& outcome = parsed.at("outcome");
    EXPECT_EQ(outcome.at("id") == "expires", outcome.at("result") == kTimeout);
    if (outcome.at("id") == "expires") {
      outcome["result"] = 0;
      outcome["finished"] = true;
    }
    outcome.erase("rtt");
    expected.push_back(parsed);
  }
  // Reads outcomes until one of this message; without an id, one outcome of any.
  const auto receive_outcome = [&](const std::string& id) {
    for (;;) {
      const std::string line = link.readLine();
      json parsed = json::parse(line, nullptr, false);
      if (!parsed.is_object() || isAbsent(parsed, "outcome")) {
        ADD_FAILURE() << "no outcome of " << id << ": " << line;
        return false;
      }
      json& outcome = parsed.at("outcome");
      EXPECT_TRUE(outcome.at("rtt").is_number_integer());
      EXPECT_EQ(outcome.at("still_out") == true, outcome.at("rtt") == 0) << line;
      outcome.erase("rtt");
      received.push_back(parsed);
      if (id.empty() || outcome.at("id") == id) {
        return true;
      }
    }
  };
  const auto is_cancel = [](const std::string& line) { return !isAbsent(json::parse(line), "cancel"); };
  const auto send_all = [&](bool cancels) {
    std::size_t count = 0;
    for (const std::string& line : lines) {
      if (&line != &lines.front() && is_cancel(line) == cancels) {
        link.send(line);
        ++count;
      }
    }
    EXPECT_GT(count, 0u);
  };
  const auto was_received = [&](const std::string& id) {
    return std::any_of(received.begin(), received.end(),
                       [&](const json& each) { return each.at("outcome").at("id") == id; });
  };
  send_all(false);  // drains and Retry-Afters: calls that are not written yet are returned
  for (const char* id : {"stuck-drain", "stuck-wait"}) {
    ASSERT_TRUE(was_received(id) || receive_outcome(id));
  }
  EXPECT_EQ(2u, received.size());
  gates.open(gates.answering);
  for (const char* id : {"done", "full", "error", "reset", "half"}) {
    ASSERT_TRUE(was_received(id) || receive_outcome(id));
  }
  EXPECT_EQ(7u, received.size());
  send_all(true);
  ASSERT_TRUE(receive_outcome("half"));
  ASSERT_TRUE(was_received("hang-1") || receive_outcome("hang-1"));
  EXPECT_EQ(9u, received.size());
  gates.open(gates.hanging);
  while (received.size() < expected.size() && receive_outcome("")) {
  }
  std::sort(expected.begin(), expected.end());
  std::sort(received.begin(), received.end());
  EXPECT_EQ(json(expected).dump(1), json(received).dump(1));
  const int status = predecessor.wait();  // it exits as it has nothing left to do
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << status;
  EXPECT_EQ("", link.readLine());
}

}  // namespace
}  // namespace delivery
