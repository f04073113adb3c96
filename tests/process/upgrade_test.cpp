// One process of a sender replaces another that serves. They share the state folder, the scratch folder and
// the clients' listening socket.
#include <sys/un.h>

#include "common/clocks.h"
#include "support/loopback.h"

namespace delivery {
namespace {

using namespace loopback;

// An endpoint whose answers can be held back, and programs on one passed socket.
struct Upgrade {
  Upgrade() : endpoint([this](const ReceivedRequest& request) { return answerWhenAllowed(request); }) {}
  ~Upgrade() { allowAnswers(); }

  std::unique_ptr<SenderProgram> start() {
    return std::make_unique<SenderProgram>(folder.path(), discovery.address(),
                                           json::array({endpointEntry("e1", endpoint.address(), 7)}), 3,
                                           testSettings(), &passed);
  }
  ServerAction answerWhenAllowed(const ReceivedRequest& request) {
    std::unique_lock<std::mutex> lock(mutex);
    changed.wait_for(lock, kWaitLimit, [&] { return answers_allowed; });
    return script(request);
  }
  void holdAnswers() {
    std::lock_guard<std::mutex> lock(mutex);
    answers_allowed = false;
  }
  void allowAnswers() {
    std::lock_guard<std::mutex> lock(mutex);
    answers_allowed = true;
    changed.notify_all();
  }
  std::map<std::string, int> sendCounts() {
    std::map<std::string, int> counts;
    for (const ReceivedRequest& request : endpoint.requests()) {
      ++counts[request.field("X-Txn")];
    }
    return counts;
  }

