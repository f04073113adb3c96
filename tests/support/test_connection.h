// An HTTP connection of the sender whose peer is played by the test itself, in one thread, so that the order
// of events is fixed.
#pragma once

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "common/clocks.h"
#include "network/http_connection.h"
#include "network/socket_address.h"
#include "support/http_server.h"
#include "support/listener.h"
#include "support/wait.h"

namespace delivery::loopback {

struct TestConnection {
  static constexpr Micros kHour = 3'600'000'000;
  static constexpr std::size_t kMaxBodyBytes = 65536;

  explicit TestConnection(BodyUse body_use = BodyUse::keep)
      : connection(io, parseAddress(listener.address()), "e", {kMaxBodyBytes, body_use}) {}
  ~TestConnection() { ::close(peer); }
  TestConnection(const TestConnection&) = delete;
  TestConnection& operator=(const TestConnection&) = delete;

  void startExchange(Micros quiet_time, const std::string& body = "") {
    HttpRequest request;
    request.method = "POST";
    request.target = "/hook";
    request.body = body;
    response.reset();
    connection.exchange(std::move(request), {kHour, Deadline::after(monotonicNow(), kHour), quiet_time},
                        [this](const HttpResponse& received) { response = received; });
  }
  // Waits until the peer has received something, and discards it.
  void receiveAtPeer() {
    if (peer < 0) {
      peer = ::accept4(listener.fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    }
    runUntil([this] { return discardAtPeer(); });
  }
  // Returns false if the peer has received nothing.
  bool discardAtPeer() const {
    char piece[4096];
    return ::recv(peer, piece, sizeof piece, 0) > 0;
  }
  void sendFromPeer(const std::string& bytes) const {
    EXPECT_EQ(static_cast<ssize_t>(bytes.size()), ::send(peer, bytes.data(), bytes.size(), MSG_NOSIGNAL));
  }
  // Sends bytes for as long as the exchange goes on, and runs the event loop until they are read.
  void sendAsRead(const std::string& bytes) {
    std::size_t sent = 0;
    runUntil([&] {
      const ssize_t count =
          ::send(peer, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
      sent += count > 0 ? static_cast<std::size_t>(count) : 0;
      return sent == bytes.size() || response;
    });
    io.restart();
    while (io.poll() > 0) {
    }
  }
  HttpResponse awaitResponse() {
    runUntil([this] { return response.has_value(); });
    return response.value_or(HttpResponse{});
  }
  // Runs the event loop until the condition is true.
  void runUntil(const std::function<bool()>& condition) {
    constexpr std::chrono::milliseconds kPollInterval{5};  // for what happens at the peer alone
    const auto deadline = std::chrono::steady_clock::now() + kWaitLimit;
    while (!condition()) {
      if (std::chrono::steady_clock::now() > deadline) {
        ADD_FAILURE() << "the condition did not come true";
        return;
      }
      io.restart();
      io.run_one_for(kPollInterval);
    }
  }
  // Makes a first exchange, after which the connection is open and idle.
  void makeFirstExchange() {
    startExchange(0);
    receiveAtPeer();
    sendFromPeer(httpResponse("200 OK"));
    EXPECT_EQ(200, awaitResponse().status);
  }

  boost::asio::io_context io;
  Listener listener;
  HttpConnection connection;
  std::optional<HttpResponse> response;
  int peer = -1;
};

}  // namespace delivery::loopback
