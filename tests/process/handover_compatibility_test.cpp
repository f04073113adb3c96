// Tests that this version can hand over to, and take over from, an earlier version. A handover between two
// processes of an earlier version was recorded line by line (tests/data/handover; tests/data/README.md
// describes how). Each test replays the lines of one side to a real process of this version, which takes the
// role of the other side.
#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <set>

#include "protocol/json_fields.h"
#include "storage/journal.h"
#include "support/handover_peer.h"
#include "support/loopback.h"

namespace delivery {
namespace {

using namespace loopback;
using CallKey = std::pair<std::string, int>;

const std::string kRecordingFolder = std::string(TEST_DATA_DIR) + "/handover/";
// The result codes of outcomes in the recorded lines.
constexpr int kThrottled = 2;
constexpr int kTimeout = 3;
constexpr int kConnectFailed = 4;
constexpr int kNotSent = 7;

std::vector<json> readJsonLines(const std::string& name) {
  std::ifstream file(kRecordingFolder + name);
  EXPECT_TRUE(file) << name;
  std::vector<json> lines;
  for (std::string line; std::getline(file, line);) {
    lines.push_back(json::parse(line));
  }
  EXPECT_FALSE(lines.empty()) << name;
  return lines;
}

// The names of the two sides in the recording.
const std::string kPredecessorSide = "older";
const std::string kSuccessorSide = "newer";

// The recorded lines that one side sent, unchanged.
std::vector<std::string> linesSentBy(const std::string& side) {
  std::vector<std::string> lines;
  for (const json& recorded : readJsonLines("exchange.jsonl")) {
    if (recorded.at("from") == side) {
      lines.push_back(recorded.at("line"));
    }
  }
  return lines;
}

// The calls that a `release` line names.
std::set<CallKey> callsIn(const json& release) {
  std::set<CallKey> calls;
  for (const json& call : release) {
    calls.emplace(call.at(0).get<std::string>(), call.at(1).get<int>());
  }
  return calls;
}

// Test settings with this latency objective, and with limits that no call reaches during a test.
json settingsWithObjective(double objective_ms) {
  json values = testSettings();
  values["Ceilings"]["DialTimeoutMs"] = 100000.0;
  values["Domain"]["CallSlots"] = 20;
  for (json& message_class : values["Categories"]) {
    message_class["AimMs"] = objective_ms;
    message_class["DeadlineMs"] = 100000.0;
  }
  return values;
}

// Writes the journal as the predecessor had left it when it stepped down, but with present times.
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

// The messages in the journal that are not completed, by id.
std::map<std::string, JournaledMessage> openMessagesIn(const std::string& folder) {
  std::ifstream file(folder + "/journal", std::ios::binary);
  return replayJournal({std::istreambuf_iterator<char>(file), {}}, readClocks()).state.messages();
}

// ---- A predecessor of an earlier version holds a message that HTTP can't carry

// Guards against an upgrade that ends the successor: the predecessor names a call with an id that HTTP can't
// carry as in flight, and ends when it sends it. The message gets its notice, and the one beside it is
// delivered.
TEST(HandoverFromEarlierPredecessor, ACallThatHttpCannotCarryIsAbandoned) {
  const std::string oversized_id(65'536, 'a');
  TempFolder folder;
  const std::string scratch = folder.path() + "-tmp";
  std::filesystem::create_directories(scratch);
  const json attempts = json::array({{{"endpoint", "e1"}, {"never_ran", false}}});
  json message{{"class", "notice"}, {"idempotency_key", ""}, {"body", "b"}, {"destination", 7}};
  message.update({{"message", oversized_id}, {"attempts", attempts}});
  json other = message;
  other.update({{"message", "other"}, {"attempts", json::array()}});
  writeJournal(folder.path(), {message, other});
  LockHolder lock(folder.path());
  UnixSocket listener;
  listener.listen(scratch + "/handover");
  std::thread predecessor([&] {
    UnixSocket link(listener.accept());
    const json calls = json::array({json::array({oversized_id, 0})});
    link.send(json{{"release", calls}}.dump());
    lock.release();
    EXPECT_EQ(R"({"serving":true})", link.readLine());
  });
  DiscoveryServer discovery;
  HttpServer endpoint(respondOk);
  SenderProgram successor(folder.path(), discovery.address(),
                          json::array({endpointEntry("e1", endpoint.address(), 7)}));
  predecessor.join();
  ASSERT_TRUE(discovery.waitForNotice(oversized_id));
  EXPECT_EQ("given_up", discovery.notice(oversized_id)["outcome"]);
  ASSERT_TRUE(endpoint.waitForRequests(1));
  EXPECT_EQ("other", endpoint.requests()[0].field("X-Txn"));
}

// ---- A recorded predecessor hands over to a real successor

// The parameter is true if the outcomes of all calls arrive before the successor owns the journal.
class HandoverFromRecordedPredecessor : public testing::TestWithParam<bool> {};

TEST_P(HandoverFromRecordedPredecessor, HandsOverToARealSuccessor) {
  const bool outcomes_precede_lock = GetParam();
  const std::vector<json> messages = readJsonLines("messages.jsonl");
  const std::vector<std::string> lines = linesSentBy(kPredecessorSide);
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
  // The successor's lines up to `serving`. A Retry-After of calls that ended earlier may come before it.
  std::vector<json> successor_lines;
  std::thread predecessor([&] {
    link = std::make_unique<UnixSocket>(listener.accept());
    for (const std::string& line : lines) {
      if (outcomes_precede_lock || &line == &lines.front()) {
        link->send(line);
      }
    }
    lock.release();
    do {
      successor_lines.push_back(json::parse(link->readLine(), nullptr, false));
    } while (successor_lines.back().is_object() && isAbsent(successor_lines.back(), "serving"));
    if (!outcomes_precede_lock) {
      for (std::size_t i = 1; i < lines.size(); ++i) {
        link->send(lines[i]);
      }
    }
  });
  // Uses the latency objective of the recording. The constructor waits until the successor is ready.
  SenderProgram successor(folder.path(), discovery.address(), known, 3, settingsWithObjective(16000));
  predecessor.join();
  EXPECT_EQ(R"({"serving":true})", successor_lines.back().dump());
  if (!outcomes_precede_lock) {
    EXPECT_EQ(1u, successor_lines.size());
  }
  EXPECT_EQ("OK ready", successor.sendCommand("READY"));

  // A Retry-After also holds for the calls of the predecessor, so the successor has to report it to the
  // predecessor.
  std::set<std::pair<std::string, std::int64_t>> expected_retry_afters, reported_retry_afters;
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
      expected_retry_afters.emplace(attempt.at("endpoint").get<std::string>(),
                                    message.at("destination").get<std::int64_t>());
    }
    if (outcome.at("still_out") == false) {
      final_outcomes[outcome.at("id")] = outcome;
    }
  }
  EXPECT_EQ(callsIn(json::parse(lines.front()).at("release")).size(), final_outcomes.size());
  EXPECT_FALSE(expected_retry_afters.empty());
  const auto collect_retry_after = [&](const json& line) {
    if (!isAbsent(line, "held") && !isAbsent(line, "destination")) {
      reported_retry_afters.emplace(line.at("held").get<std::string>(),
                                    line.at("destination").get<std::int64_t>());
    }
  };
  for (const json& line : successor_lines) {
    collect_retry_after(line);
  }
  while (!std::includes(reported_retry_afters.begin(), reported_retry_afters.end(),
                        expected_retry_afters.begin(), expected_retry_afters.end())) {
    const std::string line = link->readLine();
    ASSERT_FALSE(line.empty()) << "a Retry-After was not reported to the predecessor";
    collect_retry_after(json::parse(line));
  }

