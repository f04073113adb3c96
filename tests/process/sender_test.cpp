// The whole program as a child process: clients, endpoints and discovery over loopback sockets, kills
// between.
#include "storage/journal.h"
#include "support/loopback.h"

namespace delivery {
namespace {

using namespace loopback;

TEST(SenderProgram, TakesAMessageOnAndDeliversItUnchanged) {
  Fleet f(deliver);
  Client c(f.program.port());
  EXPECT_EQ("+OK", c.put("9b1f03aa5c7e2d41", "order", 7, std::string("a\0\r\nb", 5)));
  ASSERT_TRUE(f.endpoint.waitFor(1));
  const Seen s = f.endpoint.seen()[0];
  EXPECT_EQ("9b1f03aa5c7e2d41", s.field("X-Txn"));
  EXPECT_EQ("k9b1f03aa5c7e2d41", s.field("Idempotency-Key"));
  EXPECT_EQ(std::string("a\0\r\nb", 5), s.body);
}

// What a client says of its tenant reaches the decisions, also over a kill: with one slot, a message inside
// its tenant's share goes before earlier ones of a tenant that is far beyond its own.
TEST(SenderProgram, AMessageInsideItsTenantsShareGoesFirst) {
  json settings = plainSettings();
  settings["Domain"]["CallSlots"] = 1;
  settings["OverShareWorth"] = 0.1;
  settings["Tenants"] = {{{"Name", "beyond"}, {"QuotaRps", 0.001}, {"Share", 0.5}},
                         {{"Name", "inside"}, {"QuotaRps", 1000.0}, {"Share", 0.5}}};
  std::atomic<bool> silent{true};
  TempFolder folder;
  Agent agent;
  Server endpoint([&](const Seen&) { return silent ? Act{} : Act{answer("200 OK")}; });
  Program program(folder.path(), agent.address(), json::array({listed("e1", endpoint.address(), 7)}), 3,
                  settings);
  Client c(program.port());
  auto put = [&](const std::string& id, const std::string& tenant) {
    return c.ask({"MSG.PUT", "0", id, "c=payment,t=" + tenant + ",d=28000,dest=7", "body"});
  };
  ASSERT_EQ("+OK", put("first", "beyond"));
  ASSERT_TRUE(endpoint.waitFor(1));  // it holds the slot, and may have run when the process is killed
  for (const char* id : {"b1", "b2", "b3"})
    ASSERT_EQ("+OK", put(id, "beyond"));
  ASSERT_EQ("+OK", put("mine", "inside"));
  program.kill();
  silent = false;
  program.start();
  ASSERT_TRUE(endpoint.waitFor(5));
  EXPECT_EQ("mine", endpoint.seen()[1].field("X-Txn"));
}

TEST(SenderProgram, BadInputGetsAnErrorAndTheProgramLivesOn) {
  Fleet f(deliver);
  Client c(f.program.port());
  EXPECT_EQ(0u, c.put("a", "nonsense", 7).find("-ERR"));
  EXPECT_EQ(0u, c.put("b", "order", 99).find("-ERR"));
  EXPECT_EQ(0u, c.ask({"MSG.PUT", "0", "id", "c=order,d=soon,dest=7", "x"}).find("-ERR"));
  EXPECT_EQ(0u, c.ask({"MSG.PUT", "0", "i\r\nd", "c=order,d=100,dest=7", "x"}).find("-ERR"));
  EXPECT_EQ(0u, c.ask({"MSG.PUT", "0"}).find("-ERR"));
  EXPECT_EQ(0u, c.ask({"FLUSHALL"}).find("-ERR"));
  EXPECT_EQ("+PONG", c.ask({"PING"}));  // the connection is still good
  for (const std::string& bytes :
       {std::string("GET / HTTP/1.1\r\n\r\n"), "*1\r\n$99999999\r\n" + std::string(300'000, 'x')}) {
    Client bad(f.program.port());
    bad.send(bytes);
    EXPECT_EQ(0u, bad.line().find("-ERR"));
    EXPECT_TRUE(bad.ended());
  }
  EXPECT_EQ("+OK", c.put("fine", "order", 7));
}

// Peers that never send a whole request, in a stretch or in drops, or none that hands in a message, hold no
// descriptor for long; a client that rests between messages does.
TEST(SenderProgram, SilentAndHalfSendingPeersAreClosed) {
  Fleet f(deliver);
  Client resting(f.program.port());
  EXPECT_EQ("+OK", resting.put("first", "order", 7));
  Client silent(f.program.port()), idle(f.program.port()), half(f.program.port()), later(f.program.port());
  EXPECT_EQ("+PONG", idle.ask({"PING"}));
  half.send("*5\r\n$7\r\nMSG.PUT\r\n$16\r\n0000");
  EXPECT_EQ("+PONG", later.ask({"PING"}));
  later.send("*5\r\n$7\r\nMSG");
  std::atomic<bool> stop{false};
  Client dripping(f.program.port());
  std::thread drops([&] {
    dripping.send("*5\r\n$7\r\nMSG.PUT\r\n$60000\r\n");
    while (!stop) {
      dripping.send("0");
      std::this_thread::sleep_for(5ms);
    }
  });
  EXPECT_TRUE(later.closed());
  EXPECT_TRUE(silent.closed());
  EXPECT_TRUE(idle.closed());
  EXPECT_TRUE(half.closed());
  EXPECT_TRUE(dripping.closed());
  stop = true;
  drops.join();
  EXPECT_EQ("+OK", resting.put("fine", "order", 7));
}

// More peers than the table holds ping and rest: a client that comes after them is served all the same.
TEST(SenderProgram, ACrowdOfRestingPeersMakesRoomForClients) {
  Fleet f(deliver);
  std::vector<std::unique_ptr<Client>> crowd;
  for (int i = 0; i < 800; ++i) {
    crowd.push_back(std::make_unique<Client>(f.program.port()));
    ASSERT_TRUE(crowd.back()->connected());
    crowd.back()->send(Client::request({"PING"}));
  }
  Client c(f.program.port());
  EXPECT_EQ("+OK", c.put("fine", "order", 7));
}

// Peers that never send a byte fill the table several times over: a client that rests between its messages
// keeps its connection, and one that comes behind them is served.
TEST(SenderProgram, ACrowdThatSendsNothingMakesRoomBeforeAClientThatRests) {
  Fleet f(deliver);
  Client resting(f.program.port());
  ASSERT_EQ("+OK", resting.put("first", "order", 7));
  Client silent(f.program.port());
  ASSERT_TRUE(silent.closed());  // by now the client has rested as long as that one was waited for
  std::vector<std::unique_ptr<Client>> crowd;
  for (int i = 0; i < 2000; ++i)
    crowd.push_back(std::make_unique<Client>(f.program.port()));
  Client behind(f.program.port());
  EXPECT_EQ("+OK", behind.put("second", "order", 7));
  EXPECT_EQ("+OK", resting.put("third", "order", 7));
}

TEST(SenderProgram, ABadConfigurationIsOneLineAndAStatus) {
  TempFolder t;
  for (const std::string& text : {std::string("{"), std::string("{}"), std::string("[1]"),
                                  std::string(R"({"listen":"x","discovery":"127.0.0.1:1","settings":{}})")}) {
    const std::string path = t.path() + "/config.json";
    std::ofstream(path) << text;
    int status = 0;
    ASSERT_GT(::waitpid(Program::spawn(path, t.path()), &status, 0), 0);
    EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) != 0) << text;
  }
}

// Safe messages that were out when the process was killed are sent again; an unsafe one may have run, so it
// is given up by a notice and never sent again.
TEST(SenderProgram, AKilledProcessResumesWhatItHadTakenOn) {
  std::atomic<bool> silent{true};
  Fleet f([&](const Seen&) { return silent ? Act{} : Act{answer("200 OK")}; });
  {
    Client c(f.program.port());
    ASSERT_EQ("+OK", c.put("safe", "notice", 7));
    ASSERT_EQ("+OK", c.put("keyed", "order", 7));
    ASSERT_EQ("+OK", c.put("unsafe", "payment", 7));
    ASSERT_TRUE(f.endpoint.waitFor(3));
  }
  f.program.kill();
  silent = false;
  f.program.start();
  ASSERT_TRUE(f.endpoint.waitFor(5));
  ASSERT_TRUE(f.agent.waitForNotice("unsafe"));
  EXPECT_EQ("given_up", f.agent.notice("unsafe")["outcome"]);
  std::map<std::string, int> sends;
  for (const Seen& s : f.endpoint.seen())
    ++sends[s.field("X-Txn")];
  EXPECT_EQ(2, sends["safe"]);
  EXPECT_EQ(2, sends["keyed"]);
  EXPECT_EQ(1, sends["unsafe"]);
  EXPECT_EQ(1u, f.agent.noticeCount());
}

// The time that a message may last is its own: what can't be one is no message, and nothing is taken on.
TEST(SenderProgram, ATimeThatCannotBeIsBadInput) {
  Fleet f(stayOut);
  Client c(f.program.port());
  for (const char* d :
       {"d=0", "d=-5", "d=", "d=1.5", "d=soon", "d=99999999999999999999", "d=86400001", "x=1"})
    EXPECT_EQ(0u, c.ask({"MSG.PUT", "0", "id", std::string("c=order,dest=7,") + d, "x"}).find("-ERR")) << d;
  EXPECT_EQ("+OK", c.put("fine", "order", 7));
  ASSERT_TRUE(f.endpoint.waitFor(1));
  EXPECT_EQ("fine", f.endpoint.seen()[0].field("X-Txn"));
  EXPECT_EQ(0u, f.agent.noticeCount());
}

// It counts from the first byte: a request that trickles in for longer is answered at once, and not sent.
TEST(SenderProgram, ARequestThatTricklesInForLongerThanItMayLastIsNotTakenOn) {
  Fleet f(deliver);
  Client c(f.program.port());
  const std::string request = Client::request({"MSG.PUT", "0", "late", "c=order,d=50,dest=7", "body"});
  c.send(request.substr(0, 10));
  ASSERT_EQ("OK ready", f.program.operate("READY"));  // by now the first bytes have been read
  std::this_thread::sleep_for(60ms);
  c.send(request.substr(10));
  const std::string reply = c.line();
  EXPECT_TRUE(reply.rfind("-", 0) == 0) << reply;
  EXPECT_EQ("+OK", c.put("fine", "order", 7));
  ASSERT_TRUE(f.endpoint.waitFor(1));
  EXPECT_EQ("fine", f.endpoint.seen()[0].field("X-Txn"));
}

// A message whose time ends while the process is down: one notice, and no send.
TEST(SenderProgram, AMessageWhoseTimeEndedBeforeTheRestartIsGivenUpOnce) {
  std::atomic<bool> full{true};
  Fleet f([&](const Seen&) {
    return full ? Act{answer("429 Full", "Retry-After: 0.3\r\n")} : Act{answer("200 OK")};
  });
  {
    Client c(f.program.port());
    ASSERT_EQ("+OK", c.put("short", "payment", 7, "x", 600));
    ASSERT_TRUE(f.endpoint.waitFor(1));
  }
  f.program.kill();
  full = false;
  std::this_thread::sleep_for(700ms);
  f.program.start();
  ASSERT_TRUE(f.agent.waitForNotice("short"));
  EXPECT_EQ(1u, f.agent.noticeCount());
  EXPECT_EQ(1u, f.endpoint.seen().size());
}

// With `durable` it serves as ever, and after a kill resumes what it had taken on.
TEST(SenderProgram, ServesAndResumesWithDurablePromises) {
  TempFolder folder;
  Agent agent;
  std::atomic<bool> silent{true};
  Server endpoint([&](const Seen&) { return silent ? Act{} : Act{answer("200 OK")}; });
  Program program(folder.path(), agent.address(), json::array({listed("e1", endpoint.address(), 7)}), 3,
                  plainSettings(), nullptr, {{"durable", true}});
  {
    Client c(program.port());
    ASSERT_EQ("+OK", c.put("safe", "notice", 7));
    ASSERT_TRUE(endpoint.waitFor(1));
  }
  program.kill();
  silent = false;
  program.start();
  ASSERT_TRUE(endpoint.waitFor(2));
}

// An unsafe message whose attempt is known not to have run may go again, also after a kill.
TEST(SenderProgram, AnAttemptThatNeverRanIsRememberedOverAKill) {
  std::atomic<bool> full{true};
  Fleet f([&](const Seen&) {
    return full ? Act{answer("429 Full", "Retry-After: 4\r\n")} : Act{answer("200 OK")};
  });
  {
    Client c(f.program.port());
    ASSERT_EQ("+OK", c.put("unsafe", "payment", 7));
    ASSERT_TRUE(f.endpoint.waitFor(1));
    // A copy of the journal tells when the refusal has been written down.
    ASSERT_TRUE(eventually([&] {
      TempFolder copy;
      std::filesystem::copy(f.folder.path(), copy.path(), std::filesystem::copy_options::recursive);
      const Journal j(copy.path(), {3'000'000});
      const auto& open = j.recovered().entries;
      return open.size() == 1 && open[0].attempts.size() == 1 && open[0].attempts[0].never_ran;
    }));
  }
  f.program.kill();
  full = false;
  f.program.start();
  ASSERT_TRUE(f.endpoint.waitFor(2));
  EXPECT_EQ(0u, f.agent.noticeCount());
}

// A notice stays owed until it is answered 204, over a kill too.
TEST(SenderProgram, ANoticeStaysOwedOverAKill) {
  Fleet f(stayOut);
  f.agent.refuse_notices = true;
  {
    Client c(f.program.port());
    ASSERT_EQ("+OK", c.put("short", "payment", 7, "x", 300));
    ASSERT_TRUE(f.endpoint.waitFor(1));
  }
  ASSERT_TRUE(eventually([&] { return f.agent.refused > 0; }));  // its time is up, its notice refused
  f.program.kill();
  f.agent.refuse_notices = false;
  f.program.start();
  ASSERT_TRUE(f.agent.waitForNotice("short"));
  EXPECT_EQ("given_up", f.agent.notice("short")["outcome"]);
}

// What a whole list leaves out is gone: a call whose connection is still coming up there goes elsewhere at
// once, though its connect might last longer than the message.
TEST(SenderProgram, AWholeListWithoutAnEndpointWithdrawsItsCalls) {
  const StuckListener stuck;
  TempFolder folder;
  loopback::Agent agent;
  Server other(deliver);
  json settings = plainSettings();
  settings["Ceilings"]["DialTimeoutMs"] = 100000.0;
  for (json& c : settings["Categories"])
    c["AimMs"] = c["DeadlineMs"];  // a first call may take all its time
  settings["Ceilings"]["ParallelTries"] = false;
  Program program(folder.path(), agent.address(), json::array({listed("e1", stuck.address(), 7)}), 3,
                  settings);
  ASSERT_TRUE(agent.waitForWatch(1));
  Client c(program.port());
  ASSERT_EQ("+OK", c.put("m", "notice", 7));
  agent.tell(json::array({listed("e2", other.address(), 7)}), true);
  EXPECT_TRUE(other.waitFor(1));
}

// A restart ends a wait: what waited behind it, untried, is tried by the next process, not at its end.
TEST(SenderProgram, ARestartEndsAWaitAndTriesWhatWaitedBehindIt) {
  TempFolder folder;
  loopback::Agent agent;
  std::atomic<bool> shut{true};
  Server endpoint([&](const Seen&) {
    return shut ? Act{answer("429 Full", "Retry-After: 20\r\n")} : Act{answer("200 OK")};
  });
  Program program(folder.path(), agent.address(), json::array({listed("e1", endpoint.address(), 7)}));
  Client c(program.port());
  ASSERT_EQ("+OK", c.put("told", "notice", 7));
  ASSERT_TRUE(endpoint.waitFor(1));
  const auto told = std::chrono::steady_clock::now();
  ASSERT_EQ("+OK", c.put("untried", "notice", 7));
  shut = false;
  program.kill();
  program.start();
  EXPECT_TRUE(endpoint.waitFor(2));
  EXPECT_TRUE(eventually([&] {
    for (const Seen& s : endpoint.seen())
      if (s.field("X-Txn") == "untried")
        return true;
    return false;
  }));
  EXPECT_LT(std::chrono::steady_clock::now() - told, 20s);  // before the wait would have been over
}

// A drain that was heard holds from that turn on, and also for the next process, whose configuration is old.
TEST(SenderProgram, ADrainIsKeptOverAKill) {
  Fleet f(deliver);
  Server other(deliver);
  f.agent.tell(
      json::array({listed("e1", f.endpoint.address(), 7, "Terminating"), listed("e2", other.address(), 7)}));
  ASSERT_TRUE(f.agent.waitForWatch(2));
  for (int life = 0; life < 2; ++life) {
    Client c(f.program.port());
    for (int i = 0; i < 5; ++i)
      ASSERT_EQ("+OK", c.put("m" + std::to_string(10 * life + i), "notice", 7));
    ASSERT_TRUE(other.waitFor(static_cast<std::size_t>(5 * (life + 1))));
    EXPECT_EQ(0u, f.endpoint.seen().size());
    f.program.kill();
    f.program.start();
  }
}

// Discovery that turns calls away is asked again after pauses that grow; the last list stays in force.
TEST(SenderProgram, AsksADiscoveryThatTurnsItAwayEverLater) {
  const auto now = [] { return std::chrono::steady_clock::now(); };
  std::mutex mutex;
  std::vector<std::chrono::steady_clock::time_point> asked;
  Server endpoint(deliver), turning_away([&](const Seen&) {
    std::lock_guard<std::mutex> l(mutex);
    asked.push_back(now());
    return Act{answer("503 Busy")};
  });
  TempFolder folder;
  Program program(folder.path(), turning_away.address(), json::array({listed("e1", endpoint.address(), 7)}));
  EXPECT_EQ("OK ready", program.operate("READY"));
  Client c(program.port());
  ASSERT_EQ("+OK", c.put("m", "notice", 7));
  ASSERT_TRUE(endpoint.waitFor(1));
  ASSERT_TRUE(turning_away.waitFor(6));
  std::lock_guard<std::mutex> l(mutex);
  for (std::size_t i = 1; i < 5; ++i)
    EXPECT_GE(asked[i] - asked[i - 1], 50ms * (1 << (i - 1))) << i;
}

// SIGHUP: list and notices come from and go to the address that the file names now; a file that can't be read
// changes nothing.
TEST(SenderProgram, SighupMovesToTheDiscoveryThatTheFileNames) {
  Fleet f(deliver);
  Client c(f.program.port());
  ASSERT_EQ("+OK", c.put("before", "order", 7));
  ASSERT_TRUE(f.agent.waitForWatch(1));
  f.program.reload("nonsense");
  Agent moved;
  Server other([](const Seen& s) { return s.body == "unanswered" ? Act{} : Act{answer("200 OK")}; });
  moved.tell(
      json::array({listed("e1", f.endpoint.address(), 7, "Terminating"), listed("e2", other.address(), 7)}));
  f.program.reload(moved.address());
  ASSERT_TRUE(moved.waitForWatch(2));
  ASSERT_EQ("+OK", c.put("after", "order", 7));
  ASSERT_TRUE(other.waitFor(1));
  ASSERT_EQ("+OK", c.put("short", "payment", 7, "unanswered", 300));
  ASSERT_TRUE(moved.waitForNotice("short"));
  EXPECT_EQ(0u, f.agent.noticeCount());
}

// A restart, by SIGKILL and by SIGTERM, with a table full of messages that wait behind a told wait, behind a
// destination that is away, and with calls whose connections are being opened: what had no call is tried,
// what may have run and must not repeat is not sent again, and each ends.
TEST(SenderProgram, WhatARestartFindsUntriedIsTriedWhateverItWaitedFor) {
  for (const int how : {SIGKILL, SIGTERM}) {
    std::atomic<bool> down{true};
    std::mutex mutex;
    std::set<std::string> may_have_run, delivered;
    Server told([&](const Seen& s) {
      if (down)
        return Act{answer("429 Full", "Retry-After: 20\r\n")};
      std::lock_guard<std::mutex> l(mutex);
      const std::string id = s.field("X-Txn");
      const bool first = delivered.insert(id).second;
      if (id != "told0" && id.rfind("told", 0) == 0)
        EXPECT_TRUE(first) << id;  // payments
      return Act{answer("200 OK")};
    });
    Server away([&](const Seen& s) {
      std::lock_guard<std::mutex> l(mutex);
      EXPECT_EQ(0u, may_have_run.count(s.field("X-Txn"))) << s.field("X-Txn");
      if (down) {
        may_have_run.insert(s.field("X-Txn"));
        return Act{"", false, true, false};
      }
      delivered.insert(s.field("X-Txn"));
      return Act{answer("200 OK")};
    });
    Server late([&](const Seen& s) {
      std::lock_guard<std::mutex> l(mutex);
      delivered.insert(s.field("X-Txn"));
      return Act{answer("200 OK")};
    });
    const StuckListener stuck;
    TempFolder folder;
    loopback::Agent agent;
    json settings = plainSettings();
    settings["Ceilings"]["MaxOpen"] = 20;
    settings["Ceilings"]["DialTimeoutMs"] = 20000.0;
    settings["Rules"]["RampTimeMs"] = 1000.0;  // what was away is paced for so long
    Program program(folder.path(), agent.address(),
                    json::array({listed("told", told.address(), 7), listed("away", away.address(), 8),
                                 listed("late", stuck.address(), 9)}),
                    3, settings);
    ASSERT_TRUE(agent.waitForWatch(1));
    std::vector<std::string> taken;
    {
      Client c(program.port());
      const auto put = [&](const std::string& id, const char* cls, int dest) {
        if (c.put(id, cls, dest) == "+OK")
          taken.push_back(id);
      };
      put("told0", "notice", 7);
      ASSERT_TRUE(told.waitFor(1));
      put("away0", "payment", 8);
      ASSERT_TRUE(away.waitFor(1));
      for (int i = 1; i < 6; ++i)
        put("told" + std::to_string(i), "payment", 7);
      for (int i = 1; i < 6; ++i)
        put("away" + std::to_string(i), "payment", 8);
      for (int i = 0; i < 3; ++i)
        put("late" + std::to_string(i), "order", 9);
    }
    ASSERT_GE(taken.size(), 12u);
    program.signal(how);
    program.wait();
    down = false;
    agent.tell(json::array({listed("late", late.address(), 9)}));
    program.start();
    Client c(program.port());
    for (int i = 0; i < 20; ++i)
      c.put("new" + std::to_string(i), "notice", 7);  // a full table again
    for (const std::string& id : taken)
      EXPECT_TRUE(eventually([&] {
        {
          std::lock_guard<std::mutex> l(mutex);
          if (delivered.count(id) > 0)
            return true;
          if (may_have_run.count(id) == 0)
            return false;
        }
        return !agent.notice(id).is_null();
      })) << id
          << " after signal " << how;
    std::lock_guard<std::mutex> l(mutex);
    for (const std::string& id : taken)
      EXPECT_EQ(1u, delivered.count(id) + may_have_run.count(id)) << id;
  }
}

// Discovery in whose calls a test has a say: what it answers to the how manieth call. What comes after the
// last that is named stays unanswered, as a watch without news does.
class ScriptedDiscovery {
 public:
  explicit ScriptedDiscovery(std::vector<Act> answers)
      : answers_(std::move(answers)), server_([this](const Seen& s) {
          const std::size_t call = calls_++;
          if (s.head.rfind("POST", 0) == 0)
            return Act{"HTTP/1.1 204 No Content\r\n\r\n"};
          std::lock_guard<std::mutex> l(mutex_);
          asked_.push_back(std::chrono::steady_clock::now());
          return call < answers_.size() ? answers_[call] : Act{};
        }) {}
  std::string address() const { return server_.address(); }
  bool waitFor(std::size_t calls) { return server_.waitFor(calls); }
  std::vector<Seen> seen() { return server_.seen(); }
  std::vector<std::chrono::steady_clock::duration> gaps() {
    std::lock_guard<std::mutex> l(mutex_);
    std::vector<std::chrono::steady_clock::duration> all;
    for (std::size_t i = 1; i < asked_.size(); ++i)
      all.push_back(asked_[i] - asked_[i - 1]);
    return all;
  }

