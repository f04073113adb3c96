// A persistent HTTP/1.1 client connection that carries one exchange (a request and its response) at a time,
// on Boost.Beast.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "common/clocks.h"
#include "network/response_body.h"
#include "protocol/http_message.h"

namespace delivery {

using boost::asio::ip::tcp;

// Reports exactly how far an exchange got, and never sends a request twice: a request that may have run must
// not be repeated without the owner's decision. The owner cancels an exchange by destroying the connection.
// All callbacks run on the event loop, never from within a call to a member function of this class.
class HttpConnection {
 public:
  using OnResponse = std::function<void(const HttpResponse&)>;

  // Reports progress before an exchange has ended. Each callback is called at most once.
  struct ProgressCallbacks {
    std::function<void()> on_connected;  // a new connection was opened; nothing is written yet
    OnResponse on_head;                  // the response head was received, and its body is incomplete
  };

  // The time limits of an exchange.
  struct Timing {
    Micros connect_timeout = 0;
    Deadline deadline;  // no response is read after it
    // How long an open connection must have been quiet since its last response before a request is written.
    Micros quiet_time = 0;
  };
  // How an idle connection ended.
  struct IdleEnd {
    // How long after the last response the peer sent data without a request, in microseconds; empty if it
    // only closed the connection.
    std::optional<Micros> unsolicited_data_gap;
  };
  using OnIdleEnd = std::function<void(const IdleEnd&)>;

  // The limits on the body of a response.
  struct BodyLimits {
    std::size_t max_bytes = 0;  // a longer body is truncated there and reported as incomplete
    BodyUse use = BodyUse::keep;
  };

  // Does not open the connection yet. `host`: the value of the Host header field.
  HttpConnection(boost::asio::io_context& io, tcp::endpoint peer, std::string host, BodyLimits body_limits);
  // Closes the connection. Callbacks of an exchange in progress are not called any more.
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  // Opens the connection if it is not open, or waits until an open one has been quiet, writes the request and
  // reads the response. Calls `on_response` once; with invalid_request if HTTP can't carry the request. Must
  // not be called while another exchange is in progress.
  void exchange(HttpRequest request, const Timing& timing, OnResponse on_response,
                ProgressCallbacks progress = {});

  // Ends the exchange as if its deadline had passed now. A response that is already in the socket still
  // counts.
  void expire();

  // Watches the idle connection until the next exchange: closes it when the peer closes it or sends data, and
  // calls `on_idle_end` then.
  void watchIdle(OnIdleEnd on_idle_end);

  // Whether the connection is open and idle. The peer may have closed it.
  bool isIdle() const;
  // Whether the connection is open, idle, and not closed by the peer.
  bool isReusable() const;
  // Whether the kernel has accepted the last byte of the current request.
  bool requestWritten() const;
  // The bytes of memory that are held for the request, the response and input that is not parsed yet.
  std::size_t bufferedBytes() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;  // shared with the handlers of asynchronous operations
};

}  // namespace delivery