  HttpServer::Script script = respondOk;
  std::mutex mutex;
  std::condition_variable changed;
  bool answers_allowed = true;
  Listener passed;
  TempFolder folder;
  DiscoveryServer discovery;
  HttpServer endpoint;
};

bool exitedWithSuccess(SenderProgram& p) {
  const int status = p.wait();
  return WIFEXITED(status) && WEXITSTATUS(status) == 0;
}

// Clients submit messages throughout, on new connections and on kept ones: each request is answered, and each
// message is sent once.
TEST(Upgrade, UnderTrafficLosesNoMessageAndSendsNoneTwice) {
  Upgrade upgrade;
  upgrade.script = [](const ReceivedRequest&) {
    std::this_thread::sleep_for(
        20ms);  // time-outs follow the usual latency; this keeps them far above pauses of the machine
    return ServerAction{httpResponse("200 OK")};
  };
  auto predecessor = upgrade.start();
  std::atomic<bool> stop{false};
  std::atomic<int> asked{0}, unanswered{0};
  std::mutex mutex;
  std::vector<std::string> accepted;
  std::vector<std::thread> traffic;
  traffic.reserve(2);
  for (int kept = 0; kept < 2; ++kept) {
    traffic.emplace_back([&, kept] {
      std::unique_ptr<SenderClient> client;
      for (int i = 0; !stop; ++i) {
        const std::string id = (kept ? "k" : "n") + std::to_string(i);
        if (!kept || !client) {
          client = std::make_unique<SenderClient>(upgrade.passed.port);
        }
        std::string reply = client->submit(id, "payment", 7);
        if (reply.empty() && kept) {  // closed between requests
          client = std::make_unique<SenderClient>(upgrade.passed.port);
          reply = client->submit(id, "payment", 7);
        }
        ++asked;
        if (reply.empty()) {
          ++unanswered;
        }
        std::lock_guard<std::mutex> lock(mutex);
        if (reply == "+OK") {
          accepted.push_back(id);
        }
        std::this_thread::sleep_for(10ms);
      }
    });
  }
  const auto more = [&] {
    const int before = asked;
    return eventually([&] { return asked > before + 20; });
  };
  ASSERT_TRUE(more());
  for (int round = 0; round < 3; ++round) {
    auto successor = upgrade.start();
    predecessor->signal(SIGTERM);
    EXPECT_TRUE(exitedWithSuccess(*predecessor));
    predecessor = std::move(successor);
    ASSERT_TRUE(more());
  }
  stop = true;
  for (auto& t : traffic) {
    t.join();
  }
  EXPECT_EQ(0, unanswered);
  ASSERT_TRUE(upgrade.endpoint.waitForRequests(accepted.size()));
  const auto sends = upgrade.sendCounts();
  for (const std::string& id : accepted) {
    EXPECT_EQ(1, sends.at(id)) << id;
  }
  EXPECT_EQ(0u, upgrade.discovery.noticeCount()) << upgrade.discovery.allNotices();
}

// The successor receives the outcomes of the calls that the predecessor has in flight; the predecessor then
// exits.
TEST(Upgrade, CallsInFlightEndInThePredecessorAndCountInTheSuccessor) {
  Upgrade upgrade;
  auto predecessor = upgrade.start();
  upgrade.holdAnswers();
  ASSERT_EQ("+OK", SenderClient(upgrade.passed.port).submit("out", "payment", 7));
  ASSERT_TRUE(upgrade.endpoint.waitForRequests(1));
  auto successor = upgrade.start();
  EXPECT_EQ("OK ready", successor->sendCommand("READY"));
  EXPECT_EQ(0u, predecessor->sendCommand("READY").find("ERR"));
  EXPECT_EQ(0u, predecessor->sendCommand("DRAIN").find("ERR"));
  upgrade.allowAnswers();
  EXPECT_TRUE(exitedWithSuccess(*predecessor));
  successor->kill();  // the outcomes are in its journal
  successor->start();
  ASSERT_EQ("+OK", SenderClient(upgrade.passed.port).submit("after", "payment", 7));
  ASSERT_TRUE(upgrade.endpoint.waitForRequests(2));
  EXPECT_EQ((std::map<std::string, int>{{"out", 1}, {"after", 1}}), upgrade.sendCounts());
  EXPECT_EQ(0u, upgrade.discovery.noticeCount());
}

// Calls that the predecessor had in flight when it was killed may have run.
TEST(Upgrade, CallsLostWithThePredecessorAreRetriedOnlyIfIdempotent) {
  Upgrade upgrade;
  auto predecessor = upgrade.start();
  upgrade.holdAnswers();
  ASSERT_EQ("+OK", SenderClient(upgrade.passed.port).submit("safe", "notice", 7));
  ASSERT_EQ("+OK", SenderClient(upgrade.passed.port).submit("unsafe", "payment", 7));
  ASSERT_TRUE(upgrade.endpoint.waitForRequests(2));
  auto successor = upgrade.start();
  predecessor->kill();
  upgrade.allowAnswers();
  ASSERT_TRUE(upgrade.endpoint.waitForRequests(3));
  ASSERT_TRUE(upgrade.discovery.waitForNotice("unsafe"));
  EXPECT_EQ((std::map<std::string, int>{{"safe", 2}, {"unsafe", 1}}), upgrade.sendCounts());
}

// The successor dies while the predecessor still has calls in flight: the predecessor serves again, also what
// only the successor accepted, and repeats nothing that must not run twice.
TEST(Upgrade, ThePredecessorReclaimsOwnershipWhenTheSuccessorDies) {
  Upgrade upgrade;
  auto predecessor = upgrade.start();
  upgrade.holdAnswers();
  ASSERT_EQ("+OK", SenderClient(upgrade.passed.port).submit("out", "payment", 7));
  ASSERT_TRUE(upgrade.endpoint.waitForRequests(1));
  auto successor = upgrade.start();
  ASSERT_EQ("+OK", SenderClient(upgrade.passed.port).submit("of-the-next", "payment", 7));
  ASSERT_TRUE(upgrade.endpoint.waitForRequests(2));  // it may have run
  successor->kill();
  EXPECT_TRUE(eventually([&] { return predecessor->sendCommand("READY") == "OK ready"; }));
  ASSERT_TRUE(upgrade.discovery.waitForNotice("of-the-next"));
  upgrade.allowAnswers();
  ASSERT_EQ("+OK", SenderClient(upgrade.passed.port).submit("after", "payment", 7));
  ASSERT_TRUE(upgrade.endpoint.waitForRequests(3));
  EXPECT_EQ((std::map<std::string, int>{{"out", 1}, {"of-the-next", 1}, {"after", 1}}), upgrade.sendCounts());
  auto third = upgrade.start();
  EXPECT_TRUE(exitedWithSuccess(*predecessor));
  EXPECT_EQ(1u, upgrade.discovery.noticeCount());
}

TEST(Upgrade, ARetryAfterHoldsInTheSuccessor) {
  Upgrade upgrade;
  std::atomic<Micros> throttled_at{0}, next_call{0};
  const auto now = [] { return std::chrono::steady_clock::now().time_since_epoch() / 1us; };
  upgrade.script = [&](const ReceivedRequest&) {
    if (throttled_at == 0) {
      throttled_at = now();
      return ServerAction{httpResponse("429 Full", "Retry-After: 2.5\r\n")};
    }
    if (next_call == 0) {
      next_call = now();
    }
    return ServerAction{httpResponse("200 OK")};
  };
  auto predecessor = upgrade.start();
  ASSERT_EQ("+OK", SenderClient(upgrade.passed.port).submit("m", "notice", 7));
  ASSERT_TRUE(upgrade.endpoint.waitForRequests(1));
  auto successor = upgrade.start();
  ASSERT_EQ("+OK", SenderClient(upgrade.passed.port).submit("n", "notice", 7));
  ASSERT_TRUE(upgrade.endpoint.waitForRequests(2));
  EXPECT_TRUE(eventually([&] { return next_call > 0; }));
  EXPECT_GE(next_call - throttled_at, 2'500'000);
}

// The predecessor receives the Retry-After once it has handed over, in an answer that never ends; the
// successor has a call to the same destination whose connection is not up yet, and more to send.
TEST(Upgrade, ARetryAfterThatThePredecessorReceivesHoldsForCallsOfTheSuccessor) {
  Upgrade upgrade;
  std::atomic<int> late{0};
  std::atomic<bool> answered{false};
  upgrade.script = [&](const ReceivedRequest& request) {
    if (request.field("X-Txn") == "old") {
      answered = true;
      return ServerAction{"HTTP/1.1 429 Full\r\nRetry-After: 3\r\nContent-Length: 9\r\n\r\nhalf"};
    }
    late += answered;
    return ServerAction{httpResponse("200 OK")};
  };
  auto predecessor = upgrade.start();
  ASSERT_TRUE(upgrade.discovery.waitForWatch(0));
  upgrade.holdAnswers();
  ASSERT_EQ("+OK", SenderClient(upgrade.passed.port).submit("old", "notice", 7));
  ASSERT_TRUE(upgrade.endpoint.waitForRequests(1));
  auto successor = upgrade.start();
  ASSERT_EQ("+OK", SenderClient(upgrade.passed.port)
                       .submit("before", "notice", 7));  // by the new process, which serves now
  ASSERT_TRUE(upgrade.endpoint.waitForRequests(2));
  upgrade.allowAnswers();
  ASSERT_TRUE(eventually([&] { return answered.load(); }));
  std::this_thread::sleep_for(300ms);  // long past what the protocol lets through
  const std::size_t seen = upgrade.endpoint.requests().size();
  const auto from = std::chrono::steady_clock::now();
  ASSERT_EQ("+OK", SenderClient(upgrade.passed.port).submit("after", "notice", 7));
  ASSERT_TRUE(upgrade.endpoint.waitForRequests(seen + 1));
  EXPECT_GE(std::chrono::steady_clock::now() - from, 2s);
}

// The successor learns of a drain, or receives a Retry-After from another endpoint of the destination, while
// the predecessor has a call whose connection does not come up while the test lasts: that call is never
// written, so the predecessor has nothing left to do and exits.
TEST(Upgrade, ADrainOrRetryAfterThatTheSuccessorReceivesHoldsForCallsOfThePredecessor) {
  for (const bool drain : {true, false}) {
    const FullBacklogListener stuck;
    HttpServer full([](const ReceivedRequest&) {
      return ServerAction{httpResponse("429 Full", "Retry-After: 100\r\n")};
    });
    TempFolder folder;
    DiscoveryServer discovery;
    Listener passed;
    json settings = testSettings();
    settings["Ceilings"]["DialTimeoutMs"] = 100000.0;
    for (json& c : settings["Categories"]) {
      c["AimMs"] = c["DeadlineMs"] = 100000.0;  // so long may a call take
    }
    const json known = json::array({endpointEntry("stuck", stuck.address(), 7)});
    SenderProgram predecessor(folder.path(), discovery.address(), known, 3, settings, &passed);
    ASSERT_TRUE(discovery.waitForWatch(1));
    ASSERT_EQ("+OK", SenderClient(passed.port).submit("old", "notice", 7, "x", 100000));
    SenderProgram successor(folder.path(), discovery.address(), known, 3, settings, &passed);
    ASSERT_TRUE(eventually([&] { return successor.sendCommand("READY") == "OK ready"; }));
    if (drain) {
      discovery.publish(json::array({endpointEntry("stuck", stuck.address(), 7, "Terminating")}));
    } else {
      discovery.publish(json::array({endpointEntry("full", full.address(), 7)}));
      ASSERT_TRUE(discovery.waitForWatch(2));
      ASSERT_EQ("+OK", SenderClient(passed.port).submit("new", "notice", 7, "x", 100000));
      ASSERT_TRUE(full.waitForRequests(1));
    }
    const auto ended = [&] {
      siginfo_t info{};
      return ::waitid(P_PID, static_cast<id_t>(predecessor.pid()), &info, WEXITED | WNOHANG | WNOWAIT) == 0 &&
             info.si_pid == predecessor.pid();
    };
    EXPECT_TRUE(eventually(ended)) << (drain ? "drain" : "wait");
    predecessor.kill();
  }
}

// A process that owns the journal and does not react any more is not waited for.
TEST(Upgrade, AHungPredecessorIsKilledAndReplaced) {
  Upgrade upgrade;
  auto predecessor = upgrade.start();
  upgrade.holdAnswers();
  ASSERT_EQ("+OK", SenderClient(upgrade.passed.port).submit("unsafe", "payment", 7));
  ASSERT_TRUE(upgrade.endpoint.waitForRequests(1));
  predecessor->signal(SIGSTOP);
  auto successor = upgrade.start();
  int status = predecessor->wait();
  EXPECT_TRUE(WIFSIGNALED(status));
  ASSERT_TRUE(upgrade.discovery.waitForNotice("unsafe"));
  upgrade.allowAnswers();
  ASSERT_EQ("+OK", SenderClient(upgrade.passed.port).submit("after", "payment", 7));
  ASSERT_TRUE(upgrade.endpoint.waitForRequests(2));
  EXPECT_EQ((std::map<std::string, int>{{"unsafe", 1}, {"after", 1}}), upgrade.sendCounts());
}

int connectTo(const std::string& path) {
  const int fd = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_un a{};
  a.sun_family = AF_UNIX;
  path.copy(a.sun_path, sizeof a.sun_path - 1);
  return ::connect(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) == 0 ? fd : -1;
}

// A successor that asks for the journal and then exits, sends invalid messages or does not lock it: the owner
// serves on.
TEST(Upgrade, ASuccessorThatNeverAcquiresOwnershipChangesNothing) {
  Upgrade upgrade;
  auto predecessor = upgrade.start();
  for (const std::string& says :
       {std::string(), std::string("{\"cancel\":7}\n"), std::string("nonsense\n")}) {
    const int fd = connectTo(upgrade.folder.path() + "-tmp/handover");
    ASSERT_GE(fd, 0);
    (void)!::send(fd, says.data(), says.size(), MSG_NOSIGNAL);
    EXPECT_TRUE(eventually([&] { return predecessor->sendCommand("READY") != "OK ready"; }));
    if (!says.empty()) {
      ::close(fd);  // the silent one stays
    }
    EXPECT_TRUE(eventually([&] { return predecessor->sendCommand("READY") == "OK ready"; }));
    ASSERT_EQ("+OK",
              SenderClient(upgrade.passed.port).submit("m" + std::to_string(says.size()), "notice", 7));
    if (says.empty()) {
      ::close(fd);
    }
  }
}

// A lock file and a socket of dead processes, a file in the socket's place, a descriptor that is no socket.
TEST(Upgrade, FilesOfDeadProcessesDoNotPreventAStart) {
  Upgrade upgrade;
  auto first = upgrade.start();
  first->kill();
  auto second = upgrade.start();
  second->kill();
  std::filesystem::remove(upgrade.folder.path() + "-tmp/handover");
  std::ofstream(upgrade.folder.path() + "-tmp/handover") << "no socket";
  auto third = upgrade.start();
  ASSERT_EQ("+OK", SenderClient(upgrade.passed.port).submit("m", "notice", 7));
  third->kill();
  Listener no_socket;
  no_socket.close();
  no_socket.fd = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
  SenderProgram fourth(upgrade.folder.path(), upgrade.discovery.address(),
                       json::array({endpointEntry("e1", upgrade.endpoint.address(), 7)}), 3, testSettings(),
                       &no_socket);
  ASSERT_EQ("+OK", SenderClient(fourth.port()).submit("n", "notice", 7));
}

}  // namespace
}  // namespace delivery
