// An HTTP client for the platform's discovery server, which is an agent on this machine.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "network/http_connection.h"

namespace delivery {

// Sends one request at a time over one connection, which is replaced when it can't be reused. If the client
// is destroyed, stopped or changes the server while a request is in flight, the request is cancelled and its
// callback is never called.
class DiscoveryClient {
 public:
  // `host`: the value of the Host header field. The body of a response has at most `max_body_bytes`.
  DiscoveryClient(boost::asio::io_context& io, tcp::endpoint server, std::string host,
                  std::size_t max_body_bytes);

  struct Timeouts {
    Micros connect = 0;   // until a new connection is open
    Micros response = 0;  // until the response is complete; includes connecting
  };

  // Calls `on_response` once from the event loop, at the latest after `timeouts.response`.
  void send(HttpRequest request, Timeouts timeouts, HttpConnection::OnResponse on_response);
  // Closes the connection and calls `on_elapsed` after `delay`.
  void backOff(Micros delay, std::function<void()> on_elapsed);
  void changeServer(tcp::endpoint server, std::string host);
  // Nothing is sent from now on.
  void stop();

 private:
  void exchange(HttpRequest request, const HttpConnection::Timing& timing,
                HttpConnection::OnResponse on_response);
  void onUnsolicitedData(Micros gap);

  boost::asio::io_context& io_;
  tcp::endpoint server_;
  std::string host_;
  std::size_t max_body_bytes_;
  std::unique_ptr<HttpConnection> connection_;
  boost::asio::steady_timer backoff_timer_;
  std::int64_t unsolicited_data_count_ = 0;
  bool is_stopped_ = false;
};

}  // namespace delivery
