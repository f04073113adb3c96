// Tests of the handover from one process of a sender to the next, with the whole message_sender program: a
// process replaces another one that serves clients. Both share the state folder, the scratch folder and the
// listening socket for clients.
#include <sys/un.h>

#include "common/clocks.h"
#include "support/loopback.h"

namespace delivery {
namespace {

using namespace loopback;

// An endpoint whose responses can be held back, and programs that share one listening socket for clients.
struct HandoverSetup {
  HandoverSetup()
      : endpoint([this](const ReceivedRequest& request) { return respondWhenReleased(request); }) {}
  ~HandoverSetup() { releaseResponses(); }

  std::unique_ptr<SenderProgram> start() {
    return std::make_unique<SenderProgram>(folder.path(), discovery.address(),
                                           json::array({endpointEntry("e1", endpoint.address(), 7)}), 3,
                                           testSettings(), &client_listener);
  }
  ServerAction respondWhenReleased(const ReceivedRequest& request) {
    std::unique_lock<std::mutex> lock(mutex);
    changed.wait_for(lock, kWaitLimit, [&] { return responses_released; });
    return respond(request);
  }
  void holdResponses() {
    std::lock_guard<std::mutex> lock(mutex);
    responses_released = false;
  }
  void releaseResponses() {
    std::lock_guard<std::mutex> lock(mutex);
    responses_released = true;
    changed.notify_all();
  }
  std::map<std::string, int> sendCounts() {
    std::map<std::string, int> counts;
    for (const ReceivedRequest& request : endpoint.requests()) {
      ++counts[request.field("X-Txn")];
    }
    return counts;
  }

