// One kept-alive HTTP/1.1 client connection that carries one exchange at a time, on Boost.Beast.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "common/clocks.h"
#include "protocol/http_message.h"

namespace delivery {

using boost::asio::ip::tcp;

// Reports exactly how far an exchange got and never sends a request twice: what may have run must not be
// repeated blindly. Its owner destroys it to cancel an exchange. All callbacks run on the event loop, never
// from within a call of the connection's functions.
class HttpConnection {
 public:
  using Done = std::function<void(const HttpResponse&)>;

  // What an exchange reports before it is done; each callback is called once at most.
  struct ProgressCallbacks {
    std::function<void()> on_connected;  // a connection had to be opened and is up; nothing is written yet
    Done on_head;                        // the response's head is here, and its body still on the way
  };

  // Opens nothing yet. A response with a longer body than `max_body_bytes` is cut off there and not complete.
  HttpConnection(boost::asio::io_context& io, tcp::endpoint peer, std::string host,
                 std::size_t max_body_bytes);
  // Closes the connection; no callback of an exchange under way is called any more.
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  // Opens the connection if need be, within `connect_timeout`, writes the request and reads the response
  // until `deadline`. `done` is called once. One exchange at a time.
  void exchange(HttpRequest request, Micros connect_timeout, Deadline deadline, Done done,
                ProgressCallbacks progress = {});

  // Ends the exchange now as if its deadline had come: a response that is in the socket already still counts.
  void abandon();

  bool reusable() const;        // open, idle, and not closed by the peer
  bool requestWritten() const;  // the kernel has taken the last byte of the current request

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;  // the handlers of asynchronous operations share it
};

}  // namespace delivery
