// One HTTP connection over a loopback socket: timers that fire while the event loop does not run.
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

namespace delivery {
namespace {

using loopback::httpResponse;
using loopback::HttpServer;
using loopback::ReceivedRequest;
using loopback::ServerAction;

Deadline within(Micros span) {
  return Deadline::after(monotonicNow(), span);
}

// The answer comes while this process is busy, and the call's timer has fired before it is looked for: a
// test's timer, due just before, sends it, and both fire in one turn of the event loop.
TEST(HttpConnection, AnAnswerThatIsInTheSocketWhenTheTimerFiresIsAnAnswer) {
  boost::asio::io_context io;
  loopback::Listener listener;
  HttpConnection connection(io, parseAddress(listener.address()), "e", 65536);
  HttpRequest request;
  request.method = "POST";
  request.target = "/hook";
  std::optional<HttpResponse> answered;
  const Deadline until = within(3'000'000);
  connection.exchange(std::move(request), 3'000'000, until,
                      [&](const HttpResponse& received) { answered = received; });
  const int fd = ::accept4(listener.fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  char piece[4096];
  while (::recv(fd, piece, sizeof piece, 0) <= 0) {
    io.run_one_for(std::chrono::milliseconds(1));
  }
  io.poll();  // the read of the answer is under way
  boost::asio::steady_timer just_before(io);
  just_before.expires_at(std::chrono::steady_clock::time_point(std::chrono::microseconds(until.at() - 1)));
  just_before.async_wait([&](const boost::system::error_code&) {
    const std::string bytes = httpResponse("429 Too Many Requests", "Retry-After: 0.5\r\n", "later");
    EXPECT_EQ(static_cast<ssize_t>(bytes.size()), ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL));
  });
  while (until.remaining(monotonicNow()) >= -1000) {
  }  // busy: the event loop does not run
  while (!answered) {
    io.run_one_for(std::chrono::milliseconds(100));
  }
  EXPECT_EQ(ExchangeStatus::answered, answered->completion);
  EXPECT_EQ(429, answered->status);
  EXPECT_TRUE(answered->body_complete);
  EXPECT_TRUE(connection.reusable());
  ::close(fd);
}

// The connection is up, and the timer of the connect has fired, before either is looked for: the request goes
// out, and so it may not pass for one that was never written.
TEST(HttpConnection, AConnectionThatComesUpAsItsTimerFiresIsUp) {
  HttpServer server([](const ReceivedRequest&) { return ServerAction{httpResponse("200 OK")}; });
  boost::asio::io_context io;
  HttpConnection connection(io, parseAddress(server.address()), "e", 65536);
  HttpRequest request;
  request.method = "POST";
  request.target = "/hook";
  std::optional<HttpResponse> answered;
  const Micros connect_limit = 20'000, from = monotonicNow();
  connection.exchange(std::move(request), connect_limit, within(60'000'000),
                      [&](const HttpResponse& received) { answered = received; });
  while (monotonicNow() - from <= connect_limit + 1000) {
  }  // busy: the event loop does not run
  while (!answered) {
    io.run_one_for(std::chrono::milliseconds(100));
  }
  EXPECT_EQ(server.requests().empty(), answered->completion == ExchangeStatus::not_written);
  EXPECT_EQ(200, answered->status);
}

}  // namespace
}  // namespace delivery
