// The control address and the drain by operators, on the whole program.
#include "support/loopback.h"

namespace delivery {
namespace {

using namespace loopback;

TEST(ControlAddress, ReadyTellsWhetherTheProgramServes) {
  Fleet fleet(deliver);
  EXPECT_EQ("OK ready", fleet.program.operate("READY"));
  Client crlf(fleet.program.controlPort());
  crlf.send("READY\r\n");
  EXPECT_EQ("OK ready", crlf.line("\n"));
  EXPECT_TRUE(crlf.closed());
}

// Destinations are known from the endpoint list alone: without one each message would be rejected.
TEST(ControlAddress, IsNotReadyWithoutAnEndpointList) {
  TempFolder folder;
  Server endpoint(deliver);
  Agent agent;
  Program program(folder.path(), agent.address(), json::array());
  EXPECT_EQ(0u, program.operate("READY").find("ERR"));
  ASSERT_TRUE(agent.waitForWatch(1));
  agent.tell(json::array({listed("e1", endpoint.address(), 7)}));
  EXPECT_TRUE(eventually([&] { return program.operate("READY") == "OK ready"; }));
}

TEST(ControlAddress, RejectsInvalidCommandsAndClosesStalledConnections) {
  Fleet fleet(deliver);
  EXPECT_EQ(0u, fleet.program.operate("SHUTDOWN").find("ERR"));
  EXPECT_EQ(0u, fleet.program.operate("").find("ERR"));
  EXPECT_EQ(0u, fleet.program.operate("READY now").find("ERR"));
  Client overlong(fleet.program.controlPort());
  overlong.send(std::string(100'000, 'R'));
  EXPECT_EQ(0u, overlong.line("\n").find("ERR"));
  Client half(fleet.program.controlPort()), silent(fleet.program.controlPort());
  half.send("REA");
  EXPECT_TRUE(half.closed());
  EXPECT_TRUE(silent.closed());
  EXPECT_EQ("OK ready", fleet.program.operate("READY"));
}

// More callers stall than there are descriptors for, and clients fill their own table: operators are
// answered.
TEST(ControlAddress, AnswersWhileCallersStallAndClientsFillTheirTable) {
  Fleet fleet(deliver);
  std::vector<std::unique_ptr<Client>> crowd;
  crowd.reserve(1140);
  for (int i = 0; i < 1100; ++i) {
    crowd.push_back(std::make_unique<Client>(fleet.program.port()));
  }
  for (int i = 0; i < 40; ++i) {
    crowd.push_back(std::make_unique<Client>(fleet.program.controlPort()));
    crowd.back()->send("REA");
  }
  EXPECT_EQ("OK ready", fleet.program.operate("READY"));
}

// While draining, PING fails and connections are closed between requests, after their answers; accepted
// messages are delivered, and the program goes on. UNDRAIN ends it.
TEST(OperatorDrain, ClosesClientConnectionsAndDeliversAcceptedMessages) {
  std::atomic<bool> full{true};
  Fleet fleet([&](const Seen&) { return full ? Act{answer("503 Full")} : Act{answer("200 OK")}; });
  Client idle(fleet.program.port()), in_a_request(fleet.program.port());
  ASSERT_EQ("+OK", idle.put("held", "notice", 7));
  const std::string put_request =
      Client::request({"MSG.PUT", "0", "cut", "c=notice,d=28000,k=kcut,dest=7", "body"});
  in_a_request.send(put_request.substr(0, 20));
  ASSERT_TRUE(fleet.endpoint.waitFor(1));
  EXPECT_EQ(0u, fleet.program.operate("DRAIN").find("OK"));
  EXPECT_EQ(0u, fleet.program.operate("READY").find("ERR"));
  EXPECT_TRUE(idle.closed());
  in_a_request.send(put_request.substr(20));
  EXPECT_EQ("+OK", in_a_request.line());
  EXPECT_TRUE(in_a_request.ended());
  Client late(fleet.program.port()), silent(fleet.program.port());
  EXPECT_EQ(0u, late.ask({"PING"}).find("-ERR"));
  EXPECT_TRUE(late.ended());
  EXPECT_TRUE(silent.closed());
  EXPECT_EQ(0u, fleet.program.operate("DRAIN").find("OK"));  // once more changes nothing
  full = false;
  EXPECT_TRUE(eventually([&] {
    std::set<std::string> ids;
    for (const Seen& request : fleet.endpoint.seen()) {
      ids.insert(request.field("X-Txn"));
    }
    return ids == std::set<std::string>{"held", "cut"};
  }));
  EXPECT_EQ(0u, fleet.program.operate("UNDRAIN").find("OK"));
  EXPECT_EQ("OK ready", fleet.program.operate("READY"));
  Client back(fleet.program.port());
  EXPECT_EQ("+PONG", back.ask({"PING"}));
  EXPECT_EQ("+OK", back.put("after", "notice", 7));
}

}  // namespace
}  // namespace delivery
