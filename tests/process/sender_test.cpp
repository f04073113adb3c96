// The whole program as a child process that is stopped, killed and restarted: clients, endpoints and
// discovery are on loopback sockets.
#include "storage/journal.h"
#include "support/loopback.h"

namespace delivery {
namespace {

using namespace loopback;

TEST(SenderProgram, AcceptsAMessageAndDeliversItUnchanged) {
  SenderSetup setup(respondOk);
  SenderClient client(setup.program.port());
  EXPECT_EQ("+OK", client.submit("9b1f03aa5c7e2d41", "order", 7, std::string("a\0\r\nb", 5)));
  ASSERT_TRUE(setup.endpoint.waitForRequests(1));
  const ReceivedRequest request = setup.endpoint.requests()[0];
  EXPECT_EQ("9b1f03aa5c7e2d41", request.field("X-Txn"));
  EXPECT_EQ("k9b1f03aa5c7e2d41", request.field("Idempotency-Key"));
  EXPECT_EQ(std::string("a\0\r\nb", 5), request.body);
}

// The tenant that a client names reaches the decision module, also after a kill: with one slot, a message
// within its tenant's quota is sent before earlier ones of a tenant that is far beyond its own.
TEST(SenderProgram, AMessageWithinItsTenantsQuotaIsSentFirst) {
  json settings = testSettings();
  settings["Domain"]["CallSlots"] = 1;
  settings["OverShareWorth"] = 0.1;
  settings["Tenants"] = {{{"Name", "beyond"}, {"QuotaRps", 0.001}, {"Share", 0.5}},
                         {{"Name", "inside"}, {"QuotaRps", 1000.0}, {"Share", 0.5}}};
  std::atomic<bool> silent{true};
  TempFolder folder;
  DiscoveryServer discovery;
  HttpServer endpoint(
      [&](const ReceivedRequest&) { return silent ? ServerAction{} : ServerAction{httpResponse("200 OK")}; });
  SenderProgram program(folder.path(), discovery.address(),
                        json::array({endpointEntry("e1", endpoint.address(), 7)}), 3, settings);
  SenderClient client(program.port());
  auto submit = [&](const std::string& id, const std::string& tenant) {
    return client.sendRequest({"MSG.PUT", "0", id, "c=payment,t=" + tenant + ",d=28000,dest=7", "body"});
  };
  ASSERT_EQ("+OK", submit("first", "beyond"));
  ASSERT_TRUE(endpoint.waitForRequests(1));  // it holds the slot, and may have run when the process is killed
  for (const char* id : {"b1", "b2", "b3"}) {
    ASSERT_EQ("+OK", submit(id, "beyond"));
  }
  ASSERT_EQ("+OK", submit("mine", "inside"));
  program.kill();
  silent = false;
  program.start();
  ASSERT_TRUE(endpoint.waitForRequests(5));
  EXPECT_EQ("mine", endpoint.requests()[1].field("X-Txn"));
}

TEST(SenderProgram, InvalidInputGetsAnErrorAndTheProgramGoesOn) {
  SenderSetup setup(respondOk);
  SenderClient client(setup.program.port());
  EXPECT_EQ(0u, client.submit("a", "nonsense", 7).find("-ERR"));
  EXPECT_EQ(0u, client.submit("b", "order", 99).find("-ERR"));
  EXPECT_EQ(0u, client.sendRequest({"MSG.PUT", "0", "id", "c=order,d=soon,dest=7", "x"}).find("-ERR"));
  EXPECT_EQ(0u, client.sendRequest({"MSG.PUT", "0", "i\r\nd", "c=order,d=100,dest=7", "x"}).find("-ERR"));
  EXPECT_EQ(0u, client.sendRequest({"MSG.PUT", "0"}).find("-ERR"));
  EXPECT_EQ(0u, client.sendRequest({"FLUSHALL"}).find("-ERR"));
  EXPECT_EQ("+PONG", client.sendRequest({"PING"}));  // the connection is still good
  for (const std::string& bytes :
       {std::string("GET / HTTP/1.1\r\n\r\n"), "*1\r\n$99999999\r\n" + std::string(300'000, 'x')}) {
    SenderClient bad(setup.program.port());
    bad.send(bytes);
    EXPECT_EQ(0u, bad.readLine().find("-ERR"));
    EXPECT_TRUE(bad.hasNoMoreLines());
  }
  EXPECT_EQ("+OK", client.submit("fine", "order", 7));
}

// Peers that send no complete request, at once or byte by byte, or no message in it, hold no descriptor for
// long; a client that is idle between messages does.
TEST(SenderProgram, SilentPeersAndIncompleteRequestsAreClosed) {
  SenderSetup setup(respondOk);
  SenderClient idle_client(setup.program.port());
  EXPECT_EQ("+OK", idle_client.submit("first", "order", 7));
  SenderClient silent(setup.program.port()), idle(setup.program.port()), half(setup.program.port()),
      later(setup.program.port());
  EXPECT_EQ("+PONG", idle.sendRequest({"PING"}));
  half.send("*5\r\n$7\r\nMSG.PUT\r\n$16\r\n0000");
  EXPECT_EQ("+PONG", later.sendRequest({"PING"}));
  later.send("*5\r\n$7\r\nMSG");
  std::atomic<bool> stop{false};
  SenderClient slow_sender(setup.program.port());
  std::thread slow_bytes([&] {
    slow_sender.send("*5\r\n$7\r\nMSG.PUT\r\n$60000\r\n");
    while (!stop) {
      slow_sender.send("0");
      std::this_thread::sleep_for(5ms);
    }
  });
  EXPECT_TRUE(later.waitForClose());
  EXPECT_TRUE(silent.waitForClose());
  EXPECT_TRUE(idle.waitForClose());
  EXPECT_TRUE(half.waitForClose());
  EXPECT_TRUE(slow_sender.waitForClose());
  stop = true;
  slow_bytes.join();
  EXPECT_EQ("+OK", idle_client.submit("fine", "order", 7));
}

// More peers than the table holds send PING and stay idle: a client that connects after them is served.
TEST(SenderProgram, IdlePeersMakeRoomForClients) {
  SenderSetup setup(respondOk);
  std::vector<std::unique_ptr<SenderClient>> crowd;
  for (int i = 0; i < 800; ++i) {
    crowd.push_back(std::make_unique<SenderClient>(setup.program.port()));
    ASSERT_TRUE(crowd.back()->connected());
    crowd.back()->send(SenderClient::encodeRequest({"PING"}));
  }
  SenderClient client(setup.program.port());
  EXPECT_EQ("+OK", client.submit("fine", "order", 7));
}

// Peers that never send a byte fill the table several times: a client that is idle between its messages keeps
// its connection, and one that connects after them is served.
TEST(SenderProgram, SilentPeersMakeRoomBeforeAnIdleClient) {
  SenderSetup setup(respondOk);
  SenderClient idle_client(setup.program.port());
  ASSERT_EQ("+OK", idle_client.submit("first", "order", 7));
  SenderClient silent(setup.program.port());
  ASSERT_TRUE(
      silent.waitForClose());  // by now the client has been idle for as long as that peer was waited for
  std::vector<std::unique_ptr<SenderClient>> crowd;
  crowd.reserve(2000);
  for (int i = 0; i < 2000; ++i) {
    crowd.push_back(std::make_unique<SenderClient>(setup.program.port()));
  }
  SenderClient behind(setup.program.port());
  EXPECT_EQ("+OK", behind.submit("second", "order", 7));
  EXPECT_EQ("+OK", idle_client.submit("third", "order", 7));
}

TEST(SenderProgram, AnInvalidConfigurationIsOneLogLineAndAnExitCode) {
  TempFolder folder;
  for (const std::string& text : {std::string("{"), std::string("{}"), std::string("[1]"),
                                  std::string(R"({"listen":"x","discovery":"127.0.0.1:1","settings":{}})")}) {
    const std::string path = folder.path() + "/config.json";
    std::ofstream(path) << text;
    int status = 0;
    ASSERT_GT(::waitpid(SenderProgram::spawn(path, folder.path()), &status, 0), 0);
    EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) != 0) << text;
  }
}

// Idempotent messages that were in flight when the process was killed are retried; one that is not may have
// run, so it is abandoned with a notice and never sent again.
TEST(SenderProgram, AcceptedMessagesAreResumedAfterAKill) {
  std::atomic<bool> silent{true};
  SenderSetup setup(
      [&](const ReceivedRequest&) { return silent ? ServerAction{} : ServerAction{httpResponse("200 OK")}; });
  {
    SenderClient client(setup.program.port());
    ASSERT_EQ("+OK", client.submit("safe", "notice", 7));
    ASSERT_EQ("+OK", client.submit("keyed", "order", 7));
    ASSERT_EQ("+OK", client.submit("unsafe", "payment", 7));
    ASSERT_TRUE(setup.endpoint.waitForRequests(3));
  }
  setup.program.kill();
  silent = false;
  setup.program.start();
  ASSERT_TRUE(setup.endpoint.waitForRequests(5));
  ASSERT_TRUE(setup.discovery.waitForNotice("unsafe"));
  EXPECT_EQ("given_up", setup.discovery.notice("unsafe")["outcome"]);
  std::map<std::string, int> sends;
  for (const ReceivedRequest& request : setup.endpoint.requests()) {
    ++sends[request.field("X-Txn")];
  }
  EXPECT_EQ(2, sends["safe"]);
  EXPECT_EQ(2, sends["keyed"]);
  EXPECT_EQ(1, sends["unsafe"]);
  EXPECT_EQ(1u, setup.discovery.noticeCount());
}

// A message whose time to live is invalid is rejected, and nothing is accepted.
TEST(SenderProgram, AnInvalidTimeToLiveIsRejected) {
  SenderSetup setup(neverRespond);
  SenderClient client(setup.program.port());
  for (const char* d :
       {"d=0", "d=-5", "d=", "d=1.5", "d=soon", "d=99999999999999999999", "d=86400001", "x=1"}) {
    EXPECT_EQ(
        0u, client.sendRequest({"MSG.PUT", "0", "id", std::string("c=order,dest=7,") + d, "x"}).find("-ERR"))
        << d;
  }
  EXPECT_EQ("+OK", client.submit("fine", "order", 7));
  ASSERT_TRUE(setup.endpoint.waitForRequests(1));
  EXPECT_EQ("fine", setup.endpoint.requests()[0].field("X-Txn"));
  EXPECT_EQ(0u, setup.discovery.noticeCount());
}

// The time to live counts from the first byte: a request that takes longer to arrive is rejected, and not
// sent.
TEST(SenderProgram, ARequestThatExpiresWhileItArrivesIsNotAccepted) {
  SenderSetup setup(respondOk);
  SenderClient client(setup.program.port());
  const std::string request =
      SenderClient::encodeRequest({"MSG.PUT", "0", "late", "c=order,d=50,dest=7", "body"});
  client.send(request.substr(0, 10));
  ASSERT_EQ("OK ready", setup.program.sendCommand("READY"));  // by now the first bytes have been read
  std::this_thread::sleep_for(60ms);
  client.send(request.substr(10));
  const std::string reply = client.readLine();
  EXPECT_TRUE(reply.rfind('-', 0) == 0) << reply;
  EXPECT_EQ("+OK", client.submit("fine", "order", 7));
  ASSERT_TRUE(setup.endpoint.waitForRequests(1));
  EXPECT_EQ("fine", setup.endpoint.requests()[0].field("X-Txn"));
}

// A message that expires while the process is down: one notice, and no attempt.
TEST(SenderProgram, AMessageThatExpiredBeforeTheRestartIsAbandonedOnce) {
  std::atomic<bool> full{true};
  SenderSetup setup([&](const ReceivedRequest&) {
    return full ? ServerAction{httpResponse("429 Full", "Retry-After: 0.3\r\n")}
                : ServerAction{httpResponse("200 OK")};
  });
  {
    SenderClient client(setup.program.port());
    ASSERT_EQ("+OK", client.submit("short", "payment", 7, "x", 600));
    ASSERT_TRUE(setup.endpoint.waitForRequests(1));
  }
  setup.program.kill();
  full = false;
  std::this_thread::sleep_for(700ms);
  setup.program.start();
  ASSERT_TRUE(setup.discovery.waitForNotice("short"));
  EXPECT_EQ(1u, setup.discovery.noticeCount());
  EXPECT_EQ(1u, setup.endpoint.requests().size());
}

// With `durable` it serves as without, and resumes accepted messages after a kill.
TEST(SenderProgram, ServesAndResumesWithADurableJournal) {
  TempFolder folder;
  DiscoveryServer discovery;
  std::atomic<bool> silent{true};
  HttpServer endpoint(
      [&](const ReceivedRequest&) { return silent ? ServerAction{} : ServerAction{httpResponse("200 OK")}; });
  SenderProgram program(folder.path(), discovery.address(),
                        json::array({endpointEntry("e1", endpoint.address(), 7)}), 3, testSettings(), nullptr,
                        {{"durable", true}});
  {
    SenderClient client(program.port());
    ASSERT_EQ("+OK", client.submit("safe", "notice", 7));
    ASSERT_TRUE(endpoint.waitForRequests(1));
  }
  program.kill();
  silent = false;
  program.start();
  ASSERT_TRUE(endpoint.waitForRequests(2));
}

// A message that is not idempotent is retried if its attempt is known not to have run, also after a kill.
TEST(SenderProgram, AnAttemptThatNeverRanIsRememberedAcrossAKill) {
  std::atomic<bool> full{true};
  SenderSetup setup([&](const ReceivedRequest&) {
    return full ? ServerAction{httpResponse("429 Full", "Retry-After: 4\r\n")}
                : ServerAction{httpResponse("200 OK")};
  });
  {
    SenderClient client(setup.program.port());
    ASSERT_EQ("+OK", client.submit("unsafe", "payment", 7));
    ASSERT_TRUE(setup.endpoint.waitForRequests(1));
    // A copy of the journal shows when the outcome has been written.
    ASSERT_TRUE(eventually([&] {
      TempFolder copy;
      std::filesystem::copy(setup.folder.path(), copy.path(), std::filesystem::copy_options::recursive);
      const Journal j(copy.path(), {3'000'000});
      const auto& open = j.recovered().messages;
      return open.size() == 1 && open[0].attempts.size() == 1 && open[0].attempts[0].never_ran;
    }));
  }
  setup.program.kill();
  full = false;
  setup.program.start();
  ASSERT_TRUE(setup.endpoint.waitForRequests(2));
  EXPECT_EQ(0u, setup.discovery.noticeCount());
}

// A notice stays pending until it is answered 204, also across a kill.
TEST(SenderProgram, ANoticeStaysPendingAcrossAKill) {
  SenderSetup setup(neverRespond);
  setup.discovery.refuse_notices = true;
  {
    SenderClient client(setup.program.port());
    ASSERT_EQ("+OK", client.submit("short", "payment", 7, "x", 300));
    ASSERT_TRUE(setup.endpoint.waitForRequests(1));
  }
  ASSERT_TRUE(eventually(
      [&] { return setup.discovery.refused > 0; }));  // it has expired, and its notice was rejected
  setup.program.kill();
  setup.discovery.refuse_notices = false;
  setup.program.start();
  ASSERT_TRUE(setup.discovery.waitForNotice("short"));
  EXPECT_EQ("given_up", setup.discovery.notice("short")["outcome"]);
}

// An endpoint that a full list leaves out is removed: a call whose connection to it is not up yet is retried
// elsewhere at once, though connecting might take longer than the message lasts.
TEST(SenderProgram, AFullListWithoutAnEndpointWithdrawsItsCalls) {
  const FullBacklogListener stuck;
  TempFolder folder;
  DiscoveryServer discovery;
  HttpServer other(respondOk);
  json settings = testSettings();
  settings["Ceilings"]["DialTimeoutMs"] = 100000.0;
  for (json& c : settings["Categories"]) {
    c["AimMs"] = c["DeadlineMs"];  // a first call may take all its time
  }
  settings["Ceilings"]["ParallelTries"] = false;
  SenderProgram program(folder.path(), discovery.address(),
                        json::array({endpointEntry("e1", stuck.address(), 7)}), 3, settings);
  ASSERT_TRUE(discovery.waitForWatch(1));
  SenderClient client(program.port());
  ASSERT_EQ("+OK", client.submit("m", "notice", 7));
  discovery.publish(json::array({endpointEntry("e2", other.address(), 7)}), true);
  EXPECT_TRUE(other.waitForRequests(1));
}

// A restart ends a Retry-After: messages that waited for it without an attempt are sent at once.
TEST(SenderProgram, ARestartEndsARetryAfterAndSendsWhatWaitedForIt) {
  TempFolder folder;
  DiscoveryServer discovery;
  std::atomic<bool> shut{true};
  HttpServer endpoint([&](const ReceivedRequest&) {
    return shut ? ServerAction{httpResponse("429 Full", "Retry-After: 20\r\n")}
                : ServerAction{httpResponse("200 OK")};
  });
  SenderProgram program(folder.path(), discovery.address(),
                        json::array({endpointEntry("e1", endpoint.address(), 7)}));
  SenderClient client(program.port());
  ASSERT_EQ("+OK", client.submit("throttled", "notice", 7));
  ASSERT_TRUE(endpoint.waitForRequests(1));
  const auto throttled_at = std::chrono::steady_clock::now();
  ASSERT_EQ("+OK", client.submit("without-attempt", "notice", 7));
  shut = false;
  program.kill();
  program.start();
  EXPECT_TRUE(endpoint.waitForRequests(2));
  EXPECT_TRUE(eventually([&] {
    for (const ReceivedRequest& request : endpoint.requests()) {
      if (request.field("X-Txn") == "without-attempt")
        return true;
    }
    return false;
  }));
  EXPECT_LT(std::chrono::steady_clock::now() - throttled_at, 20s);  // before the Retry-After ends
}

// A drain holds from the turn in which it is received, also for the next process, whose configuration is
// older.
TEST(SenderProgram, AnEndpointDrainIsKeptAcrossAKill) {
  SenderSetup setup(respondOk);
  HttpServer other(respondOk);
  setup.discovery.publish(json::array({endpointEntry("e1", setup.endpoint.address(), 7, "Terminating"),
                                       endpointEntry("e2", other.address(), 7)}));
  ASSERT_TRUE(setup.discovery.waitForWatch(2));
  for (int life = 0; life < 2; ++life) {
    SenderClient client(setup.program.port());
    for (int i = 0; i < 5; ++i) {
      ASSERT_EQ("+OK", client.submit("m" + std::to_string(10 * life + i), "notice", 7));
    }
    ASSERT_TRUE(other.waitForRequests(static_cast<std::size_t>(5 * (life + 1))));
    EXPECT_EQ(0u, setup.endpoint.requests().size());
    setup.program.kill();
    setup.program.start();
  }
}

// Discovery that rejects requests is polled with a growing backoff; the last list stays in force.
TEST(SenderProgram, PollsADiscoveryThatRejectsItWithAGrowingBackoff) {
  const auto now = [] { return std::chrono::steady_clock::now(); };
  std::mutex mutex;
  std::vector<std::chrono::steady_clock::time_point> asked;
  HttpServer endpoint(respondOk), rejecting([&](const ReceivedRequest&) {
    std::lock_guard<std::mutex> lock(mutex);
    asked.push_back(now());
    return ServerAction{httpResponse("503 Busy")};
  });
  TempFolder folder;
  SenderProgram program(folder.path(), rejecting.address(),
                        json::array({endpointEntry("e1", endpoint.address(), 7)}));
  EXPECT_EQ("OK ready", program.sendCommand("READY"));
  SenderClient client(program.port());
  ASSERT_EQ("+OK", client.submit("m", "notice", 7));
  ASSERT_TRUE(endpoint.waitForRequests(1));
  ASSERT_TRUE(rejecting.waitForRequests(6));
  std::lock_guard<std::mutex> lock(mutex);
  for (std::size_t i = 1; i < 5; ++i) {
    EXPECT_GE(asked[i] - asked[i - 1], 50ms * (1 << (i - 1))) << i;
  }
}

// SIGHUP: the endpoint list is watched and notices are sent at the address that the file names now; a file
// that can't be used changes nothing.
TEST(SenderProgram, SighupSwitchesToTheDiscoveryThatTheFileNames) {
  SenderSetup setup(respondOk);
  SenderClient client(setup.program.port());
  ASSERT_EQ("+OK", client.submit("before", "order", 7));
  ASSERT_TRUE(setup.discovery.waitForWatch(1));
  setup.program.reload("nonsense");
  DiscoveryServer moved;
  HttpServer other([](const ReceivedRequest& request) {
    return request.body == "unanswered" ? ServerAction{} : ServerAction{httpResponse("200 OK")};
  });
  moved.publish(json::array({endpointEntry("e1", setup.endpoint.address(), 7, "Terminating"),
                             endpointEntry("e2", other.address(), 7)}));
  setup.program.reload(moved.address());
  ASSERT_TRUE(moved.waitForWatch(2));
  ASSERT_EQ("+OK", client.submit("after", "order", 7));
  ASSERT_TRUE(other.waitForRequests(1));
  ASSERT_EQ("+OK", client.submit("short", "payment", 7, "unanswered", 300));
  ASSERT_TRUE(moved.waitForNotice("short"));
  EXPECT_EQ(0u, setup.discovery.noticeCount());
}

// A restart, by SIGKILL and by SIGTERM, with a table full of messages that wait for a Retry-After, for a
// destination that is down, and with calls whose connections are being opened: messages without an attempt
// are sent, those that may have run and are not idempotent are not sent again, and each ends.
TEST(SenderProgram, MessagesWithoutAnAttemptAreSentAfterARestartWhateverTheyWaitedFor) {
  for (const int how : {SIGKILL, SIGTERM}) {
    std::atomic<bool> down{true};
    std::mutex mutex;
    std::set<std::string> may_have_run, delivered;
    HttpServer throttled([&](const ReceivedRequest& request) {
      if (down) {
        return ServerAction{httpResponse("429 Full", "Retry-After: 20\r\n")};
      }
      std::lock_guard<std::mutex> lock(mutex);
      const std::string id = request.field("X-Txn");
      const bool first = delivered.insert(id).second;
      if (id != "throttled0" && id.rfind("throttled", 0) == 0) {
        EXPECT_TRUE(first) << id;  // payments
      }
      return ServerAction{httpResponse("200 OK")};
    });
    HttpServer unavailable([&](const ReceivedRequest& request) {
      std::lock_guard<std::mutex> lock(mutex);
      EXPECT_EQ(0u, may_have_run.count(request.field("X-Txn"))) << request.field("X-Txn");
      if (down) {
        may_have_run.insert(request.field("X-Txn"));
        return ServerAction{"", false, true};
      }
      delivered.insert(request.field("X-Txn"));
      return ServerAction{httpResponse("200 OK")};
    });
    HttpServer late([&](const ReceivedRequest& request) {
      std::lock_guard<std::mutex> lock(mutex);
      delivered.insert(request.field("X-Txn"));
      return ServerAction{httpResponse("200 OK")};
    });
    const FullBacklogListener stuck;
    TempFolder folder;
    DiscoveryServer discovery;
    json settings = testSettings();
    settings["Ceilings"]["MaxOpen"] = 20;
    settings["Ceilings"]["DialTimeoutMs"] = 20000.0;
    settings["Rules"]["RampTimeMs"] = 1000.0;  // what was unavailable is paced for so long
    SenderProgram program(folder.path(), discovery.address(),
                          json::array({endpointEntry("throttled", throttled.address(), 7),
                                       endpointEntry("unavailable", unavailable.address(), 8),
                                       endpointEntry("late", stuck.address(), 9)}),
                          3, settings);
    ASSERT_TRUE(discovery.waitForWatch(1));
    std::vector<std::string> accepted;
    {
      SenderClient client(program.port());
      const auto submit = [&](const std::string& id, const char* cls, int dest) {
        if (client.submit(id, cls, dest) == "+OK") {
          accepted.push_back(id);
        }
      };
      submit("throttled0", "notice", 7);
      ASSERT_TRUE(throttled.waitForRequests(1));
      submit("unavailable0", "payment", 8);
      ASSERT_TRUE(unavailable.waitForRequests(1));
      for (int i = 1; i < 6; ++i) {
        submit("throttled" + std::to_string(i), "payment", 7);
      }
      for (int i = 1; i < 6; ++i) {
        submit("unavailable" + std::to_string(i), "payment", 8);
      }
      for (int i = 0; i < 3; ++i) {
        submit("late" + std::to_string(i), "order", 9);
      }
    }
    ASSERT_GE(accepted.size(), 12u);
    program.signal(how);
    program.wait();
    down = false;
    discovery.publish(json::array({endpointEntry("late", late.address(), 9)}));
    program.start();
    SenderClient client(program.port());
    for (int i = 0; i < 20; ++i) {
      client.submit("new" + std::to_string(i), "notice", 7);  // a full table again
    }
    for (const std::string& id : accepted) {
      EXPECT_TRUE(eventually([&] {
        {
          std::lock_guard<std::mutex> lock(mutex);
          if (delivered.count(id) > 0)
            return true;
          if (may_have_run.count(id) == 0)
            return false;
        }
        return !discovery.notice(id).is_null();
      })) << id
          << " after signal " << how;
    }
    std::lock_guard<std::mutex> lock(mutex);
    for (const std::string& id : accepted) {
      EXPECT_EQ(1u, delivered.count(id) + may_have_run.count(id)) << id;
    }
  }
}

// Discovery with scripted answers, one for each request in order. Requests after the last one stay
// unanswered, as a watch without updates does.
class ScriptedDiscovery {
 public:
  explicit ScriptedDiscovery(std::vector<ServerAction> answers)
      : answers_(std::move(answers)), server_([this](const ReceivedRequest& request) {
          const std::size_t call = calls_++;
          if (request.head.rfind("POST", 0) == 0) {
            return ServerAction{"HTTP/1.1 204 No Content\r\n\r\n"};
          }
          std::lock_guard<std::mutex> lock(mutex_);
          asked_.push_back(std::chrono::steady_clock::now());
          return call < answers_.size() ? answers_[call] : ServerAction{};
        }) {}
  std::string address() const { return server_.address(); }
  bool waitForRequests(std::size_t calls) { return server_.waitForRequests(calls); }
  std::vector<ReceivedRequest> requests() { return server_.requests(); }
  std::vector<std::chrono::steady_clock::duration> gaps() {
    std::lock_guard<std::mutex> lock(mutex_);
    std::vector<std::chrono::steady_clock::duration> all;
    for (std::size_t i = 1; i < asked_.size(); ++i) {
      all.push_back(asked_[i] - asked_[i - 1]);
    }
    return all;
  }

