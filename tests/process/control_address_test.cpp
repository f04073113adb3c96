// Tests of the control address and of draining by operators, with the whole message_sender program.
#include "support/loopback.h"

namespace delivery {
namespace {

using namespace loopback;

TEST(ControlAddress, ReadyReportsWhetherTheProgramServes) {
  SenderSetup setup(respondOk);
  EXPECT_EQ("OK ready", setup.program.sendCommand("READY"));
  SenderClient crlf(setup.program.controlPort());
  crlf.send("READY\r\n");
  EXPECT_EQ("OK ready", crlf.readLine("\n"));
  EXPECT_TRUE(crlf.waitForClose());
}

// Only the endpoint list tells which destinations exist. Without a list every message would be rejected.
TEST(ControlAddress, IsNotReadyWithoutAnEndpointList) {
  TempFolder folder;
  HttpServer endpoint(respondOk);
  DiscoveryServer discovery;
  SenderProgram program(folder.path(), discovery.address(), json::array());
  EXPECT_EQ(0u, program.sendCommand("READY").find("ERR"));
  ASSERT_TRUE(discovery.waitForWatch(1));
  discovery.publish(json::array({endpointEntry("e1", endpoint.address(), 7)}));
  EXPECT_TRUE(eventually([&] { return program.sendCommand("READY") == "OK ready"; }));
}

TEST(ControlAddress, RejectsInvalidCommandsAndClosesStalledConnections) {
  SenderSetup setup(respondOk);
  EXPECT_EQ(0u, setup.program.sendCommand("SHUTDOWN").find("ERR"));
  EXPECT_EQ(0u, setup.program.sendCommand("").find("ERR"));
  EXPECT_EQ(0u, setup.program.sendCommand("READY now").find("ERR"));
  SenderClient overlong(setup.program.controlPort());
  overlong.send(std::string(100'000, 'R'));
  EXPECT_EQ(0u, overlong.readLine("\n").find("ERR"));
  SenderClient incomplete(setup.program.controlPort()), silent(setup.program.controlPort());
  incomplete.send("REA");
  EXPECT_TRUE(incomplete.waitForClose());
  EXPECT_TRUE(silent.waitForClose());
  EXPECT_EQ("OK ready", setup.program.sendCommand("READY"));
}

// Operators are answered while more connections to the control address stall than it has descriptors for, and
// while clients fill their connection table.
TEST(ControlAddress, AnswersWhileOtherConnectionsStallAndClientsFillTheirTable) {
  SenderSetup setup(respondOk);
  std::vector<std::unique_ptr<SenderClient>> crowd;
  crowd.reserve(1140);
  for (int i = 0; i < 1100; ++i) {
    crowd.push_back(std::make_unique<SenderClient>(setup.program.port()));
  }
  for (int i = 0; i < 40; ++i) {
    crowd.push_back(std::make_unique<SenderClient>(setup.program.controlPort()));
    crowd.back()->send("REA");
  }
  EXPECT_EQ("OK ready", setup.program.sendCommand("READY"));
}

// While the program drains, PING is answered with an error, connections are closed between requests after
// their answers have been sent, and accepted messages are delivered. The program continues to run, and
// UNDRAIN ends the drain.
TEST(OperatorDrain, ClosesClientConnectionsAndDeliversAcceptedMessages) {
  std::atomic<bool> full{true};
  SenderSetup setup([&](const ReceivedRequest&) {
    return full ? ServerAction{httpResponse("503 Full")} : ServerAction{httpResponse("200 OK")};
  });
  SenderClient idle(setup.program.port()), in_a_request(setup.program.port());
  ASSERT_EQ("+OK", idle.submit("held", "notice", 7));
  const std::string put_request =
      SenderClient::encodeRequest({"MSG.PUT", "0", "cut", "c=notice,d=28000,k=kcut,dest=7", "body"});
  in_a_request.send(put_request.substr(0, 20));
  ASSERT_TRUE(setup.endpoint.waitForRequests(1));
  EXPECT_EQ(0u, setup.program.sendCommand("DRAIN").find("OK"));
  EXPECT_EQ(0u, setup.program.sendCommand("READY").find("ERR"));
  EXPECT_TRUE(idle.waitForClose());
  in_a_request.send(put_request.substr(20));
  EXPECT_EQ("+OK", in_a_request.readLine());
  EXPECT_TRUE(in_a_request.hasNoMoreLines());
  SenderClient late(setup.program.port()), silent(setup.program.port());
  EXPECT_EQ(0u, late.sendRequest({"PING"}).find("-ERR"));
  EXPECT_TRUE(late.hasNoMoreLines());
  EXPECT_TRUE(silent.waitForClose());
  EXPECT_EQ(0u, setup.program.sendCommand("DRAIN").find("OK"));  // a second DRAIN changes nothing
  full = false;
  EXPECT_TRUE(eventually([&] {
    std::set<std::string> ids;
    for (const ReceivedRequest& request : setup.endpoint.requests()) {
      ids.insert(request.field("X-Txn"));
    }
    return ids == std::set<std::string>{"held", "cut"};
  }));
  EXPECT_EQ(0u, setup.program.sendCommand("UNDRAIN").find("OK"));
  EXPECT_EQ("OK ready", setup.program.sendCommand("READY"));
  SenderClient returning(setup.program.port());
  EXPECT_EQ("+PONG", returning.sendRequest({"PING"}));
  EXPECT_EQ("+OK", returning.submit("after", "notice", 7));
}

}  // namespace
}  // namespace delivery
