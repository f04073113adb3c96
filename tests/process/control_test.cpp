// The address for operators, and the drain that they ask for, on the whole program.
#include "support/loopback.h"

namespace delivery {
namespace {

using namespace loopback;

TEST(ControlAddress, SaysWhetherTheProgramCanServe) {
  Fleet f(deliver);
  EXPECT_EQ("OK ready", f.program.operate("READY"));
  Client crlf(f.program.controlPort());
  crlf.send("READY\r\n");
  EXPECT_EQ("OK ready", crlf.line("\n"));
  EXPECT_TRUE(crlf.closed());
}

// A destination is known only from the list: without one each message would be refused.
TEST(ControlAddress, IsNotReadyWithoutAListOfEndpoints) {
  TempFolder folder;
  Server endpoint(deliver);
  Agent agent;
  Program program(folder.path(), agent.address(), json::array());
  EXPECT_EQ(0u, program.operate("READY").find("ERR"));
  ASSERT_TRUE(agent.waitForWatch(1));
  agent.tell(json::array({listed("e1", endpoint.address(), 7)}));
  EXPECT_TRUE(eventually([&] { return program.operate("READY") == "OK ready"; }));
}

TEST(ControlAddress, AnswersBadCallsWithAnErrorOrAnEnd) {
  Fleet f(deliver);
  EXPECT_EQ(0u, f.program.operate("SHUTDOWN").find("ERR"));
  EXPECT_EQ(0u, f.program.operate("").find("ERR"));
  EXPECT_EQ(0u, f.program.operate("READY now").find("ERR"));
  Client overlong(f.program.controlPort());
  overlong.send(std::string(100'000, 'R'));
  EXPECT_EQ(0u, overlong.line("\n").find("ERR"));
  Client half(f.program.controlPort()), silent(f.program.controlPort());
  half.send("REA");
  EXPECT_TRUE(half.closed());
  EXPECT_TRUE(silent.closed());
  EXPECT_EQ("OK ready", f.program.operate("READY"));
}

// More callers than there are descriptors for stall, and clients fill their own table: operators get through.
TEST(ControlAddress, AnswersBesideCallersThatStallAndACrowdOfClients) {
  Fleet f(deliver);
  std::vector<std::unique_ptr<Client>> crowd;
  for (int i = 0; i < 1100; ++i)
    crowd.push_back(std::make_unique<Client>(f.program.port()));
  for (int i = 0; i < 40; ++i) {
    crowd.push_back(std::make_unique<Client>(f.program.controlPort()));
    crowd.back()->send("REA");
  }
  EXPECT_EQ("OK ready", f.program.operate("READY"));
}

// A drain gives PING no yes and ends connections between requests, after their answers; what was taken on is
// delivered, and the program stays. Its end brings the yes back.
TEST(OperatorsDrain, SendsClientsAwayAndDeliversWhatWasTakenOn) {
  std::atomic<bool> full{true};
  Fleet f([&](const Seen&) { return full ? Act{answer("503 Full")} : Act{answer("200 OK")}; });
  Client idle(f.program.port()), in_a_request(f.program.port());
  ASSERT_EQ("+OK", idle.put("held", "notice", 7));
  const std::string request =
      Client::request({"MSG.PUT", "0", "cut", "c=notice,d=28000,k=kcut,dest=7", "body"});
  in_a_request.send(request.substr(0, 20));
  ASSERT_TRUE(f.endpoint.waitFor(1));
  EXPECT_EQ(0u, f.program.operate("DRAIN").find("OK"));
  EXPECT_EQ(0u, f.program.operate("READY").find("ERR"));
  EXPECT_TRUE(idle.closed());
  in_a_request.send(request.substr(20));
  EXPECT_EQ("+OK", in_a_request.line());
  EXPECT_TRUE(in_a_request.ended());
  Client late(f.program.port()), silent(f.program.port());
  EXPECT_EQ(0u, late.ask({"PING"}).find("-ERR"));
  EXPECT_TRUE(late.ended());
  EXPECT_TRUE(silent.closed());
  EXPECT_EQ(0u, f.program.operate("DRAIN").find("OK"));  // once more changes nothing
  full = false;
  EXPECT_TRUE(eventually([&] {
    std::set<std::string> ids;
    for (const Seen& s : f.endpoint.seen())
      ids.insert(s.field("X-Txn"));
    return ids == std::set<std::string>{"held", "cut"};
  }));
  EXPECT_EQ(0u, f.program.operate("UNDRAIN").find("OK"));
  EXPECT_EQ("OK ready", f.program.operate("READY"));
  Client back(f.program.port());
  EXPECT_EQ("+PONG", back.ask({"PING"}));
  EXPECT_EQ("+OK", back.put("after", "notice", 7));
}

}  // namespace
}  // namespace delivery