  // Delivered messages are completed. Of the others, those that may have run and must not run twice are
  // abandoned, and the rest are retried.
  const auto never_ran = [](int result) {
    return result == kThrottled || result == kConnectFailed || result == kNotSent;
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
      << "sent " << json(sent_ids()).dump() << ", expected " << json(retried).dump();
  const auto journal_is_complete = [&] {
    const auto open_messages = openMessagesIn(folder.path());
    std::set<std::string> ids;
    for (const auto& [id, entry] : open_messages) {
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
  EXPECT_TRUE(eventually(journal_is_complete)) << openMessagesIn(folder.path()).size() << " messages open";

  link->close();  // the predecessor exits
  EXPECT_EQ("OK ready", successor.sendCommand("READY"));
  EXPECT_EQ(retried, sent_ids());
  EXPECT_EQ(abandoned.size(), discovery.noticeCount()) << discovery.noticesAsText();
}

INSTANTIATE_TEST_SUITE_P(All, HandoverFromRecordedPredecessor, testing::Bool(),
                         [](const testing::TestParamInfo<bool>& outcomes_precede_lock) {
                           return outcomes_precede_lock.param ? "WithItsCallsEndingAtOnce"
                                                              : "WithItsCallsEndingLater";
                         });

// ---- A real predecessor hands over to a recorded successor

// Gives the responses of the recording, each after its gate has been opened. The calls that hung in the
// recording have a gate of their own.
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
  // Opens both gates at the end of a test, also if the test failed, so that no response is waited for.
  struct Opener {
    ~Opener() {
      gates.open(gates.answering);
      gates.open(gates.hanging);
    }
    ResponseGates& gates;
  };
  std::mutex mutex;
  std::condition_variable changed;
  bool answering = false;  // the gate of the calls that were answered in the recording
  bool hanging = false;    // the gate of the calls that hung in the recording
};

TEST(HandoverToRecordedSuccessor, TakesOverFromARealPredecessor) {
  const std::vector<json> messages = readJsonLines("messages.jsonl");
  std::vector<std::string> lines = linesSentBy(kSuccessorSide);
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
  // The latency objective is so long that no message exceeds it during the test.
  SenderProgram predecessor(folder.path(), discovery.address(), known, 3, settingsWithObjective(100000));
  std::size_t written_requests = 0;
  for (const json& message : messages) {
    SenderClient client(predecessor.port());
    ASSERT_EQ("+OK", client.submit(message.at("message"), message.at("class"), message.at("destination"),
                                   message.at("body"), 100000));
    written_requests += !is_stuck(message);
  }
  ASSERT_TRUE(endpoint.waitForRequests(written_requests));

  UnixSocket link;
  ASSERT_TRUE(link.connect(folder.path() + "-tmp/handover"));
  const json release = json::parse(link.readLine(), nullptr, false);
  OwnershipLock lock(folder.path());
  EXPECT_TRUE(eventually([&] { return lock.tryAcquire(); }));
  link.send(lines.front());  // `serving`
  ASSERT_TRUE(release.is_object() && !isAbsent(release, "release")) << release.dump();
  const std::vector<std::string> recorded = linesSentBy(kPredecessorSide);
  EXPECT_EQ(callsIn(json::parse(recorded.front()).at("release")), callsIn(release.at("release")));

  // Each outcome is expected as recorded except for its duration. No message reaches its deadline in this
  // test, so "expires" is answered here.
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
  // Reads outcomes up to the first one of this message. If `id` is empty, reads one outcome of any message.
  const auto receive_outcome = [&](const std::string& id) {
    for (;;) {
      const std::string line = link.readLine();
      json parsed = json::parse(line, nullptr, false);
      if (!parsed.is_object() || isAbsent(parsed, "outcome")) {
        ADD_FAILURE() << "expected an outcome of message '" << id << "', received: " << line;
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
  // Sends either the `cancel` lines or the lines for drains and Retry-Afters.
  const auto send_recorded = [&](bool cancels) {
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
                       [&](const json& line) { return line.at("outcome").at("id") == id; });
  };
  // A drain or a Retry-After withdraws the calls that are not written yet, and their outcomes are reported.
  send_recorded(false);
  for (const char* id : {"stuck-drain", "stuck-wait"}) {
    ASSERT_TRUE(was_received(id) || receive_outcome(id));
  }
  EXPECT_EQ(2u, received.size());
  gates.open(gates.answering);
  for (const char* id : {"done", "full", "error", "reset", "half"}) {
    ASSERT_TRUE(was_received(id) || receive_outcome(id));
  }
  EXPECT_EQ(7u, received.size());
  send_recorded(true);
  ASSERT_TRUE(receive_outcome("half"));
  ASSERT_TRUE(was_received("hang-1") || receive_outcome("hang-1"));
  EXPECT_EQ(9u, received.size());
  gates.open(gates.hanging);
  while (received.size() < expected.size() && receive_outcome("")) {
  }
  std::sort(expected.begin(), expected.end());
  std::sort(received.begin(), received.end());
  EXPECT_EQ(json(expected).dump(1), json(received).dump(1));
  const int status = predecessor.waitForExit();  // it exits because it has nothing left to do
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << status;
  EXPECT_EQ("", link.readLine());
}

}  // namespace
}  // namespace delivery