 private:
  std::vector<ServerAction> answers_;
  std::mutex mutex_;
  std::vector<std::chrono::steady_clock::time_point> asked_;
  std::atomic<std::size_t> calls_{0};
  HttpServer server_;
};

// A list in which destination 7 has moved from `from` to `to`, formatted in several lines.
std::string movedList(const HttpServer& from, const HttpServer& to) {
  return json{{"index", 9},
              {"snapshot", true},
              {"endpoints",
               {endpointEntry("e1", from.address(), 7, "Terminating"), endpointEntry("e2", to.address(), 7)}}}
      .dump(2);
}
ServerAction halfOf(const ServerAction& whole) {
  return {whole.bytes.substr(0, whole.bytes.size() - 40)};
}

// A watch that stalls, at once or in the middle of its answer, is opened again on another connection, and the
// update that it missed applies. Both cases run at once, as each takes the time-out of a watch.
TEST(SenderProgram, AWatchThatStallsIsOpenedAgain) {
  HttpServer from(respondOk), to(respondOk);
  const ServerAction moved{httpResponse("200 OK", "", movedList(from, to))};
  ScriptedDiscovery silent({ServerAction{}, moved}), half({halfOf(moved), moved});
  TempFolder folder, other_folder;
  const json known = json::array({endpointEntry("e1", from.address(), 7)});
  SenderProgram one(folder.path(), silent.address(), known), two(other_folder.path(), half.address(), known);
  for (ScriptedDiscovery* d : {&silent, &half}) {
    ASSERT_TRUE(d->waitForRequests(3));  // the broken one, the new one, and the next
    EXPECT_NE(d->requests()[0].connection, d->requests()[1].connection);
    EXPECT_NE(std::string::npos, d->requests()[2].head.find("from=9&")) << d->requests()[2].head;
  }
  std::size_t sent = 0;
  for (const SenderProgram* p : {&one, &two}) {
    SenderClient client(p->port());
    ASSERT_EQ("+OK", client.submit("m" + std::to_string(p->pid()), "notice", 7));
    EXPECT_TRUE(to.waitForRequests(++sent));
  }
  EXPECT_EQ(0u, from.requests().size());
}

// SIGHUP while the watch stalls, and the new discovery stalls in the middle of its first answer: it is asked
// again for the full list.
TEST(SenderProgram, SighupReplacesAStalledWatchByADiscoveryThatStallsToo) {
  HttpServer from(respondOk), to(respondOk);
  const ServerAction moved{httpResponse("200 OK", "", movedList(from, to))};
  ScriptedDiscovery silent({}), half({halfOf(moved), moved});
  TempFolder folder;
  SenderProgram program(folder.path(), silent.address(),
                        json::array({endpointEntry("e1", from.address(), 7)}));
  ASSERT_TRUE(silent.waitForRequests(1));
  program.reload(half.address());
  ASSERT_TRUE(half.waitForRequests(3));
  for (std::size_t i = 0; i < 2; ++i) {
    EXPECT_EQ(std::string::npos, half.requests()[i].head.find("from=")) << half.requests()[i].head;
  }
  SenderClient client(program.port());
  ASSERT_EQ("+OK", client.submit("m", "notice", 7));
  EXPECT_TRUE(to.waitForRequests(1));
  EXPECT_EQ(0u, from.requests().size());
  EXPECT_EQ(1u, silent.requests().size());
}

// The backoff that has grown for a discovery that fails is not kept for the one that SIGHUP names: it starts
// from the first pause again. An update counts as received 4 s after the signal.
TEST(SenderProgram, BackoffStartsAgainAtTheDiscoveryThatSighupNames) {
  const std::vector<ServerAction> rejections(20, ServerAction{httpResponse("503 Busy")});
  ScriptedDiscovery before(rejections), after(rejections);
  TempFolder folder;
  HttpServer endpoint(respondOk);
  SenderProgram program(folder.path(), before.address(),
                        json::array({endpointEntry("e1", endpoint.address(), 7)}));
  ASSERT_TRUE(before.waitForRequests(6));
  program.reload(after.address());
  ASSERT_TRUE(eventually([&] { return after.gaps().size() >= 6; }));  // all of those compared below
  const auto gaps = after.gaps();
  EXPECT_GT(gaps[5], 3 * gaps[0]);  // each is within half and one and a half of twice the one before
}

// A discovery that returns and stalls in the middle of its first answer.
TEST(SenderProgram, ADiscoveryThatReturnsAndStallsIsPolledAgain) {
  HttpServer from(respondOk), to(respondOk);
  const ServerAction moved{httpResponse("200 OK", "", movedList(from, to))}, away{httpResponse("503 Busy")};
  // A full list that can't be read: from then on the full list is asked for, with the time-out of such a
  // request.
  const ServerAction spoilt{httpResponse("200 OK", "", "{\"index\":")};
  ScriptedDiscovery discovery({spoilt, away, ServerAction{"", false, true}, halfOf(moved), moved});
  TempFolder folder;
  SenderProgram program(folder.path(), discovery.address(),
                        json::array({endpointEntry("e1", from.address(), 7)}));
  ASSERT_TRUE(discovery.waitForRequests(6));
  EXPECT_NE(std::string::npos, discovery.requests()[5].head.find("from=9&")) << discovery.requests()[5].head;
  SenderClient client(program.port());
  ASSERT_EQ("+OK", client.submit("m", "notice", 7));
  EXPECT_TRUE(to.waitForRequests(1));
  EXPECT_EQ(0u, from.requests().size());
}

// SIGTERM while the watch stalls: the process does not wait for it.
TEST(SenderProgram, SigtermDoesNotWaitForAStalledWatch) {
  HttpServer endpoint(respondOk);
  ScriptedDiscovery silent({});
  TempFolder folder;
  SenderProgram program(folder.path(), silent.address(),
                        json::array({endpointEntry("e1", endpoint.address(), 7)}));
  ASSERT_TRUE(silent.waitForRequests(1));
  SenderClient client(program.port());
  ASSERT_EQ("+OK", client.submit("m", "payment", 7));
  ASSERT_TRUE(endpoint.waitForRequests(1));
  program.signal(SIGTERM);
  EXPECT_TRUE(client.hasNoMoreLines());
  const int status = program.wait();
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0);
  EXPECT_EQ(1u, silent.requests().size());
}

TEST(SenderProgram, AFullDiskBudgetRejectsNewMessagesAndKeepsOldOnes) {
  SenderSetup setup(neverRespond, 0.3);
  SenderClient client(setup.program.port());
  int accepted = 0, refused = 0;
  for (int i = 0; i < 40; ++i) {
    const std::string reply = client.submit("m" + std::to_string(i), "notice", 7, std::string(8000, 'x'));
    if (reply == "+OK") {
      ++accepted;
    } else if (reply.rfind("-BUSY", 0) == 0) {
      ++refused;
    }
  }
  EXPECT_EQ(40, accepted + refused);
  EXPECT_GT(accepted, 3);
  EXPECT_GT(refused, 3);
  std::uint64_t on_disk = 0;
  for (const auto& e : std::filesystem::directory_iterator(setup.folder.path())) {
    on_disk += (e.file_size() + 511) / 512 * 512;
  }
  EXPECT_LE(on_disk, 300'000u);
}

// SIGTERM: calls in flight are completed, what can't be started is left to the next process, late clients are
// still answered, and the program exits with status 0. A payment is answered once two more were submitted, so
// that the latency that the sender learns, and with it its time-outs, follows the same traffic on a busy
// machine as on an idle one.
TEST(SenderProgram, SigtermUnderTrafficLosesNoMessage) {
  std::mutex mutex;
  std::condition_variable more;
  int asked = 0;
  bool stop = false;
  SenderSetup setup([&](const ReceivedRequest& request) {
    std::unique_lock<std::mutex> lock(mutex);
    more.wait_for(lock, kWaitLimit, [&, mine = asked] { return stop || asked >= mine + 2; });
    return respondOk(request);
  });
  const auto wait_for_asked = [&](int count) {
    std::unique_lock<std::mutex> lock(mutex);
    EXPECT_TRUE(more.wait_for(lock, kWaitLimit, [&, from = asked] { return asked >= from + count; }));
  };
  std::vector<std::string> accepted;
  std::thread traffic([&] {
    for (int i = 0;; ++i) {
      SenderClient client(setup.program.port());
      const std::string id = "m" + std::to_string(i);
      {
        std::lock_guard<std::mutex> lock(mutex);
        if (stop) {
          return;
        }
        if (client.connected()) {
          ++asked;
        }
      }
      more.notify_all();
      if (!client.connected()) {
        continue;
      }
      if (client.submit(id, "payment", 7) == "+OK") {
        accepted.push_back(id);
      }
      std::this_thread::sleep_for(5ms);
    }
  });
  wait_for_asked(20);
  SenderClient idle(setup.program.port());
  ASSERT_EQ("+PONG", idle.sendRequest({"PING"}));
  setup.program.signal(SIGTERM);
  EXPECT_TRUE(idle.hasNoMoreLines());  // an idle connection is closed between requests
  wait_for_asked(5);                   // late ones are served
  {
    std::lock_guard<std::mutex> lock(mutex);
    stop = true;
  }
  more.notify_all();
  traffic.join();
  const int status = setup.program.wait();
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0);
  setup.program.start();
  ASSERT_TRUE(setup.endpoint.waitForRequests(accepted.size()));
  std::map<std::string, int> sends;
  for (const ReceivedRequest& request : setup.endpoint.requests()) {
    ++sends[request.field("X-Txn")];
  }
  for (const std::string& id : accepted) {
    EXPECT_EQ(1, sends[id]) << id;
  }
  EXPECT_EQ(0u, setup.discovery.noticeCount()) << setup.discovery.allNotices();
}

}  // namespace
}  // namespace delivery
