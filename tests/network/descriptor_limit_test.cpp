// Connections under pressure, on the whole program: crowds, peers that never read, too few descriptors,
// limits that are halved.
#include "support/loopback.h"

namespace delivery {
namespace {

using namespace loopback;

const json kLimits{{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}, {"disk_mb", 3}};

json limits(int sockets) {
  json l = kLimits;
  l["sockets"] = sockets;
  return l;
}

std::vector<std::unique_ptr<Client>> crowd(int port, int size, const char* from = nullptr) {
  std::vector<std::unique_ptr<Client>> all;
  all.reserve(static_cast<std::size_t>(size));
  for (int i = 0; i < size; ++i) {
    all.push_back(std::make_unique<Client>(port, from));
  }
  return all;
}

// Peers that ask PING again and again, until they are closed or this ends.
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
      for (auto& c : all_) {
        c->send(Client::request({"PING"}));
        c->discard();
      }
      std::this_thread::sleep_for(20ms);
    }
  }
  std::vector<std::unique_ptr<Client>> all_;
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

// They are never silent for long, and never useful: a client that comes behind them is served.
TEST(ConnectionsProgram, ACrowdThatPingsOnAndOnMakesRoomForAClient) {
  Fleet f(deliver);
  const Pingers pingers(f.program.port(), 800);
  Client behind(f.program.port());
  EXPECT_EQ("+OK", behind.put("fine", "order", 7));
}

// A crowd at another address sends whole pings all the while, so none of it is silent for long: it is from
// the crowd that room is made, and a client with few connections that have rested longer keeps them.
TEST(ConnectionsProgram, ACrowdAtOneAddressMakesRoomBeforeAClientAtAnother) {
  Fleet f(deliver);
  Client resting(f.program.port());
  ASSERT_EQ("+OK", resting.put("first", "order", 7));
  auto many = crowd(f.program.port(), 740, "127.0.0.2");
  for (std::size_t i = 0; i < many.size(); ++i) {
    many[i]->send(Client::request({"MSG.PUT", "0", "x" + std::to_string(i), "c=order,d=5000,dest=7", "x"}));
  }
  Client behind(f.program.port());
  EXPECT_NE("", behind.put("second", "order", 7));  // taken on, or refused by a full sender
  EXPECT_NE("", resting.put("third", "order", 7));
}

// Answers that nobody takes fill the socket; from then on nothing more of that peer is read, and it is
// closed.
TEST(ConnectionsProgram, APeerThatNeverReadsItsAnswersIsClosed) {
  Fleet f(deliver);
  Client greedy(f.program.port());
  std::atomic<bool> stop{false};
  std::thread sends([&] {
    std::string pings;
    for (int i = 0; i < 1000; ++i) {
      pings += Client::request({"PING"});
    }
    while (!stop && greedy.sendSome(pings)) {
    }
    stop = true;
  });
  EXPECT_TRUE(eventually([&] { return stop.load(); })) << "it is still being read from";
  stop = true;
  sends.join();
  Client c(f.program.port());
  EXPECT_EQ("+OK", c.put("fine", "order", 7));
}

// One that sends 60 MB that are no request has an error line or the end of its connection, and costs nothing.
TEST(ConnectionsProgram, SixtyMegabytesOfNonsenseEndInAnErrorOrAClose) {
  Fleet f(deliver);
  Client big(f.program.port());
  const std::string piece(1'000'000, 'x');
  big.send("*1\r\n$60000000\r\n");
  for (int i = 0; i < 60; ++i) {
    if (!big.sendSome(piece)) {
      break;
    }
  }
  EXPECT_TRUE(big.closed());
  Client c(f.program.port());
  EXPECT_EQ("+OK", c.put("fine", "order", 7));
}

// The machine gives fewer descriptors than the configuration names: whoever waits is let in all the same.
// The connection to the endpoint rests for as long as the test lasts: for a new one no room is made (README).
TEST(ConnectionsProgram, RunningOutOfDescriptorsMakesRoomToo) {
  TempFolder folder;
  loopback::Agent agent;
  Server endpoint(deliver);
  json settings = plainSettings();
  settings["Ceilings"]["ConnIdleMs"] = 600000.0;
  Program program(folder.path(), agent.address(), json::array({listed("e1", endpoint.address(), 7)}), 3,
                  settings);
  Client first(program.port());
  ASSERT_EQ("+OK", first.put("first", "order", 7));
  ASSERT_TRUE(endpoint.waitFor(1));
  program.limitDescriptors(program.descriptors() + 20);
  const Pingers pingers(program.port(), 60);
  Client behind(program.port());
  EXPECT_EQ("+OK", behind.put("second", "order", 7));
  ASSERT_TRUE(endpoint.waitFor(2));
}

// Halved limits with the table above the new ones: it shrinks by what rests, and serves on; limits that can't
// hold what is set aside change nothing.
// The endpoint takes 20 ms for each call, so that the sender's time-outs, which follow its pace, outlast a
// busy machine; and each message has come there before the next is handed in, so that none meets a full
// queue.
TEST(ConnectionsProgram, HalvedLimitsShrinkAFullTable) {
  Fleet f([](const Seen& s) {
    std::this_thread::sleep_for(20ms);
    return deliver(s);
  });
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < 300; ++i) {
    clients.push_back(std::make_unique<Client>(f.program.port()));
    ASSERT_EQ("+OK", clients.back()->put("m" + std::to_string(i), "order", 7));
    ASSERT_TRUE(f.endpoint.waitFor(static_cast<std::size_t>(i) + 1));
  }
  EXPECT_GT(f.program.descriptors(), 300u);
  f.program.reloadLimits(limits(10));
  f.program.reloadLimits({{"sockets", "many"}});
  f.program.reloadLimits(limits(200));
  EXPECT_TRUE(eventually([&] { return f.program.descriptors() < 150; }));
  Client c(f.program.port());
  EXPECT_EQ("+OK", c.put("fine", "order", 7));
  EXPECT_EQ("OK ready", f.program.operate("READY"));
}

TEST(ConnectionsProgram, LimitsThatCannotHoldTheReservesStopAStart) {
  TempFolder t;
  const std::string path = t.path() + "/config.json";
  const json config{{"listen", "127.0.0.1:0"},
                    {"discovery", "127.0.0.1:1"},
                    {"limits", limits(63)},
                    {"settings", plainSettings()}};
  std::ofstream(path) << config.dump();
  int status = 0;
  ASSERT_GT(::waitpid(Program::spawn(path, t.path()), &status, 0), 0);
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 2);
}

}  // namespace
}  // namespace delivery
