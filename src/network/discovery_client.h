// The HTTP connection to the platform's discovery server, an agent on this machine.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "network/http_connection.h"

namespace delivery {

// Carries one request at a time over one connection, which is replaced when it can't be reused. A
// request under way when the client is destroyed, stopped or changes the server is cancelled, and its
// callback is never called.
class DiscoveryClient {
 public:
  DiscoveryClient(boost::asio::io_context& io, tcp::endpoint server, std::string host);

  // `done` is called once, from the event loop, at the latest after `timeout`.
  void send(HttpRequest request, Micros timeout, HttpConnection::Done done);
  // Drops the connection and calls `then` after `pause`.
  void backOff(Micros pause, std::function<void()> then);
  void changeServer(tcp::endpoint server, std::string host);
  void stop();  // nothing is sent after it

 private:
  boost::asio::io_context& io_;
  tcp::endpoint server_;
  std::string host_;
  std::unique_ptr<HttpConnection> connection_;
  boost::asio::steady_timer backoff_timer_;
  bool stopped_ = false;
};

}  // namespace delivery