  HttpServer::Handler respond = respondOk;
  std::mutex mutex;
  std::condition_variable changed;
  bool responses_released = true;
  Listener client_listener;
  TempFolder folder;
  DiscoveryServer discovery;
  HttpServer endpoint;
};

bool exitsWithSuccess(SenderProgram& program) {
  const int status = program.waitForExit();
  return WIFEXITED(status) && WEXITSTATUS(status) == 0;
}

// Clients submit messages during three handovers, one client on a new connection for each message and one
// that keeps its connection. Each request is answered, and each message is sent exactly once.
TEST(Handover, UnderTrafficLosesNoMessageAndSendsNoneTwice) {
  HandoverSetup setup;
  setup.respond = [](const ReceivedRequest&) {
    // Time-outs follow the usual latency. This latency keeps them well above the pauses of a busy machine.
    std::this_thread::sleep_for(20ms);
    return ServerAction{httpResponse("200 OK")};
  };
  auto predecessor = setup.start();
  std::atomic<bool> stop{false};
  std::atomic<int> submitted{0};
  std::atomic<int> unanswered{0};
  std::mutex mutex;
  std::vector<std::string> accepted;
  std::vector<std::thread> traffic;
  traffic.reserve(2);
  for (const bool keeps_connection : {false, true}) {
    traffic.emplace_back([&, keeps_connection] {
      std::unique_ptr<SenderClient> client;
      for (int i = 0; !stop; ++i) {
        const std::string id = (keeps_connection ? "k" : "n") + std::to_string(i);
        if (!keeps_connection || !client) {
          client = std::make_unique<SenderClient>(setup.client_listener.port);
        }
        std::string reply = client->submit(id, "payment", 7);
        if (reply.empty() && keeps_connection) {  // the connection was closed between requests
          client = std::make_unique<SenderClient>(setup.client_listener.port);
          reply = client->submit(id, "payment", 7);
        }
        ++submitted;
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
  const auto more_were_submitted = [&] {
    const int before = submitted;
    return eventually([&] { return submitted > before + 20; });
  };
  ASSERT_TRUE(more_were_submitted());
  for (int handover = 0; handover < 3; ++handover) {
    auto successor = setup.start();
    predecessor->signal(SIGTERM);
    EXPECT_TRUE(exitsWithSuccess(*predecessor));
    predecessor = std::move(successor);
    ASSERT_TRUE(more_were_submitted());
  }
  stop = true;
  for (std::thread& client_thread : traffic) {
    client_thread.join();
  }
  EXPECT_EQ(0, unanswered);
  ASSERT_TRUE(setup.endpoint.waitForRequests(accepted.size()));
  const auto sends = setup.sendCounts();
  for (const std::string& id : accepted) {
    EXPECT_EQ(1, sends.at(id)) << id;
  }
  EXPECT_EQ(0u, setup.discovery.noticeCount()) << setup.discovery.noticesAsText();
}

// The predecessor completes the calls that it has in flight, reports their outcomes to the successor, and
// exits.
TEST(Handover, CallsInFlightEndInThePredecessorAndCountInTheSuccessor) {
  HandoverSetup setup;
  auto predecessor = setup.start();
  setup.holdResponses();
  ASSERT_EQ("+OK", SenderClient(setup.client_listener.port).submit("out", "payment", 7));
  ASSERT_TRUE(setup.endpoint.waitForRequests(1));
  auto successor = setup.start();
  EXPECT_EQ("OK ready", successor->sendCommand("READY"));
  EXPECT_EQ(0u, predecessor->sendCommand("READY").find("ERR"));
  EXPECT_EQ(0u, predecessor->sendCommand("DRAIN").find("ERR"));
  setup.releaseResponses();
  EXPECT_TRUE(exitsWithSuccess(*predecessor));
  successor->kill();  // by now the outcomes are in the journal
  successor->start();
  ASSERT_EQ("+OK", SenderClient(setup.client_listener.port).submit("after", "payment", 7));
  ASSERT_TRUE(setup.endpoint.waitForRequests(2));
  EXPECT_EQ((std::map<std::string, int>{{"out", 1}, {"after", 1}}), setup.sendCounts());
  EXPECT_EQ(0u, setup.discovery.noticeCount());
}

// Calls that the predecessor had in flight when it was killed may have run, so only idempotent messages are
// retried.
TEST(Handover, CallsLostWithThePredecessorAreRetriedOnlyIfIdempotent) {
  HandoverSetup setup;
  auto predecessor = setup.start();
  setup.holdResponses();
  ASSERT_EQ("+OK", SenderClient(setup.client_listener.port).submit("safe", "notice", 7));
  ASSERT_EQ("+OK", SenderClient(setup.client_listener.port).submit("unsafe", "payment", 7));
  ASSERT_TRUE(setup.endpoint.waitForRequests(2));
  auto successor = setup.start();
  predecessor->kill();
  setup.releaseResponses();
  ASSERT_TRUE(setup.endpoint.waitForRequests(3));
  ASSERT_TRUE(setup.discovery.waitForNotice("unsafe"));
  EXPECT_EQ((std::map<std::string, int>{{"safe", 2}, {"unsafe", 1}}), setup.sendCounts());
}

// The successor is killed while the predecessor still has calls in flight. The predecessor serves again,
// takes over the messages that only the successor had accepted, and repeats no call that must not run twice.
TEST(Handover, ThePredecessorReclaimsOwnershipWhenTheSuccessorDies) {
  HandoverSetup setup;
  auto predecessor = setup.start();
  setup.holdResponses();
  ASSERT_EQ("+OK", SenderClient(setup.client_listener.port).submit("out", "payment", 7));
  ASSERT_TRUE(setup.endpoint.waitForRequests(1));
  auto successor = setup.start();
  ASSERT_EQ("+OK", SenderClient(setup.client_listener.port).submit("of-the-next", "payment", 7));
  ASSERT_TRUE(setup.endpoint.waitForRequests(2));  // it may have run
  successor->kill();
  EXPECT_TRUE(eventually([&] { return predecessor->sendCommand("READY") == "OK ready"; }));
  ASSERT_TRUE(setup.discovery.waitForNotice("of-the-next"));
  setup.releaseResponses();
  ASSERT_EQ("+OK", SenderClient(setup.client_listener.port).submit("after", "payment", 7));
  ASSERT_TRUE(setup.endpoint.waitForRequests(3));
  EXPECT_EQ((std::map<std::string, int>{{"out", 1}, {"of-the-next", 1}, {"after", 1}}), setup.sendCounts());
  auto third = setup.start();
  EXPECT_TRUE(exitsWithSuccess(*predecessor));
  EXPECT_EQ(1u, setup.discovery.noticeCount());
}

// A Retry-After that the predecessor received before the handover also holds in the successor.
TEST(Handover, ARetryAfterHoldsInTheSuccessor) {
  HandoverSetup setup;
  std::atomic<Micros> throttled_at{0}, next_call{0};
  const auto now = [] { return std::chrono::steady_clock::now().time_since_epoch() / 1us; };
  setup.respond = [&](const ReceivedRequest&) {
    if (throttled_at == 0) {
      throttled_at = now();
      return ServerAction{httpResponse("429 Full", "Retry-After: 2.5\r\n")};
    }
    if (next_call == 0) {
      next_call = now();
    }
    return ServerAction{httpResponse("200 OK")};
  };
  auto predecessor = setup.start();
  ASSERT_EQ("+OK", SenderClient(setup.client_listener.port).submit("m", "notice", 7));
  ASSERT_TRUE(setup.endpoint.waitForRequests(1));
  auto successor = setup.start();
  ASSERT_EQ("+OK", SenderClient(setup.client_listener.port).submit("n", "notice", 7));
  ASSERT_TRUE(setup.endpoint.waitForRequests(2));
  EXPECT_TRUE(eventually([&] { return next_call > 0; }));
  EXPECT_GE(next_call - throttled_at, 2'500'000);
}

// The predecessor receives a Retry-After after it has handed over, in a response that never ends. The
// successor has a call to the same destination whose connection is not established yet, and another message
// to send.
TEST(Handover, ARetryAfterThatThePredecessorReceivesHoldsForCallsOfTheSuccessor) {
  HandoverSetup setup;
  std::atomic<bool> answered{false};
  setup.respond = [&](const ReceivedRequest& request) {
    if (request.field("X-Txn") == "old") {
      answered = true;
      return ServerAction{"HTTP/1.1 429 Full\r\nRetry-After: 3\r\nContent-Length: 9\r\n\r\nhalf"};
    }
    return ServerAction{httpResponse("200 OK")};
  };
  auto predecessor = setup.start();
  ASSERT_TRUE(setup.discovery.waitForWatch(0));
  setup.holdResponses();
  ASSERT_EQ("+OK", SenderClient(setup.client_listener.port).submit("old", "notice", 7));
  ASSERT_TRUE(setup.endpoint.waitForRequests(1));
  auto successor = setup.start();
  // The successor serves now and accepts this message.
  ASSERT_EQ("+OK", SenderClient(setup.client_listener.port).submit("before", "notice", 7));
  ASSERT_TRUE(setup.endpoint.waitForRequests(2));
  setup.releaseResponses();
  ASSERT_TRUE(eventually([&] { return answered.load(); }));
  // The protocol may let calls through until the Retry-After has reached the successor. That takes far less
  // time than this pause.
  std::this_thread::sleep_for(300ms);
  const std::size_t requests_before = setup.endpoint.requests().size();
  const auto submitted_at = std::chrono::steady_clock::now();
  ASSERT_EQ("+OK", SenderClient(setup.client_listener.port).submit("after", "notice", 7));
  ASSERT_TRUE(setup.endpoint.waitForRequests(requests_before + 1));
  EXPECT_GE(std::chrono::steady_clock::now() - submitted_at, 2s);
}

// The predecessor has a call whose connection is not established during the test. The successor learns of a
// drain, or receives a Retry-After from another endpoint of the destination. The call must not be written any
// more, so the predecessor has nothing left to do and exits.
TEST(Handover, ADrainOrRetryAfterThatTheSuccessorReceivesHoldsForCallsOfThePredecessor) {
  for (const bool drain : {true, false}) {
    const FullBacklogListener stuck;
    HttpServer full([](const ReceivedRequest&) {
      return ServerAction{httpResponse("429 Full", "Retry-After: 100\r\n")};
    });
    TempFolder folder;
    DiscoveryServer discovery;
    Listener client_listener;
    json settings = testSettings();
    settings["Ceilings"]["DialTimeoutMs"] = 100000.0;
    for (json& message_class : settings["Categories"]) {
      message_class["AimMs"] = message_class["DeadlineMs"] = 100000.0;  // how long a call may take
    }
    const json known = json::array({endpointEntry("stuck", stuck.address(), 7)});
    SenderProgram predecessor(folder.path(), discovery.address(), known, 3, settings, &client_listener);
    ASSERT_TRUE(discovery.waitForWatch(1));
    ASSERT_EQ("+OK", SenderClient(client_listener.port).submit("old", "notice", 7, "x", 100000));
    SenderProgram successor(folder.path(), discovery.address(), known, 3, settings, &client_listener);
    ASSERT_TRUE(eventually([&] { return successor.sendCommand("READY") == "OK ready"; }));
    if (drain) {
      discovery.publish(json::array({endpointEntry("stuck", stuck.address(), 7, "Terminating")}));
    } else {
      discovery.publish(json::array({endpointEntry("full", full.address(), 7)}));
      ASSERT_TRUE(discovery.waitForWatch(2));
      ASSERT_EQ("+OK", SenderClient(client_listener.port).submit("new", "notice", 7, "x", 100000));
      ASSERT_TRUE(full.waitForRequests(1));
    }
    const auto predecessor_exited = [&] {
      siginfo_t info{};
      return ::waitid(P_PID, static_cast<id_t>(predecessor.pid()), &info, WEXITED | WNOHANG | WNOWAIT) == 0 &&
             info.si_pid == predecessor.pid();
    };
    EXPECT_TRUE(eventually(predecessor_exited)) << (drain ? "drain" : "Retry-After");
    predecessor.kill();
  }
}

// A process that owns the journal and hangs must not keep its successor from serving: the successor kills it.
TEST(Handover, AHungPredecessorIsKilledAndReplaced) {
  HandoverSetup setup;
  auto predecessor = setup.start();
  setup.holdResponses();
  ASSERT_EQ("+OK", SenderClient(setup.client_listener.port).submit("unsafe", "payment", 7));
  ASSERT_TRUE(setup.endpoint.waitForRequests(1));
  predecessor->signal(SIGSTOP);
  auto successor = setup.start();
  const int status = predecessor->waitForExit();
  EXPECT_TRUE(WIFSIGNALED(status));
  ASSERT_TRUE(setup.discovery.waitForNotice("unsafe"));
  setup.releaseResponses();
  ASSERT_EQ("+OK", SenderClient(setup.client_listener.port).submit("after", "payment", 7));
  ASSERT_TRUE(setup.endpoint.waitForRequests(2));
  EXPECT_EQ((std::map<std::string, int>{{"unsafe", 1}, {"after", 1}}), setup.sendCounts());
}

// Connects to a Unix socket and returns the descriptor, or -1 if that fails.
int connectTo(const std::string& path) {
  const int fd = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  path.copy(address.sun_path, sizeof address.sun_path - 1);
  return ::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0 ? fd : -1;
}

// A successor asks for the journal and then either sends nothing and does not lock it, or sends invalid
// messages and disconnects. The owner continues to serve.
TEST(Handover, ASuccessorThatNeverAcquiresOwnershipChangesNothing) {
  HandoverSetup setup;
  auto predecessor = setup.start();
  for (const std::string& sent :
       {std::string(), std::string("{\"cancel\":7}\n"), std::string("nonsense\n")}) {
    const int fd = connectTo(setup.folder.path() + "-tmp/handover");
    ASSERT_GE(fd, 0);
    (void)!::send(fd, sent.data(), sent.size(), MSG_NOSIGNAL);
    EXPECT_TRUE(eventually([&] { return predecessor->sendCommand("READY") != "OK ready"; }));
    if (!sent.empty()) {
      ::close(fd);  // the successor that sends nothing stays connected
    }
    EXPECT_TRUE(eventually([&] { return predecessor->sendCommand("READY") == "OK ready"; }));
    ASSERT_EQ(
        "+OK",
        SenderClient(setup.client_listener.port).submit("m" + std::to_string(sent.size()), "notice", 7));
    if (sent.empty()) {
      ::close(fd);
    }
  }
}

// Neither the lock file and the handover socket of dead processes, nor a regular file in the place of that
// socket, nor a passed descriptor that is not a socket, prevent a start.
TEST(Handover, FilesOfDeadProcessesDoNotPreventAStart) {
  HandoverSetup setup;
  auto first = setup.start();
  first->kill();
  auto second = setup.start();
  second->kill();
  std::filesystem::remove(setup.folder.path() + "-tmp/handover");
  std::ofstream(setup.folder.path() + "-tmp/handover") << "no socket";
  auto third = setup.start();
  ASSERT_EQ("+OK", SenderClient(setup.client_listener.port).submit("m", "notice", 7));
  third->kill();
  Listener no_socket;
  no_socket.close();
  no_socket.fd = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
  SenderProgram fourth(setup.folder.path(), setup.discovery.address(),
                       json::array({endpointEntry("e1", setup.endpoint.address(), 7)}), 3, testSettings(),
                       &no_socket);
  ASSERT_EQ("+OK", SenderClient(fourth.port()).submit("n", "notice", 7));
}

}  // namespace
}  // namespace delivery
