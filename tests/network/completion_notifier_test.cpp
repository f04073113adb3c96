// Completion notices over connections that fall silent, are refused, or reject a notice.
#include "network/completion_notifier.h"

#include <gtest/gtest.h>

#include <atomic>
#include <set>
#include <string>
#include <vector>

#include "network/socket_address.h"
#include "support/loopback.h"

namespace delivery {
namespace {

using loopback::HttpServer;
using loopback::ReceivedRequest;
using loopback::ServerAction;

const ServerAction kAcknowledge{"HTTP/1.1 204 No Content\r\n\r\n"};

// A notifier whose event loop the test runs.
struct TestNotifier {
  explicit TestNotifier(const std::string& address)
      : notifier(io, parseAddress(address), address,
                 [this](const std::string& id) { acknowledged.push_back(id); }) {}

  void enqueue(const std::string& id) { notifier.enqueue(id, CompletionNotice{}); }
  bool runUntil(const std::function<bool()>& condition) {
    const auto deadline = std::chrono::steady_clock::now() + loopback::kWaitLimit;
    while (!condition() && std::chrono::steady_clock::now() < deadline) {
      io.restart();
      io.run_one_for(std::chrono::milliseconds(5));
    }
    return condition();
  }
  bool runUntilAcknowledged(std::size_t count) {
    return runUntil([&] { return acknowledged.size() >= count; });
  }

  boost::asio::io_context io;
  std::vector<std::string> acknowledged;
  CompletionNotifier notifier;
};

// Guards against lost messages (review/7): the connection for notices had fallen silent, and its request was
// given up only after the time in which a notice is due.
TEST(CompletionNotifier, ANoticeOnASilentConnectionIsRepeatedWhileThatOneStillWaits) {
  std::atomic<std::size_t> silent_below{0};
  std::atomic<int> closed_before_repeat{0};
  HttpServer* server_address = nullptr;
  HttpServer server([&](const ReceivedRequest& request) {
    if (request.connection < silent_below) {
      return ServerAction{};
    }
    closed_before_repeat = static_cast<int>(server_address->connectionsClosedByPeer());
    return kAcknowledge;
  });
  server_address = &server;
  TestNotifier test(server.address());
  test.enqueue("first");
  ASSERT_TRUE(test.runUntilAcknowledged(1));
  silent_below = 2;  // the connection that is open, and the next one
  test.enqueue("second");
  ASSERT_TRUE(test.runUntilAcknowledged(2));
  const std::vector<ReceivedRequest> requests = server.requests();
  ASSERT_EQ(4u, requests.size());
  EXPECT_EQ(0u, requests[1].connection);
  EXPECT_EQ(1u, requests[2].connection);
  EXPECT_EQ(2u, requests[3].connection);
  EXPECT_EQ(0, closed_before_repeat);
  // The connection that answered is used again, and the silent ones are closed.
  test.enqueue("third");
  ASSERT_TRUE(test.runUntilAcknowledged(3));
  EXPECT_EQ(2u, server.requests()[4].connection);
  EXPECT_TRUE(test.runUntil([&] { return server.connectionsClosedByPeer() == 2; }));
}

// Notices that become due while a request waits in vain do not wait for its end.
TEST(CompletionNotifier, ARepeatCarriesTheNoticesThatWereAddedMeanwhile) {
  HttpServer server(
      [](const ReceivedRequest& request) { return request.connection == 0 ? ServerAction{} : kAcknowledge; });
  TestNotifier test(server.address());
  test.enqueue("a");
  ASSERT_TRUE(test.runUntil([&] { return server.requests().size() == 1; }));
  test.enqueue("b");
  ASSERT_TRUE(test.runUntilAcknowledged(2));
  EXPECT_EQ((std::vector<std::string>{"a", "b"}), test.acknowledged);
  EXPECT_NE(std::string::npos, server.requests()[1].body.find("\"b\""));
}

// Guards against a connection for each repeat while the platform is cut off: with many notices, four are open
// at most. Once the platform answers, all notices arrive.
TEST(CompletionNotifier, SilenceCostsFewConnections) {
  constexpr std::size_t kNoticeCount = 300;
  std::atomic<bool> silent{true};
  HttpServer server([&](const ReceivedRequest&) { return silent ? ServerAction{} : kAcknowledge; });
  TestNotifier test(server.address());
  for (std::size_t i = 0; i < kNoticeCount; ++i) {
    test.enqueue("m" + std::to_string(i));
  }
  ASSERT_TRUE(test.runUntil([&] { return server.requests().size() >= 5; }));
  EXPECT_TRUE(test.runUntil([&] {
    return server.requests().size() - server.connectionsClosedByPeer() <= CompletionNotifier::kMaxRequests;
  }));
  silent = false;
  ASSERT_TRUE(test.runUntilAcknowledged(kNoticeCount));
  std::set<std::string> acknowledged(test.acknowledged.begin(), test.acknowledged.end());
  EXPECT_EQ(kNoticeCount, acknowledged.size());
  EXPECT_EQ(kNoticeCount, test.acknowledged.size());
}

// Refused connections, resets and errors are retried until the notice is acknowledged.
TEST(CompletionNotifier, FailuresAreRetried) {
  std::string address;
  {
    const loopback::ReservedPort unused;
    address = "127.0.0.1:" + std::to_string(unused.port());
  }
  std::atomic<int> answers{0};
  HttpServer server([&](const ReceivedRequest&) {
    const int answer = answers++;
    return answer == 0   ? ServerAction{"", false, true}
           : answer == 1 ? ServerAction{loopback::httpResponse("503 Busy")}
                         : kAcknowledge;
  });
  TestNotifier test(address);
  test.enqueue("m");
  const auto refused_until = std::chrono::steady_clock::now() + std::chrono::milliseconds(200);
  ASSERT_TRUE(test.runUntil([&] { return std::chrono::steady_clock::now() > refused_until; }));
  EXPECT_TRUE(test.acknowledged.empty());
  test.notifier.changeServer(parseAddress(server.address()), server.address());
  ASSERT_TRUE(test.runUntilAcknowledged(1));
  EXPECT_EQ(3, answers);
}

// One notice that the platform can't read does not block the others.
TEST(CompletionNotifier, AnUnreadableNoticeDoesNotBlockTheOthers) {
  HttpServer server([](const ReceivedRequest& request) {
    const bool is_bad = request.body.find("\"bad\"") != std::string::npos;
    return is_bad ? ServerAction{loopback::httpResponse("400 Bad")} : kAcknowledge;
  });
  TestNotifier test(server.address());
  for (const char* id : {"a", "b", "bad", "c"}) {
    test.enqueue(id);
  }
  ASSERT_TRUE(test.runUntilAcknowledged(4));
  EXPECT_EQ(0u, test.notifier.pendingCount());
}

}  // namespace
}  // namespace delivery
