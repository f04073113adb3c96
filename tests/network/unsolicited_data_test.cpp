// Tests of data that an endpoint sends without a request, such as a second copy of its response: it must not
// pass for the response to the next request on the connection.
#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <set>
#include <vector>

#include "network/discovery_client.h"
#include "network/endpoint_pool.h"
#include "network/quiet_time_policy.h"
#include "network/socket_address.h"
#include "support/loopback.h"
#include "support/surplus_endpoint.h"
#include "support/test_connection.h"

namespace delivery {
namespace {

using loopback::httpResponse;
using loopback::ReceivedRequest;
using loopback::TestConnection;

constexpr Micros kHour = 3'600'000'000;
const char* const kNoise = "\x01 noise, and no response";

Deadline inOneHour() {
  return Deadline::after(monotonicNow(), kHour);
}

// Guards against a late second copy of a response that passes for the response to the next request: a request
// is not written while such data may still come, and the data ends the connection.
TEST(UnsolicitedData, EndsTheConnectionBeforeTheNextRequestIsWritten) {
  for (const std::string& data : {httpResponse("200 OK"), httpResponse("503 Full"), std::string(kNoise)}) {
    TestConnection test;
    test.makeFirstExchange();
    test.startExchange(kHour);
    test.io.poll();
    EXPECT_FALSE(test.discardAtPeer());
    test.sendFromPeer(data);
    const HttpResponse response = test.awaitResponse();
    EXPECT_EQ(ExchangeStatus::not_written, response.completion);
    EXPECT_TRUE(response.stale_connection);
    EXPECT_TRUE(response.unsolicited_data_gap.has_value());
    EXPECT_FALSE(test.connection.isIdle());
    EXPECT_FALSE(test.discardAtPeer());
  }
}

// The peer closes the connection during the quiet time: that is no data, and the request is not written.
TEST(UnsolicitedData, AnEndOfTheConnectionInTheQuietTimeIsNoData) {
  TestConnection test;
  test.makeFirstExchange();
  test.startExchange(kHour);
  EXPECT_EQ(0, ::shutdown(test.peer, SHUT_WR));
  const HttpResponse response = test.awaitResponse();
  EXPECT_TRUE(response.stale_connection);
  EXPECT_FALSE(response.unsolicited_data_gap.has_value());
}

// A connection that has been quiet is used again.
TEST(UnsolicitedData, TheRequestIsWrittenAfterTheQuietTime) {
  TestConnection test;
  test.makeFirstExchange();
  test.startExchange(kMinQuietTime);
  test.receiveAtPeer();
  test.sendFromPeer(httpResponse("503 Full"));
  EXPECT_EQ(503, test.awaitResponse().status);
  EXPECT_TRUE(test.connection.isIdle());
}

// Guards against a response that is taken for that of a request which is written in part. No request has run
// before its last byte is written.
TEST(UnsolicitedData, BehindAPartOfARequestIsNoResponse) {
  TestConnection test;
  test.makeFirstExchange();
  test.startExchange(0, std::string(64u << 20, 'x'));  // more than a socket's buffers hold
  test.receiveAtPeer();
  test.sendFromPeer(httpResponse("200 OK"));
  test.runUntil([&] {
    while (test.discardAtPeer()) {
    }
    return test.response.has_value();
  });
  EXPECT_EQ(ExchangeStatus::not_written, test.response->completion);
  EXPECT_TRUE(test.response->unsolicited_data_gap.has_value());
}

// What arrives with a response, behind its end, leaves the response as it is.
TEST(UnsolicitedData, InOneWriteWithAResponseClosesTheConnectionAlone) {
  TestConnection test;
  test.startExchange(0);
  test.receiveAtPeer();
  test.sendFromPeer(httpResponse("200 OK", "", "fine") + kNoise);
  const HttpResponse response = test.awaitResponse();
  EXPECT_EQ(200, response.status);
  EXPECT_TRUE(response.body_complete);
  EXPECT_EQ(0, response.unsolicited_data_gap);
  EXPECT_FALSE(test.connection.isIdle());
}

TEST(UnsolicitedData, AnIdleConnectionReportsDataAndItsEnd) {
  for (const bool sends_data : {true, false}) {
    TestConnection test;
    test.makeFirstExchange();
    std::optional<HttpConnection::IdleEnd> end;
    test.connection.watchIdle([&](const HttpConnection::IdleEnd& reported) { end = reported; });
    test.io.poll();
    EXPECT_FALSE(end.has_value());
    if (sends_data) {
      test.sendFromPeer(httpResponse("200 OK"));
    } else {
      EXPECT_EQ(0, ::shutdown(test.peer, SHUT_WR));
    }
    test.runUntil([&] { return end.has_value(); });
    EXPECT_EQ(sends_data, end->unsolicited_data_gap.has_value());
    EXPECT_FALSE(test.connection.isIdle());
  }
}

// Guards against notices that count as received and were not: a copy of discovery's response says nothing of
// the next request, which is made on a new connection.
TEST(UnsolicitedData, OfDiscoveryIsNoResponseToTheNextRequest) {
  boost::asio::io_context io;
  loopback::Listener listener;
  EXPECT_EQ(0, ::fcntl(listener.fd, F_SETFL, O_NONBLOCK));
  const auto receive_request = [&] {
    int peer = -1;
    char piece[4096];
    EXPECT_TRUE(loopback::eventually([&] {
      io.restart();
      io.poll();
      if (peer < 0) {
        peer = ::accept4(listener.fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      }
      return peer >= 0 && ::recv(peer, piece, sizeof piece, 0) > 0;
    }));
    return peer;
  };
  const auto send_response = [](int peer, const std::string& bytes) {
    EXPECT_EQ(static_cast<ssize_t>(bytes.size()), ::send(peer, bytes.data(), bytes.size(), MSG_NOSIGNAL));
  };
  const std::string acknowledged = "HTTP/1.1 204 No Content\r\n\r\n";
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/notices";
  DiscoveryClient client(io, parseAddress(listener.address()), "discovery", 65536);
  std::vector<int> statuses;
  int first_peer = -1;
  client.send(request, {kHour, kHour}, [&](const HttpResponse& first) {
    statuses.push_back(first.status);
    client.send(request, {kHour, kHour},
                [&](const HttpResponse& second) { statuses.push_back(second.status); });
    send_response(first_peer, acknowledged);
  });
  first_peer = receive_request();
  send_response(first_peer, acknowledged);
  const int second_peer = receive_request();
  send_response(second_peer, httpResponse("503 Busy"));
  EXPECT_TRUE(loopback::eventually([&] {
    io.restart();
    io.poll();
    return statuses.size() == 2;
  }));
  EXPECT_EQ((std::vector<int>{204, 503}), statuses);
  ::close(first_peer);
  ::close(second_peer);
}

// Guards against lost and repeated messages: the copy of a 200 must not deliver the next message, and the
// copy of a 503 must not say that it never ran. The outcome is that of the call's own response, and a
// connection is opened only in place of one that got such data.
TEST(UnsolicitedData, OfAnEndpointIsNeverTheOutcomeOfTheNextCall) {
  constexpr std::size_t kCalls = 400;
  constexpr std::size_t kCallsAtOnce = 4;
  const auto is_delivered = [](const std::string& id) { return std::stoi(id) % 3 != 0; };
  loopback::SurplusEndpoint endpoint([&](const ReceivedRequest& request) {
    return httpResponse(is_delivered(request.field("X-Txn")) ? "200 OK" : "503 Full");
  });
  boost::asio::io_context io;
  EndpointConnectionAccounting connections(computeDescriptorBudget({256, 32'000'000, 8}, false));
  std::map<std::string, AttemptResult> results;
  std::size_t started = 0;
  std::function<void()> start_next;
  EndpointPool pool(io, {kHour, kHour}, connections, [&](const AttemptOutcome& outcome) {
    results[outcome.id] = outcome.result;
    start_next();
  });
  start_next = [&] {
    if (started < kCalls) {
      SubmittedMessage message;
      message.id = std::to_string(started++);
      pool.startCall(message, 0, "e", inOneHour());
    }
  };
  pool.setEndpoint("e", endpoint.address());
  for (std::size_t i = 0; i < kCallsAtOnce; ++i) {
    start_next();
  }
  while (results.size() < kCalls && io.run_one_for(loopback::kWaitLimit) > 0) {
  }
  ASSERT_EQ(kCalls, results.size());
  std::size_t checked = 0;
  std::set<std::size_t> opened;
  for (const ReceivedRequest& request : endpoint.requests()) {
    opened.insert(request.connection);
    if (endpoint.isDistinguishable(request)) {
      ++checked;
      const std::string id = request.field("X-Txn");
      EXPECT_EQ(is_delivered(id) ? AttemptResult::ok : AttemptResult::throttled, results[id]) << id;
    }
  }
  EXPECT_GT(checked, opened.size() / 2);  // at least the first request of most connections
  EXPECT_LE(opened.size(), endpoint.surplusCount() + kCallsAtOnce);
}

}  // namespace
}  // namespace delivery
