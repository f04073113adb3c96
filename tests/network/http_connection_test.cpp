// Tests of one HTTP connection over a loopback socket: timers that expire while the process is busy.
#include "network/http_connection.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <optional>
#include <string>

#include "common/clocks.h"
#include "network/socket_address.h"
#include "support/http_server.h"
#include "support/listener.h"
#include "support/test_connection.h"

namespace delivery {
namespace {

using loopback::httpResponse;
using loopback::HttpServer;
using loopback::ReceivedRequest;
using loopback::ServerAction;

Deadline deadlineIn(Micros time_span) {
  return Deadline::after(monotonicNow(), time_span);
}

// The response arrives while the process is busy, and the deadline passes before the socket is read. The
// response must count. A timer of the test, due just before the deadline, sends the response, so that both
// timers fire in one iteration of the event loop.
TEST(HttpConnection, AResponseInTheSocketAtTheDeadlineCounts) {
  boost::asio::io_context io;
  loopback::Listener listener;
  HttpConnection connection(io, parseAddress(listener.address()), "e", {65536});
  HttpRequest request;
  request.method = "POST";
  request.target = "/hook";
  std::optional<HttpResponse> response;
  const Deadline deadline = deadlineIn(3'000'000);
  connection.exchange(std::move(request), {3'000'000, deadline},
                      [&](const HttpResponse& received) { response = received; });
  const int fd = ::accept4(listener.fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  char piece[4096];
  while (::recv(fd, piece, sizeof piece, 0) <= 0) {
    io.run_one_for(std::chrono::milliseconds(1));
  }
  io.poll();  // the read of the response is in progress
  boost::asio::steady_timer just_before(io);
  just_before.expires_at(std::chrono::steady_clock::time_point(std::chrono::microseconds(deadline.at() - 1)));
  just_before.async_wait([&](const boost::system::error_code&) {
    const std::string bytes = httpResponse("429 Too Many Requests", "Retry-After: 0.5\r\n", "later");
    EXPECT_EQ(static_cast<ssize_t>(bytes.size()), ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL));
  });
  while (deadline.remaining(monotonicNow()) >= -1000) {
  }  // The process is busy: the event loop does not run.
  while (!response) {
    io.run_one_for(std::chrono::milliseconds(100));
  }
  EXPECT_EQ(ExchangeStatus::answered, response->completion);
  EXPECT_EQ(429, response->status);
  EXPECT_TRUE(response->body_complete);
  EXPECT_TRUE(connection.isReusable());
  ::close(fd);
}

// The connection is established and the connect timeout passes while the process is busy. The request is
// written, so it must not be reported as one that was never written.
TEST(HttpConnection, AConnectionEstablishedAtItsTimeoutIsUsed) {
  HttpServer server([](const ReceivedRequest&) { return ServerAction{httpResponse("200 OK")}; });
  boost::asio::io_context io;
  HttpConnection connection(io, parseAddress(server.address()), "e", {65536});
  HttpRequest request;
  request.method = "POST";
  request.target = "/hook";
  std::optional<HttpResponse> response;
  const Micros connect_timeout = 20'000;
  const Micros started_at = monotonicNow();
  connection.exchange(std::move(request), {connect_timeout, deadlineIn(60'000'000)},
                      [&](const HttpResponse& received) { response = received; });
  while (monotonicNow() - started_at <= connect_timeout + 1000) {
  }  // The process is busy: the event loop does not run.
  while (!response) {
    io.run_one_for(std::chrono::milliseconds(100));
  }
  EXPECT_EQ(server.requests().empty(), response->completion == ExchangeStatus::not_written);
  EXPECT_EQ(200, response->status);
}

// Exchanges one request with an endpoint that sends these bytes and closes the connection.
HttpResponse exchangeWith(const std::string& answer, HttpRequest request = {}) {
  HttpServer server([&](const ReceivedRequest&) { return ServerAction{answer, true}; });
  boost::asio::io_context io;
  HttpConnection connection(io, parseAddress(server.address()), "e", {65536});
  request.method = "POST";
  request.target = "/hook";
  std::optional<HttpResponse> response;
  connection.exchange(std::move(request), {60'000'000, deadlineIn(60'000'000)},
                      [&](const HttpResponse& received) { response = received; });
  while (!response) {
    io.run_one_for(std::chrono::milliseconds(100));
  }
  return *response;
}

// Guards against a request field that is too long for Beast, which throws: the exchange ends, unwritten.
TEST(HttpConnection, ARequestThatHttpCannotCarryEndsTheExchange) {
  HttpRequest request;
  request.fields.emplace_back("X-Txn", std::string(kMaxFieldValueBytes, 'a'));
  EXPECT_EQ(200, exchangeWith(httpResponse("200 OK"), request).status);
  request.fields.back().second += 'a';
  EXPECT_EQ(ExchangeStatus::invalid_request, exchangeWith(httpResponse("200 OK"), request).completion);
}

// Guards against an answer that ends late and holds next to no body: the bytes around the body are limited
// too.
TEST(HttpConnection, AnAnswerOfMostlyChunkExtensionsEndsTheExchange) {
  std::string answer = "HTTP/1.1 500 Oops\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string chunk = "1;" + std::string(1000, 'a') + "\r\nb\r\n";
  const std::string last_chunk = "0\r\n\r\n";
  std::string short_answer = answer;
  for (int i = 0; i < 200; ++i) {
    short_answer += chunk;
  }
  EXPECT_TRUE(exchangeWith(short_answer + last_chunk).body_complete);
  for (int i = 0; i < 10'000; ++i) {
    answer += chunk;
  }
  const HttpResponse response = exchangeWith(answer + last_chunk);
  EXPECT_EQ(500, response.status);
  EXPECT_FALSE(response.body_complete);
  EXPECT_LT(response.body.size(), 1000u);
}

// Guards against an answer whose parts outside of head and body are too long for Beast, which throws.
TEST(HttpConnection, AnAnswerWithOverlongChunkLinesOrTrailersIsIncomplete) {
  const std::string head = "HTTP/1.1 500 Oops\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::size_t size : {65'000u, 65'536u, 70'000u, 300'000u}) {
    const std::string text(size, 'a');
    for (const std::string& rest : {"0\r\nX: " + text + "\r\n\r\n", "0\r\n" + text + ": x\r\n\r\n",
                                    "0\r\nX: " + text, "1;" + text + "\r\nb\r\n0\r\n\r\n", "1;x=\"" + text}) {
      const HttpResponse response = exchangeWith(head + rest);
      EXPECT_EQ(ExchangeStatus::answered, response.completion);
      EXPECT_EQ(500, response.status);
      const bool is_well_formed = rest.substr(rest.size() - 4) == "\r\n\r\n";
      EXPECT_EQ(is_well_formed && size < kMaxFieldValueBytes, response.body_complete) << size;
    }
  }
}

// Guards against idle connections that hold the bodies of their last exchange: with many of them, the process
// would need more than its share of memory.
TEST(HttpConnection, AnIdleConnectionHoldsNoBytesOfItsLastExchange) {
  for (const BodyUse use : {BodyUse::keep, BodyUse::discard}) {
    loopback::TestConnection test(use);
    const std::string body(60'000, 'b');
    test.startExchange(0, body);
    test.receiveAtPeer();
    test.runUntil([&] { return !test.discardAtPeer(); });
    test.sendFromPeer(loopback::httpResponse("200 OK", "", body));
    const HttpResponse response = test.awaitResponse();
    EXPECT_TRUE(response.body_complete);
    EXPECT_EQ(use == BodyUse::keep ? body : "", response.body);
    EXPECT_TRUE(test.connection.isIdle());
    EXPECT_EQ(0u, test.connection.bufferedBytes());
  }
}

}  // namespace
}  // namespace delivery
