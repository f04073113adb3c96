// Connections under pressure, on the whole program: many peers at once, peers that never read, too few
// descriptors, limits that are halved.
#include "support/loopback.h"

namespace delivery {
namespace {

using namespace loopback;

const json kLimits{{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}, {"disk_mb", 3}};

json limits(int sockets) {
  json changed = kLimits;
  changed["sockets"] = sockets;
  return changed;
}

std::vector<std::unique_ptr<SenderClient>> crowd(int port, int size, const char* from = nullptr) {
  std::vector<std::unique_ptr<SenderClient>> all;
  all.reserve(static_cast<std::size_t>(size));
  for (int i = 0; i < size; ++i) {
    all.push_back(std::make_unique<SenderClient>(port, from));
  }
  return all;
}

// Peers that send PING repeatedly, until they are closed or this object is destroyed.
class Pingers {
 public:
  Pingers(int port, int size) : all_(crowd(port, size)), thread_([this] { run(); }) {}
  ~Pingers() {
    stop_ = true;
    thread_.join();
  }

 private:
  void run() {
    while (!stop_) {
      for (auto& client : all_) {
        client->send(SenderClient::encodeRequest({"PING"}));
        client->discardReceived();
      }
      std::this_thread::sleep_for(20ms);
    }
  }
  std::vector<std::unique_ptr<SenderClient>> all_;
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

// Such peers are never idle for long and never submit a message: a client that connects after them is served.
TEST(ConnectionsProgram, ACrowdThatPingsOnAndOnMakesRoomForAClient) {
  SenderSetup setup(respondOk);
  const Pingers pingers(setup.program.port(), 800);
  SenderClient behind(setup.program.port());
  EXPECT_EQ("+OK", behind.submit("fine", "order", 7));
}

// Many peers at another address send complete requests all the while, so none of them is idle for long: one
// of their connections is closed to make room, and a client with few connections, idle for longer, keeps
// them.
TEST(ConnectionsProgram, ACrowdAtOneAddressMakesRoomBeforeAClientAtAnother) {
  SenderSetup setup(respondOk);
  SenderClient resting(setup.program.port());
  ASSERT_EQ("+OK", resting.submit("first", "order", 7));
  auto many = crowd(setup.program.port(), 740, "127.0.0.2");
  for (std::size_t i = 0; i < many.size(); ++i) {
    many[i]->send(
        SenderClient::encodeRequest({"MSG.PUT", "0", "x" + std::to_string(i), "c=order,d=5000,dest=7", "x"}));
  }
  SenderClient behind(setup.program.port());
  EXPECT_NE("", behind.submit("second", "order", 7));  // accepted, or rejected by a full sender
  EXPECT_NE("", resting.submit("third", "order", 7));
}

// Unread replies fill the socket; from then on nothing more of that peer is read, and it is closed.
TEST(ConnectionsProgram, APeerThatNeverReadsItsAnswersIsClosed) {
  SenderSetup setup(respondOk);
  SenderClient greedy(setup.program.port());
  std::atomic<bool> stop{false};
  std::thread sends([&] {
    std::string pings;
    for (int i = 0; i < 1000; ++i) {
      pings += SenderClient::encodeRequest({"PING"});
    }
    while (!stop && greedy.trySend(pings)) {
    }
    stop = true;
  });
  EXPECT_TRUE(eventually([&] { return stop.load(); })) << "its requests are still being read";
  stop = true;
  sends.join();
  SenderClient client(setup.program.port());
  EXPECT_EQ("+OK", client.submit("fine", "order", 7));
}

// A peer that sends 60 MB that are no request gets an error line or its connection is closed.
TEST(ConnectionsProgram, SixtyMegabytesOfNonsenseEndInAnErrorOrAClose) {
  SenderSetup setup(respondOk);
  SenderClient big(setup.program.port());
  const std::string piece(1'000'000, 'x');
  big.send("*1\r\n$60000000\r\n");
  for (int i = 0; i < 60; ++i) {
    if (!big.trySend(piece)) {
      break;
    }
  }
  EXPECT_TRUE(big.waitForClose());
  SenderClient client(setup.program.port());
  EXPECT_EQ("+OK", client.submit("fine", "order", 7));
}

// The machine allows fewer descriptors than the configuration says: a waiting client is accepted all the
// same. The connection to the endpoint stays idle for as long as the test lasts: no room is made for a new
// one (README).
TEST(ConnectionsProgram, RunningOutOfDescriptorsMakesRoomToo) {
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
  const Pingers pingers(program.port(), 60);
  SenderClient behind(program.port());
  EXPECT_EQ("+OK", behind.submit("second", "order", 7));
  ASSERT_TRUE(endpoint.waitForRequests(2));
}

// Limits are halved while the table holds more connections than the new ones allow: idle connections are
// closed, and the program goes on; limits too low for the reserved descriptors change nothing.
// The endpoint takes 20 ms for each call, so that the sender's time-outs, which follow its latency, outlast a
// busy machine; and each message has arrived there before the next is submitted, so that none meets a full
// queue.
TEST(ConnectionsProgram, HalvedLimitsShrinkAFullTable) {
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
  setup.program.reloadLimits(limits(10));
  setup.program.reloadLimits({{"sockets", "many"}});
  setup.program.reloadLimits(limits(200));
  EXPECT_TRUE(eventually([&] { return setup.program.openDescriptorCount() < 150; }));
  SenderClient client(setup.program.port());
  EXPECT_EQ("+OK", client.submit("fine", "order", 7));
  EXPECT_EQ("OK ready", setup.program.sendCommand("READY"));
}

TEST(ConnectionsProgram, LimitsThatCannotHoldTheReservesStopAStart) {
  TempFolder folder;
  const std::string path = folder.path() + "/config.json";
  const json config{{"listen", "127.0.0.1:0"},
                    {"discovery", "127.0.0.1:1"},
                    {"limits", limits(63)},
                    {"settings", testSettings()}};
  std::ofstream(path) << config.dump();
  int status = 0;
  ASSERT_GT(::waitpid(SenderProgram::spawn(path, folder.path()), &status, 0), 0);
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 2);
}

}  // namespace
}  // namespace delivery
