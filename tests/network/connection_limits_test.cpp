// Tests of the connection limits of the whole program: many peers at once, peers that never read their
// replies, too few file descriptors, and limits that are reduced.
#include "support/loopback.h"

namespace delivery {
namespace {

using namespace loopback;

const json kLimits{{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}, {"disk_mb", 3}};

// kLimits with another number of sockets.
json limitsWithSockets(int sockets) {
  json limits = kLimits;
  limits["sockets"] = sockets;
  return limits;
}

std::vector<std::unique_ptr<SenderClient>> connectMany(int port, int count,
                                                       const char* source_address = nullptr) {
  std::vector<std::unique_ptr<SenderClient>> clients;
  clients.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    clients.push_back(std::make_unique<SenderClient>(port, source_address));
  }
  return clients;
}

// Clients that send PING repeatedly until this object is destroyed. The server may close their connections.
class PingingClients {
 public:
  PingingClients(int port, int count) : clients_(connectMany(port, count)), thread_([this] { run(); }) {}
  ~PingingClients() {
    stop_ = true;
    thread_.join();
  }

 private:
  void run() {
    while (!stop_) {
      for (auto& client : clients_) {
        client->send(SenderClient::encodeRequest({"PING"}));
        client->discardReceived();
      }
      std::this_thread::sleep_for(20ms);
    }
  }
  std::vector<std::unique_ptr<SenderClient>> clients_;
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

// Peers that send PING repeatedly are never idle for long and never submit a message. A client that connects
// after them must be served nevertheless.
TEST(ConnectionLimits, PeersThatPingRepeatedlyMakeRoomForAClient) {
  SenderSetup setup(respondOk);
  const PingingClients pinging_clients(setup.program.port(), 800);
  SenderClient late_client(setup.program.port());
  EXPECT_EQ("+OK", late_client.submit("fine", "order", 7));
}

// Many connections from one address send complete requests, so none of them is idle for long. One of them
// must be closed to make room for a new client, and a client at another address that has been idle for longer
// must keep its connection.
TEST(ConnectionLimits, TheAddressWithTheMostConnectionsMakesRoomFirst) {
  SenderSetup setup(respondOk);
  SenderClient idle_client(setup.program.port());
  ASSERT_EQ("+OK", idle_client.submit("first", "order", 7));
  auto many = connectMany(setup.program.port(), 740, "127.0.0.2");
  for (std::size_t i = 0; i < many.size(); ++i) {
    many[i]->send(
        SenderClient::encodeRequest({"MSG.PUT", "0", "x" + std::to_string(i), "c=order,d=5000,dest=7", "x"}));
  }
  SenderClient late_client(setup.program.port());
  // Any reply will do: the message may be rejected if the sender is full.
  EXPECT_NE("", late_client.submit("second", "order", 7));
  EXPECT_NE("", idle_client.submit("third", "order", 7));
}

// A peer never reads its replies. Once they fill the socket, the server must read no more of its requests and
// close the connection.
TEST(ConnectionLimits, APeerThatNeverReadsItsRepliesIsDisconnected) {
  SenderSetup setup(respondOk);
  SenderClient client_without_reads(setup.program.port());
  std::atomic<bool> stop{false};
  std::thread sender([&] {
    std::string pings;
    for (int i = 0; i < 1000; ++i) {
      pings += SenderClient::encodeRequest({"PING"});
    }
    while (!stop && client_without_reads.trySend(pings)) {
    }
    stop = true;
  });
  EXPECT_TRUE(eventually([&] { return stop.load(); })) << "the server still reads the requests of the peer";
  stop = true;
  sender.join();
  SenderClient client(setup.program.port());
  EXPECT_EQ("+OK", client.submit("fine", "order", 7));
}

// A peer that sends 60 MB that are not a request must get an error line or be disconnected.
TEST(ConnectionLimits, SixtyMegabytesOfInvalidInputEndInAnErrorOrADisconnect) {
  SenderSetup setup(respondOk);
  SenderClient peer(setup.program.port());
  const std::string piece(1'000'000, 'x');
  peer.send("*1\r\n$60000000\r\n");
  for (int i = 0; i < 60; ++i) {
    if (!peer.trySend(piece)) {
      break;
    }
  }
  EXPECT_TRUE(peer.waitForClose());
  SenderClient client(setup.program.port());
  EXPECT_EQ("+OK", client.submit("fine", "order", 7));
}

// The machine allows fewer descriptors than the configuration says. The accept call fails, and a waiting
// client must be accepted nevertheless. The connection to the endpoint stays idle during the test, because no
// room is made for a new one (README).
TEST(ConnectionLimits, RunningOutOfDescriptorsEvictsAConnection) {
  TempFolder folder;
  DiscoveryServer discovery;
  HttpServer endpoint(respondOk);
  json settings = testSettings();
  settings["Ceilings"]["ConnIdleMs"] = 600000.0;
  SenderProgram program(folder.path(), discovery.address(),
                        json::array({endpointEntry("e1", endpoint.address(), 7)}), 3, settings);
  SenderClient first(program.port());
  ASSERT_EQ("+OK", first.submit("first", "order", 7));
  ASSERT_TRUE(endpoint.waitForRequests(1));
  program.limitDescriptors(program.openDescriptorCount() + 20);
  const PingingClients pinging_clients(program.port(), 60);
  SenderClient late_client(program.port());
  EXPECT_EQ("+OK", late_client.submit("second", "order", 7));
  ASSERT_TRUE(endpoint.waitForRequests(2));
}

// The limits are reduced while there are more connections than the new limits allow. Idle connections must be
// closed, and the program must go on serving. Limits that are too low for the reserved descriptors must
// change nothing. The endpoint takes 20 ms for each call, so that the sender's timeouts, which follow its
// latency, are long enough on a busy machine. Each message has arrived at the endpoint before the next one is
// submitted, so that none finds a full queue.
TEST(ConnectionLimits, ReducedLimitsCloseIdleConnections) {
  SenderSetup setup([](const ReceivedRequest& request) {
    std::this_thread::sleep_for(20ms);
    return respondOk(request);
  });
  std::vector<std::unique_ptr<SenderClient>> clients;
  for (int i = 0; i < 300; ++i) {
    clients.push_back(std::make_unique<SenderClient>(setup.program.port()));
    ASSERT_EQ("+OK", clients.back()->submit("m" + std::to_string(i), "order", 7));
    ASSERT_TRUE(setup.endpoint.waitForRequests(static_cast<std::size_t>(i) + 1));
  }
  EXPECT_GT(setup.program.openDescriptorCount(), 300u);
  setup.program.reloadLimits(limitsWithSockets(10));
  setup.program.reloadLimits({{"sockets", "many"}});
  setup.program.reloadLimits(limitsWithSockets(200));
  EXPECT_TRUE(eventually([&] { return setup.program.openDescriptorCount() < 150; }));
  SenderClient client(setup.program.port());
  EXPECT_EQ("+OK", client.submit("fine", "order", 7));
  EXPECT_EQ("OK ready", setup.program.sendCommand("READY"));
}

TEST(ConnectionLimits, LimitsBelowTheReservedDescriptorsPreventTheStart) {
  TempFolder folder;
  const std::string path = folder.path() + "/config.json";
  const json config{{"listen", "127.0.0.1:0"},
                    {"discovery", "127.0.0.1:1"},
                    {"limits", limitsWithSockets(63)},
                    {"settings", testSettings()}};
  std::ofstream(path) << config.dump();
  int status = 0;
  ASSERT_GT(::waitpid(SenderProgram::spawn(path, folder.path()), &status, 0), 0);
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 2);
}

}  // namespace
}  // namespace delivery
