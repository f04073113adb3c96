// Tests of one sender process, as the whole message_sender program in a child process that is stopped, killed
// and restarted. Clients, endpoints and discovery use loopback sockets.
#include "storage/journal.h"
#include "support/loopback.h"

namespace delivery {
namespace {

using namespace loopback;

TEST(SenderProcess, AcceptsAMessageAndDeliversItUnchanged) {
  SenderSetup setup(respondOk);
  SenderClient client(setup.program.port());
  EXPECT_EQ("+OK", client.submit("9b1f03aa5c7e2d41", "order", 7, std::string("a\0\r\nb", 5)));
  ASSERT_TRUE(setup.endpoint.waitForRequests(1));
  const ReceivedRequest request = setup.endpoint.requests()[0];
  EXPECT_EQ("9b1f03aa5c7e2d41", request.field("X-Txn"));
  EXPECT_EQ("k9b1f03aa5c7e2d41", request.field("Idempotency-Key"));
  EXPECT_EQ(std::string("a\0\r\nb", 5), request.body);
}

// Guards against losing the tenant that a client names on the way to the decision module, also across a kill.
// With one call slot, a message within its tenant's quota is sent before earlier messages of a tenant that is
// far beyond its quota.
TEST(SenderProcess, AMessageWithinItsTenantsQuotaIsSentFirst) {
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
  // The first message occupies the slot. It may have run when the process is killed, so it is not sent again.
  ASSERT_TRUE(endpoint.waitForRequests(1));
  for (const char* id : {"b1", "b2", "b3"}) {
    ASSERT_EQ("+OK", submit(id, "beyond"));
  }
  ASSERT_EQ("+OK", submit("within-quota", "inside"));
  program.kill();
  silent = false;
  program.start();
  ASSERT_TRUE(endpoint.waitForRequests(5));
  EXPECT_EQ("within-quota", endpoint.requests()[1].field("X-Txn"));
}

TEST(SenderProcess, InvalidInputIsAnsweredWithAnErrorAndTheProgramContinues) {
  SenderSetup setup(respondOk);
  SenderClient client(setup.program.port());
  EXPECT_EQ(0u, client.submit("a", "nonsense", 7).find("-ERR"));
  EXPECT_EQ(0u, client.submit("b", "order", 99).find("-ERR"));
  EXPECT_EQ(0u, client.sendRequest({"MSG.PUT", "0", "id", "c=order,d=soon,dest=7", "x"}).find("-ERR"));
  EXPECT_EQ(0u, client.sendRequest({"MSG.PUT", "0", "i\r\nd", "c=order,d=100,dest=7", "x"}).find("-ERR"));
  EXPECT_EQ(0u, client.sendRequest({"MSG.PUT", "0"}).find("-ERR"));
  EXPECT_EQ(0u, client.sendRequest({"FLUSHALL"}).find("-ERR"));
  EXPECT_EQ("+PONG", client.sendRequest({"PING"}));  // the connection is still usable
  for (const std::string& bytes :
       {std::string("GET / HTTP/1.1\r\n\r\n"), "*1\r\n$99999999\r\n" + std::string(300'000, 'x')}) {
    SenderClient bad(setup.program.port());
    bad.send(bytes);
    EXPECT_EQ(0u, bad.readLine().find("-ERR"));
    EXPECT_TRUE(bad.hasNoMoreLines());
  }
  EXPECT_EQ("+OK", client.submit("fine", "order", 7));
}

// Guards against peers that occupy descriptors without submitting messages: a peer that sends nothing, an
// incomplete request (also one that grows byte by byte), or nothing but PING is disconnected. A client that
// is idle between messages keeps its connection.
TEST(SenderProcess, SilentPeersAndPeersWithIncompleteRequestsAreDisconnected) {
  SenderSetup setup(respondOk);
  SenderClient idle_client(setup.program.port());
  EXPECT_EQ("+OK", idle_client.submit("first", "order", 7));
  SenderClient silent(setup.program.port()), idle(setup.program.port()), incomplete(setup.program.port()),
      incomplete_after_ping(setup.program.port());
  EXPECT_EQ("+PONG", idle.sendRequest({"PING"}));
  incomplete.send("*5\r\n$7\r\nMSG.PUT\r\n$16\r\n0000");
  EXPECT_EQ("+PONG", incomplete_after_ping.sendRequest({"PING"}));
  incomplete_after_ping.send("*5\r\n$7\r\nMSG");
  std::atomic<bool> stop{false};
  SenderClient slow_sender(setup.program.port());
  std::thread slow_bytes([&] {
    slow_sender.send("*5\r\n$7\r\nMSG.PUT\r\n$60000\r\n");
    while (!stop) {
      slow_sender.send("0");
      std::this_thread::sleep_for(5ms);
    }
  });
  EXPECT_TRUE(incomplete_after_ping.waitForClose());
  EXPECT_TRUE(silent.waitForClose());
  EXPECT_TRUE(idle.waitForClose());
  EXPECT_TRUE(incomplete.waitForClose());
  EXPECT_TRUE(slow_sender.waitForClose());
  stop = true;
  slow_bytes.join();
  EXPECT_EQ("+OK", idle_client.submit("fine", "order", 7));
}

// More peers than the connection table holds send PING and stay idle. A client that connects after them is
// served.
TEST(SenderProcess, IdlePeersAreEvictedForClients) {
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

// Peers that never send a byte fill the connection table several times. A client that is idle between its
// messages keeps its connection, and a client that connects after the peers is served.
TEST(SenderProcess, SilentPeersAreEvictedBeforeAnIdleClient) {
  SenderSetup setup(respondOk);
  SenderClient idle_client(setup.program.port());
  ASSERT_EQ("+OK", idle_client.submit("first", "order", 7));
  SenderClient silent(setup.program.port());
  // Once the silent peer is disconnected, the client has been idle for as long as the sender waited for that
  // peer.
  ASSERT_TRUE(silent.waitForClose());
  std::vector<std::unique_ptr<SenderClient>> crowd;
  crowd.reserve(2000);
  for (int i = 0; i < 2000; ++i) {
    crowd.push_back(std::make_unique<SenderClient>(setup.program.port()));
  }
  SenderClient late_client(setup.program.port());
  EXPECT_EQ("+OK", late_client.submit("second", "order", 7));
  EXPECT_EQ("+OK", idle_client.submit("third", "order", 7));
}

TEST(SenderProcess, AnInvalidConfigurationEndsTheProcessWithAnErrorCode) {
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

// Idempotent messages that were in flight when the process was killed are retried. A message that is not
// idempotent may have run, so it is abandoned with a notice and not sent again.
TEST(SenderProcess, AcceptedMessagesAreResumedAfterAKill) {
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

// A message with an invalid time to live is rejected and not sent.
TEST(SenderProcess, AnInvalidTimeToLiveIsRejected) {
  SenderSetup setup(neverRespond);
  SenderClient client(setup.program.port());
  for (const char* time_to_live :
       {"d=0", "d=-5", "d=", "d=1.5", "d=soon", "d=99999999999999999999", "d=86400001", "x=1"}) {
    EXPECT_EQ(0u,
              client.sendRequest({"MSG.PUT", "0", "id", std::string("c=order,dest=7,") + time_to_live, "x"})
                  .find("-ERR"))
        << time_to_live;
  }
  EXPECT_EQ("+OK", client.submit("fine", "order", 7));
  ASSERT_TRUE(setup.endpoint.waitForRequests(1));
  EXPECT_EQ("fine", setup.endpoint.requests()[0].field("X-Txn"));
  EXPECT_EQ(0u, setup.discovery.noticeCount());
}

// The time to live counts from the first byte of the request. A request that takes longer to arrive is
// rejected and not sent.
TEST(SenderProcess, ARequestThatExpiresWhileItArrivesIsNotAccepted) {
  SenderSetup setup(respondOk);
  SenderClient client(setup.program.port());
  const std::string request =
      SenderClient::encodeRequest({"MSG.PUT", "0", "late", "c=order,d=50,dest=7", "body"});
  client.send(request.substr(0, 10));
  // Once this command is answered, the sender has read the first bytes of the request.
  ASSERT_EQ("OK ready", setup.program.sendCommand("READY"));
  std::this_thread::sleep_for(60ms);
  client.send(request.substr(10));
  const std::string reply = client.readLine();
  EXPECT_TRUE(reply.rfind('-', 0) == 0) << reply;
  EXPECT_EQ("+OK", client.submit("fine", "order", 7));
  ASSERT_TRUE(setup.endpoint.waitForRequests(1));
  EXPECT_EQ("fine", setup.endpoint.requests()[0].field("X-Txn"));
}

// A message that expires while the process is down is abandoned with one notice and no further attempt.
TEST(SenderProcess, AMessageThatExpiredBeforeTheRestartIsAbandonedOnce) {
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

// With the setting `durable`, the process serves as it does without, and resumes accepted messages after a
// kill.
TEST(SenderProcess, ServesAndResumesWithADurableJournal) {
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

// A message that is not idempotent is retried if its attempt is known not to have run. This outcome has to
// survive a kill, as the message would be abandoned otherwise.
TEST(SenderProcess, AnAttemptThatNeverRanIsKnownAcrossAKill) {
  std::atomic<bool> full{true};
  SenderSetup setup([&](const ReceivedRequest&) {
    return full ? ServerAction{httpResponse("429 Full", "Retry-After: 4\r\n")}
                : ServerAction{httpResponse("200 OK")};
  });
  {
    SenderClient client(setup.program.port());
    ASSERT_EQ("+OK", client.submit("unsafe", "payment", 7));
    ASSERT_TRUE(setup.endpoint.waitForRequests(1));
    // Opening a copy of the journal shows whether the outcome has been written.
    ASSERT_TRUE(eventually([&] {
      TempFolder copy;
      std::filesystem::copy(setup.folder.path(), copy.path(), std::filesystem::copy_options::recursive);
      const Journal journal(copy.path(), {3'000'000});
      const auto& open = journal.recovered().messages;
      return open.size() == 1 && open[0].attempts.size() == 1 && open[0].attempts[0].never_ran;
    }));
  }
  setup.program.kill();
  full = false;
  setup.program.start();
  ASSERT_TRUE(setup.endpoint.waitForRequests(2));
  EXPECT_EQ(0u, setup.discovery.noticeCount());
}

// A notice stays pending until discovery answers it with 204, also across a kill.
TEST(SenderProcess, ANoticeStaysPendingAcrossAKill) {
  SenderSetup setup(neverRespond);
  setup.discovery.reject_notices = true;
  {
    SenderClient client(setup.program.port());
    ASSERT_EQ("+OK", client.submit("short", "payment", 7, "x", 300));
    ASSERT_TRUE(setup.endpoint.waitForRequests(1));
  }
  // The message has expired, and its notice was rejected.
  ASSERT_TRUE(eventually([&] { return setup.discovery.rejected_notice_requests > 0; }));
  setup.program.kill();
  setup.discovery.reject_notices = false;
  setup.program.start();
  ASSERT_TRUE(setup.discovery.waitForNotice("short"));
  EXPECT_EQ("given_up", setup.discovery.notice("short")["outcome"]);
}

// An endpoint that a full list does not name is removed. A call whose connection to it is not established yet
// is retried at another endpoint at once. Without that, connecting might take longer than the message's time
// to live.
TEST(SenderProcess, AFullListWithoutAnEndpointWithdrawsItsCalls) {
  const FullBacklogListener stuck;
  TempFolder folder;
  DiscoveryServer discovery;
  HttpServer other(respondOk);
  json settings = testSettings();
  settings["Ceilings"]["DialTimeoutMs"] = 100000.0;
  for (json& message_class : settings["Categories"]) {
    message_class["AimMs"] = message_class["DeadlineMs"];  // the first call may take until the deadline
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

// A restart ends a Retry-After: messages that had no attempt because of it are sent at once.
TEST(SenderProcess, ARestartEndsARetryAfterAndSendsTheMessagesThatWaitedForIt) {
  TempFolder folder;
  DiscoveryServer discovery;
  std::atomic<bool> throttling{true};
  HttpServer endpoint([&](const ReceivedRequest&) {
    return throttling ? ServerAction{httpResponse("429 Full", "Retry-After: 20\r\n")}
                      : ServerAction{httpResponse("200 OK")};
  });
  SenderProgram program(folder.path(), discovery.address(),
                        json::array({endpointEntry("e1", endpoint.address(), 7)}));
  SenderClient client(program.port());
  ASSERT_EQ("+OK", client.submit("throttled", "notice", 7));
  ASSERT_TRUE(endpoint.waitForRequests(1));
  const auto throttled_at = std::chrono::steady_clock::now();
  ASSERT_EQ("+OK", client.submit("without-attempt", "notice", 7));
  throttling = false;
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

// A drain holds from the decision round in which it is received. It also holds for the next process, whose
// configuration names an older endpoint list.
TEST(SenderProcess, AnEndpointDrainIsKeptAcrossAKill) {
  SenderSetup setup(respondOk);
  HttpServer other(respondOk);
  setup.discovery.publish(json::array({endpointEntry("e1", setup.endpoint.address(), 7, "Terminating"),
                                       endpointEntry("e2", other.address(), 7)}));
  ASSERT_TRUE(setup.discovery.waitForWatch(2));
  for (int start = 0; start < 2; ++start) {
    SenderClient client(setup.program.port());
    for (int i = 0; i < 5; ++i) {
      ASSERT_EQ("+OK", client.submit("m" + std::to_string(10 * start + i), "notice", 7));
    }
    ASSERT_TRUE(other.waitForRequests(static_cast<std::size_t>(5 * (start + 1))));
    EXPECT_EQ(0u, setup.endpoint.requests().size());
    setup.program.kill();
    setup.program.start();
  }
}

// If discovery rejects requests, it is polled with a growing backoff, and the last list stays in force.
TEST(SenderProcess, DiscoveryThatRejectsRequestsIsPolledWithAGrowingBackoff) {
  const auto now = [] { return std::chrono::steady_clock::now(); };
  std::mutex mutex;
  std::vector<std::chrono::steady_clock::time_point> requested_at;
  HttpServer endpoint(respondOk), rejecting([&](const ReceivedRequest&) {
    std::lock_guard<std::mutex> lock(mutex);
    requested_at.push_back(now());
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
    EXPECT_GE(requested_at[i] - requested_at[i - 1], 50ms * (1 << (i - 1))) << i;
  }
}

// After SIGHUP the endpoint list is watched, and notices are sent, at the address that the configuration file
// names now. A file that can't be used changes nothing.
TEST(SenderProcess, SighupSwitchesToTheDiscoveryThatTheFileNames) {
  SenderSetup setup(respondOk);
  SenderClient client(setup.program.port());
  ASSERT_EQ("+OK", client.submit("before", "order", 7));
  ASSERT_TRUE(setup.discovery.waitForWatch(1));
  setup.program.reload("nonsense");
  DiscoveryServer new_discovery;
  HttpServer other([](const ReceivedRequest& request) {
    return request.body == "unanswered" ? ServerAction{} : ServerAction{httpResponse("200 OK")};
  });
  new_discovery.publish(json::array({endpointEntry("e1", setup.endpoint.address(), 7, "Terminating"),
                                     endpointEntry("e2", other.address(), 7)}));
  setup.program.reload(new_discovery.address());
  ASSERT_TRUE(new_discovery.waitForWatch(2));
  ASSERT_EQ("+OK", client.submit("after", "order", 7));
  ASSERT_TRUE(other.waitForRequests(1));
  ASSERT_EQ("+OK", client.submit("short", "payment", 7, "unanswered", 300));
  ASSERT_TRUE(new_discovery.waitForNotice("short"));
  EXPECT_EQ(0u, setup.discovery.noticeCount());
}

// The process is stopped by SIGKILL or SIGTERM and restarted while its message table is full: messages wait
// for a Retry-After or for a destination that is down, and the connections of other calls are being opened.
// Afterwards messages without an attempt are sent, messages that may have run and are not idempotent are not
// sent again, and each message ends.
TEST(SenderProcess, MessagesWithoutAnAttemptAreSentAfterARestartWhateverTheyWaitedFor) {
  for (const int stop_signal : {SIGKILL, SIGTERM}) {
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
      // All throttled messages but the first are payments, which are not idempotent.
      if (id != "throttled0" && id.rfind("throttled", 0) == 0) {
        EXPECT_TRUE(first) << id;
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
    HttpServer connectable([&](const ReceivedRequest& request) {
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
    // How long calls to a destination that was unavailable are paced.
    settings["Rules"]["RampTimeMs"] = 1000.0;
    SenderProgram program(folder.path(), discovery.address(),
                          json::array({endpointEntry("throttled", throttled.address(), 7),
                                       endpointEntry("unavailable", unavailable.address(), 8),
                                       endpointEntry("late", stuck.address(), 9)}),
                          3, settings);
    ASSERT_TRUE(discovery.waitForWatch(1));
    std::vector<std::string> accepted;
    {
      SenderClient client(program.port());
      const auto submit = [&](const std::string& id, const char* message_class, int destination) {
        if (client.submit(id, message_class, destination) == "+OK") {
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
    program.signal(stop_signal);
    program.waitForExit();
    down = false;
    discovery.publish(json::array({endpointEntry("late", connectable.address(), 9)}));
    program.start();
    SenderClient client(program.port());
    for (int i = 0; i < 20; ++i) {
      client.submit("new" + std::to_string(i), "notice", 7);  // fill the message table again
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
          << " after signal " << stop_signal;
    }
    std::lock_guard<std::mutex> lock(mutex);
    for (const std::string& id : accepted) {
      EXPECT_EQ(1u, delivered.count(id) + may_have_run.count(id)) << id;
    }
  }
}

// A discovery server that gives the answers of a list in order, one for each request. Requests after the last
// answer stay unanswered, like a watch request while the list does not change.
class ScriptedDiscovery {
 public:
  explicit ScriptedDiscovery(std::vector<ServerAction> answers)
      : answers_(std::move(answers)), server_([this](const ReceivedRequest& request) {
          const std::size_t request_index = request_count_++;
          if (request.head.rfind("POST", 0) == 0) {
            return ServerAction{"HTTP/1.1 204 No Content\r\n\r\n"};
          }
          std::lock_guard<std::mutex> lock(mutex_);
          requested_at_.push_back(std::chrono::steady_clock::now());
          return request_index < answers_.size() ? answers_[request_index] : ServerAction{};
        }) {}
  std::string address() const { return server_.address(); }
  bool waitForRequests(std::size_t count) { return server_.waitForRequests(count); }
  std::vector<ReceivedRequest> requests() { return server_.requests(); }
  // The time from each request for the list to the next one.
  std::vector<std::chrono::steady_clock::duration> requestGaps() {
    std::lock_guard<std::mutex> lock(mutex_);
    std::vector<std::chrono::steady_clock::duration> gaps;
    for (std::size_t i = 1; i < requested_at_.size(); ++i) {
      gaps.push_back(requested_at_[i] - requested_at_[i - 1]);
    }
    return gaps;
  }

 private:
  std::vector<ServerAction> answers_;
  std::mutex mutex_;
  std::vector<std::chrono::steady_clock::time_point> requested_at_;  // requests for the list, not notices
  std::atomic<std::size_t> request_count_{0};
  HttpServer server_;
};

// A full list in which the endpoint of destination 7 at `old_endpoint` drains and one at `new_endpoint` is
// ready. Its JSON text has several lines.
std::string replacementList(const HttpServer& old_endpoint, const HttpServer& new_endpoint) {
  return json{{"index", 9},
              {"snapshot", true},
              {"endpoints",
               {endpointEntry("e1", old_endpoint.address(), 7, "Terminating"),
                endpointEntry("e2", new_endpoint.address(), 7)}}}
      .dump(2);
}
// An answer that lacks its last 40 bytes, so that the program waits for the rest.
ServerAction truncated(const ServerAction& complete) {
  return {complete.bytes.substr(0, complete.bytes.size() - 40)};
}

// A watch request that is never answered, or whose answer stops in the middle, is repeated on another
// connection, and the update that was missed is applied. Both cases run at the same time, as each takes as
// long as the time-out of a watch.
TEST(SenderProcess, AWatchThatStallsIsOpenedAgain) {
  HttpServer old_endpoint(respondOk), new_endpoint(respondOk);
  const ServerAction update{httpResponse("200 OK", "", replacementList(old_endpoint, new_endpoint))};
  ScriptedDiscovery silent({ServerAction{}, update});
  ScriptedDiscovery stalling({truncated(update), update});
  TempFolder folder, other_folder;
  const json known = json::array({endpointEntry("e1", old_endpoint.address(), 7)});
  SenderProgram first_program(folder.path(), silent.address(), known);
  SenderProgram second_program(other_folder.path(), stalling.address(), known);
  for (ScriptedDiscovery* discovery : {&silent, &stalling}) {
    ASSERT_TRUE(discovery->waitForRequests(3));  // the stalled request, its repetition, and the next watch
    EXPECT_NE(discovery->requests()[0].connection, discovery->requests()[1].connection);
    EXPECT_NE(std::string::npos, discovery->requests()[2].head.find("from=9&"))
        << discovery->requests()[2].head;
  }
  std::size_t sent = 0;
  for (const SenderProgram* program : {&first_program, &second_program}) {
    SenderClient client(program->port());
    ASSERT_EQ("+OK", client.submit("m" + std::to_string(program->pid()), "notice", 7));
    EXPECT_TRUE(new_endpoint.waitForRequests(++sent));
  }
  EXPECT_EQ(0u, old_endpoint.requests().size());
}

// SIGHUP arrives while the watch stalls, and the new discovery stalls in the middle of its first answer. The
// full list is requested from it again.
TEST(SenderProcess, SighupReplacesAStalledWatchByADiscoveryThatStallsToo) {
  HttpServer old_endpoint(respondOk), new_endpoint(respondOk);
  const ServerAction update{httpResponse("200 OK", "", replacementList(old_endpoint, new_endpoint))};
  ScriptedDiscovery silent({});
  ScriptedDiscovery stalling({truncated(update), update});
  TempFolder folder;
  SenderProgram program(folder.path(), silent.address(),
                        json::array({endpointEntry("e1", old_endpoint.address(), 7)}));
  ASSERT_TRUE(silent.waitForRequests(1));
  program.reload(stalling.address());
  ASSERT_TRUE(stalling.waitForRequests(3));
  for (std::size_t i = 0; i < 2; ++i) {
    EXPECT_EQ(std::string::npos, stalling.requests()[i].head.find("from=")) << stalling.requests()[i].head;
  }
  SenderClient client(program.port());
  ASSERT_EQ("+OK", client.submit("m", "notice", 7));
  EXPECT_TRUE(new_endpoint.waitForRequests(1));
  EXPECT_EQ(0u, old_endpoint.requests().size());
  EXPECT_EQ(1u, silent.requests().size());
}

// A backoff that has grown because discovery fails is not kept for the discovery that SIGHUP names: it starts
// again from the first pause. An update counts as received 4 s after the signal.
TEST(SenderProcess, TheBackoffStartsAgainAtTheDiscoveryThatSighupNames) {
  const std::vector<ServerAction> rejections(20, ServerAction{httpResponse("503 Busy")});
  ScriptedDiscovery before(rejections), after(rejections);
  TempFolder folder;
  HttpServer endpoint(respondOk);
  SenderProgram program(folder.path(), before.address(),
                        json::array({endpointEntry("e1", endpoint.address(), 7)}));
  ASSERT_TRUE(before.waitForRequests(6));
  program.reload(after.address());
  ASSERT_TRUE(eventually([&] { return after.requestGaps().size() >= 6; }));  // the gaps compared below
  const auto gaps = after.requestGaps();
  // The backoff doubles each time, and the jitter makes it half to one and a half times as long.
  EXPECT_GT(gaps[5], 3 * gaps[0]);
}

// Discovery fails, becomes available again, and stalls in the middle of its first answer. It is polled again.
TEST(SenderProcess, ADiscoveryThatRecoversAndStallsIsPolledAgain) {
  HttpServer old_endpoint(respondOk), new_endpoint(respondOk);
  const ServerAction update{httpResponse("200 OK", "", replacementList(old_endpoint, new_endpoint))};
  const ServerAction unavailable{httpResponse("503 Busy")};
  // An answer that can't be read. From then on the full list is requested, with the time-out of such a
  // request.
  const ServerAction malformed{httpResponse("200 OK", "", "{\"index\":")};
  ScriptedDiscovery discovery(
      {malformed, unavailable, ServerAction{"", false, true}, truncated(update), update});
  TempFolder folder;
  SenderProgram program(folder.path(), discovery.address(),
                        json::array({endpointEntry("e1", old_endpoint.address(), 7)}));
  ASSERT_TRUE(discovery.waitForRequests(6));
  EXPECT_NE(std::string::npos, discovery.requests()[5].head.find("from=9&")) << discovery.requests()[5].head;
  SenderClient client(program.port());
  ASSERT_EQ("+OK", client.submit("m", "notice", 7));
  EXPECT_TRUE(new_endpoint.waitForRequests(1));
  EXPECT_EQ(0u, old_endpoint.requests().size());
}

// A watch request that stalls must not delay the exit after SIGTERM.
TEST(SenderProcess, SigtermDoesNotWaitForAStalledWatch) {
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
  const int status = program.waitForExit();
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0);
  EXPECT_EQ(1u, silent.requests().size());
}

TEST(SenderProcess, AFullDiskBudgetRejectsNewMessagesAndKeepsOldOnes) {
  SenderSetup setup(neverRespond, 0.3);
  SenderClient client(setup.program.port());
  int accepted = 0;
  int rejected = 0;
  for (int i = 0; i < 40; ++i) {
    const std::string reply = client.submit("m" + std::to_string(i), "notice", 7, std::string(8000, 'x'));
    if (reply == "+OK") {
      ++accepted;
    } else if (reply.rfind("-BUSY", 0) == 0) {
      ++rejected;
    }
  }
  EXPECT_EQ(40, accepted + rejected);
  EXPECT_GT(accepted, 3);
  EXPECT_GT(rejected, 3);
  std::uint64_t bytes_on_disk = 0;
  for (const auto& file : std::filesystem::directory_iterator(setup.folder.path())) {
    bytes_on_disk += (file.file_size() + 511) / 512 * 512;  // in whole disk blocks of 512 bytes
  }
  EXPECT_LE(bytes_on_disk, 300'000u);
}

// After SIGTERM, calls in flight are completed, messages whose calls can't be started any more are left to
// the next process, clients that connect late are still answered, and the program exits with status 0.
//
// The endpoint answers a payment once two more were submitted. The latency that the sender measures, and with
// it its time-outs, thus depends on the traffic in the same way on a busy machine as on an idle one.
TEST(SenderProcess, SigtermUnderTrafficLosesNoMessage) {
  std::mutex mutex;
  std::condition_variable progress;
  int submitted = 0;
  bool stop = false;
  SenderSetup setup([&](const ReceivedRequest& request) {
    std::unique_lock<std::mutex> lock(mutex);
    progress.wait_for(lock, kWaitLimit, [&, before = submitted] { return stop || submitted >= before + 2; });
    return respondOk(request);
  });
  const auto wait_for_submissions = [&](int count) {
    std::unique_lock<std::mutex> lock(mutex);
    EXPECT_TRUE(
        progress.wait_for(lock, kWaitLimit, [&, before = submitted] { return submitted >= before + count; }));
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
          ++submitted;
        }
      }
      progress.notify_all();
      if (!client.connected()) {
        continue;
      }
      if (client.submit(id, "payment", 7) == "+OK") {
        accepted.push_back(id);
      }
      std::this_thread::sleep_for(5ms);
    }
  });
  wait_for_submissions(20);
  SenderClient idle(setup.program.port());
  ASSERT_EQ("+PONG", idle.sendRequest({"PING"}));
  setup.program.signal(SIGTERM);
  EXPECT_TRUE(idle.hasNoMoreLines());  // an idle connection is closed between requests
  wait_for_submissions(5);             // clients that connect late are served
  {
    std::lock_guard<std::mutex> lock(mutex);
    stop = true;
  }
  progress.notify_all();
  traffic.join();
  const int status = setup.program.waitForExit();
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
  EXPECT_EQ(0u, setup.discovery.noticeCount()) << setup.discovery.noticesAsText();
}

}  // namespace
}  // namespace delivery
