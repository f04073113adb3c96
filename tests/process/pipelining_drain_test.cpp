// Tests of the whole program with a client that always has more requests under way, while it is drained and
// stopped.
#include <atomic>
#include <thread>

#include "support/loopback.h"

namespace delivery {
namespace {

using namespace loopback;

// Sends messages without waiting for replies until it is told to stop, or the connection ends.
class PipeliningClient {
 public:
  explicit PipeliningClient(int port) : client_(port), thread_([this] { sendRequests(); }) {}
  ~PipeliningClient() { stop(); }
  PipeliningClient(const PipeliningClient&) = delete;
  PipeliningClient& operator=(const PipeliningClient&) = delete;

  void stop() {
    stop_ = true;
    if (thread_.joinable()) {
      thread_.join();
    }
  }
  // Waits until the connection ends, and returns the number of replies.
  std::size_t readAllReplies() {
    std::size_t count = 0;
    while (!client_.readLine().empty()) {
      ++count;
    }
    return count;
  }

 private:
  void sendRequests() {
    for (int i = 0; !stop_; ++i) {
      const std::string request = SenderClient::encodeRequest(
          {"MSG.PUT", "0", std::to_string(i), "c=notice,d=8000,dest=7", std::string(500, 'x')});
      if (!client_.trySend(request)) {
        return;
      }
    }
  }

  SenderClient client_;
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

// Guards against a drain that never disconnects a client which pipelines.
TEST(PipeliningDrain, EndsTheConnectionWithRepliesToAllThatWasExecuted) {
  SenderSetup setup(respondOk);
  PipeliningClient client(setup.program.port());
  ASSERT_TRUE(setup.endpoint.waitForRequests(20));
  EXPECT_EQ("OK draining", setup.program.sendCommand("DRAIN"));
  const std::size_t replies = client.readAllReplies();
  client.stop();
  for (const ReceivedRequest& request : setup.endpoint.requests()) {
    EXPECT_LT(std::stoul(request.field("X-Txn")), replies);
  }
  EXPECT_EQ("OK serving", setup.program.sendCommand("UNDRAIN"));
  EXPECT_EQ("+OK", SenderClient(setup.program.port()).submit("after", "notice", 7));
}

// The same for a stopped process: it ends by itself, and each message that was executed has its reply.
TEST(PipeliningDrain, AStoppedProcessRepliesToAllThatWasExecuted) {
  SenderSetup setup(respondOk);
  PipeliningClient client(setup.program.port());
  ASSERT_TRUE(setup.endpoint.waitForRequests(20));
  setup.program.signal(SIGTERM);
  const std::size_t replies = client.readAllReplies();
  client.stop();
  EXPECT_TRUE(WIFEXITED(setup.program.waitForExit()));
  for (const ReceivedRequest& request : setup.endpoint.requests()) {
    EXPECT_LT(std::stoul(request.field("X-Txn")), replies);
  }
}

}  // namespace
}  // namespace delivery