 private:
  std::vector<Act> answers_;
  std::mutex mutex_;
  std::vector<std::chrono::steady_clock::time_point> asked_;
  std::atomic<std::size_t> calls_{0};
  Server server_;
};

// Destination 7 has moved from `from` to `to`; written over several lines.
std::string movedList(const Server& from, const Server& to) {
  return json{{"index", 9},
              {"snapshot", true},
              {"endpoints", {listed("e1", from.address(), 7, "Terminating"), listed("e2", to.address(), 7)}}}
      .dump(2);
}
Act halfOf(const Act& whole) {
  return {whole.bytes.substr(0, whole.bytes.size() - 40)};
}

// A watch that falls silent, at once or in the middle of its answer, is broken: it is opened anew on another
// connection, and what it missed is heeded from then on. Both at once, as each takes the time of a watch.
TEST(SenderProgram, AWatchThatFallsSilentIsOpenedAnew) {
  Server from(deliver), to(deliver);
  const Act moved{answer("200 OK", "", movedList(from, to))};
  ScriptedDiscovery silent({Act{}, moved}), half({halfOf(moved), moved});
  TempFolder folder, other_folder;
  const json known = json::array({listed("e1", from.address(), 7)});
  Program one(folder.path(), silent.address(), known), two(other_folder.path(), half.address(), known);
  for (ScriptedDiscovery* d : {&silent, &half}) {
    ASSERT_TRUE(d->waitFor(3));  // the broken one, the new one, and the next
    EXPECT_NE(d->seen()[0].connection, d->seen()[1].connection);
    EXPECT_NE(std::string::npos, d->seen()[2].head.find("from=9&")) << d->seen()[2].head;
  }
  std::size_t sent = 0;
  for (const Program* p : {&one, &two}) {
    Client c(p->port());
    ASSERT_EQ("+OK", c.put("m" + std::to_string(p->pid()), "notice", 7));
    EXPECT_TRUE(to.waitFor(++sent));
  }
  EXPECT_EQ(0u, from.seen().size());
}

// SIGHUP while the watch is silent, and the new discovery falls silent in the middle of its first answer: it
// is asked anew for the whole list.
TEST(SenderProgram, SighupLeavesASilentWatchForADiscoveryThatFallsSilentToo) {
  Server from(deliver), to(deliver);
  const Act moved{answer("200 OK", "", movedList(from, to))};
  ScriptedDiscovery silent({}), half({halfOf(moved), moved});
  TempFolder folder;
  Program program(folder.path(), silent.address(), json::array({listed("e1", from.address(), 7)}));
  ASSERT_TRUE(silent.waitFor(1));
  program.reload(half.address());
  ASSERT_TRUE(half.waitFor(3));
  for (std::size_t i = 0; i < 2; ++i)
    EXPECT_EQ(std::string::npos, half.seen()[i].head.find("from=")) << half.seen()[i].head;
  Client c(program.port());
  ASSERT_EQ("+OK", c.put("m", "notice", 7));
  EXPECT_TRUE(to.waitFor(1));
  EXPECT_EQ(0u, from.seen().size());
  EXPECT_EQ(1u, silent.seen().size());
}

// The pauses that have grown at a discovery that fails are not kept for the one that SIGHUP names: they grow
// from the first again there. EndpointListUpdate of it counts as told 4 s after the signal.
TEST(SenderProgram, PausesGrowAnewAtTheDiscoveryThatSighupNames) {
  const std::vector<Act> turned_away(20, Act{answer("503 Busy")});
  ScriptedDiscovery before(turned_away), after(turned_away);
  TempFolder folder;
  Server endpoint(deliver);
  Program program(folder.path(), before.address(), json::array({listed("e1", endpoint.address(), 7)}));
  ASSERT_TRUE(before.waitFor(6));
  program.reload(after.address());
  ASSERT_TRUE(after.waitFor(7));
  const auto gaps = after.gaps();
  EXPECT_GT(gaps[5], 3 * gaps[0]);  // each is within half and one and a half of twice the one before
}

// A discovery that returns and falls silent in the middle of its first answer.
TEST(SenderProgram, ADiscoveryThatReturnsAndFallsSilentIsAskedAnew) {
  Server from(deliver), to(deliver);
  const Act moved{answer("200 OK", "", movedList(from, to))}, away{answer("503 Busy")};
  // A whole list that can't be read: from then on the whole list is asked for, with the time of such a call.
  const Act spoilt{answer("200 OK", "", "{\"index\":")};
  ScriptedDiscovery discovery({spoilt, away, Act{"", false, true, false}, halfOf(moved), moved});
  TempFolder folder;
  Program program(folder.path(), discovery.address(), json::array({listed("e1", from.address(), 7)}));
  ASSERT_TRUE(discovery.waitFor(6));
  EXPECT_NE(std::string::npos, discovery.seen()[5].head.find("from=9&")) << discovery.seen()[5].head;
  Client c(program.port());
  ASSERT_EQ("+OK", c.put("m", "notice", 7));
  EXPECT_TRUE(to.waitFor(1));
  EXPECT_EQ(0u, from.seen().size());
}

// SIGTERM while the watch is silent: nobody waits for it.
TEST(SenderProgram, SigtermDoesNotWaitForASilentWatch) {
  Server endpoint(deliver);
  ScriptedDiscovery silent({});
  TempFolder folder;
  Program program(folder.path(), silent.address(), json::array({listed("e1", endpoint.address(), 7)}));
  ASSERT_TRUE(silent.waitFor(1));
  Client c(program.port());
  ASSERT_EQ("+OK", c.put("m", "payment", 7));
  ASSERT_TRUE(endpoint.waitFor(1));
  program.signal(SIGTERM);
  EXPECT_TRUE(c.ended());
  const int status = program.wait();
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0);
  EXPECT_EQ(1u, silent.seen().size());
}

TEST(SenderProgram, AFullDiskBudgetRefusesAndKeepsWhatItHas) {
  Fleet f(stayOut, 0.3);
  Client c(f.program.port());
  int taken = 0, refused = 0;
  for (int i = 0; i < 40; ++i) {
    const std::string reply = c.put("m" + std::to_string(i), "notice", 7, std::string(8000, 'x'));
    if (reply == "+OK")
      ++taken;
    else if (reply.rfind("-BUSY", 0) == 0)
      ++refused;
  }
  EXPECT_EQ(40, taken + refused);
  EXPECT_GT(taken, 3);
  EXPECT_GT(refused, 3);
  std::uint64_t on_disk = 0;
  for (const auto& e : std::filesystem::directory_iterator(f.folder.path()))
    on_disk += (e.file_size() + 511) / 512 * 512;
  EXPECT_LE(on_disk, 300'000u);
}

// SIGTERM: calls out are heard to their end, what cannot be started is left to the next process, late clients
// are still answered, and the program leaves by itself with status 0.
// A payment is answered once two more were handed in, so that what the sender learns of the endpoint's pace,
// and with it how long it waits, is paced by the same traffic on a busy machine as on an idle one.
TEST(SenderProgram, SigtermUnderTrafficLosesNothing) {
  std::mutex mutex;
  std::condition_variable more;
  int asked = 0;
  bool stop = false;
  Fleet f([&](const Seen& s) {
    std::unique_lock<std::mutex> l(mutex);
    more.wait_for(l, kLong, [&, mine = asked] { return stop || asked >= mine + 2; });
    return deliver(s);
  });
  const auto waitForAsked = [&](int count) {
    std::unique_lock<std::mutex> l(mutex);
    EXPECT_TRUE(more.wait_for(l, kLong, [&, from = asked] { return asked >= from + count; }));
  };
  std::vector<std::string> taken;
  std::thread traffic([&] {
    for (int i = 0;; ++i) {
      Client c(f.program.port());
      const std::string id = "m" + std::to_string(i);
      {
        std::lock_guard<std::mutex> l(mutex);
        if (stop)
          return;
        if (c.connected())
          ++asked;
      }
      more.notify_all();
      if (!c.connected())
        continue;
      if (c.put(id, "payment", 7) == "+OK")
        taken.push_back(id);
      std::this_thread::sleep_for(5ms);
    }
  });
  waitForAsked(20);
  Client idle(f.program.port());
  ASSERT_EQ("+PONG", idle.ask({"PING"}));
  f.program.signal(SIGTERM);
  EXPECT_TRUE(idle.ended());  // an idle connection is closed between requests
  waitForAsked(5);            // late ones are served
  {
    std::lock_guard<std::mutex> l(mutex);
    stop = true;
  }
  more.notify_all();
  traffic.join();
  const int status = f.program.wait();
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0);
  f.program.start();
  ASSERT_TRUE(f.endpoint.waitFor(taken.size()));
  std::map<std::string, int> sends;
  for (const Seen& s : f.endpoint.seen())
    ++sends[s.field("X-Txn")];
  for (const std::string& id : taken)
    EXPECT_EQ(1, sends[id]) << id;
  EXPECT_EQ(0u, f.agent.noticeCount()) << f.agent.allNotices();
}

}  // namespace
}  // namespace delivery
