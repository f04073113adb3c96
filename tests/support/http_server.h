// An HTTP server with scripted responses, which tests use as an endpoint and as discovery.
#pragma once

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "support/listener.h"
#include "support/wait.h"

namespace delivery::loopback {

// A request as the server received it.
struct ReceivedRequest {
  std::string head, body;
  std::size_t connection = 0;           // which connection of the server, from 0
  std::size_t index_on_connection = 0;  // which request on that connection, from 0

  // The value of a header field, in the case in which it was sent; empty if there is none.
  std::string field(const std::string& name) const {
    const auto at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos) {
      return "";
    }
    const auto from = at + name.size() + 4;
    return head.substr(from, head.find("\r\n", from) - from);
  }
};

// What the server does with a request: the bytes that it sends (none: no answer), and whether it then closes
// the connection, resets it, or (with neither) keeps it.
struct ServerAction {
  std::string bytes;
  bool close = false, reset = false;
};

inline std::string httpResponse(const std::string& status, const std::string& fields = "",
                                const std::string& body = "") {
  return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + fields +
         "\r\n" + body;
}

inline ServerAction respondOk(const ReceivedRequest&) {
  return {httpResponse("200 OK")};
}
inline ServerAction neverRespond(const ReceivedRequest&) {
  return {};
}

// Serves on a loopback port, with a thread for each connection.
class HttpServer {
 public:
  using Script = std::function<ServerAction(const ReceivedRequest&)>;  // called by the connections' threads

  explicit HttpServer(Script script) : script_(std::move(script)), thread_([this] { acceptLoop(); }) {}
  ~HttpServer() {
    stop_ = true;
    thread_.join();
    for (auto& connection : connections_) {
      connection.join();
    }
  }
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  std::string address() const { return listener_.address(); }
  std::vector<ReceivedRequest> requests() {
    std::lock_guard<std::mutex> lock(mutex_);
    return requests_;
  }
  // Waits until it has received so many requests.
  bool waitForRequests(std::size_t count) {
    std::unique_lock<std::mutex> lock(mutex_);
    return changed_.wait_for(lock, kWaitLimit, [&] { return requests_.size() >= count; });
  }
  std::size_t connectionsClosedByPeer() const { return closed_by_peer_; }  // connections

 private:
  static bool readable(int fd) {
    constexpr int kPollMs = 20;
    pollfd poll_fd{fd, POLLIN, 0};
    return ::poll(&poll_fd, 1, kPollMs) > 0;
  }

  void acceptLoop() {
    for (std::size_t count = 0; !stop_;) {
      if (!readable(listener_.fd)) {
        continue;
      }
      const int fd = ::accept4(listener_.fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd >= 0) {
        connections_.emplace_back([this, fd, id = count++] { serve(fd, id); });
      }
    }
  }

  void serve(int fd, std::size_t connection) {
    std::string received;
    std::size_t count = 0;
    bool ended = false;
    while (!stop_ && !ended) {
      ReceivedRequest request;
      if (extractRequest(received, request)) {
        request.connection = connection;
        request.index_on_connection = count++;
        ended = respond(fd, request);
      } else if (readable(fd)) {
        ended = !receive(fd, received);
      }
    }
    ::close(fd);
  }

  // Takes a complete request off the front of `received`; false: there is none yet.
  static bool extractRequest(std::string& received, ReceivedRequest& request) {
    const auto end = received.find("\r\n\r\n");
    if (end == std::string::npos) {
      return false;
    }
    request.head = received.substr(0, end + 2);
    const std::string length = request.field("Content-Length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    if (received.size() < end + 4 + size) {
      return false;
    }
    request.body = received.substr(end + 4, size);
    received.erase(0, end + 4 + size);
    return true;
  }

  // True: the script ends the connection.
  bool respond(int fd, const ReceivedRequest& request) {
    {
      std::lock_guard<std::mutex> lock(mutex_);
      requests_.push_back(request);
    }
    changed_.notify_all();
    const ServerAction action = script_(request);
    if (!action.bytes.empty()) {
      (void)!::send(fd, action.bytes.data(), action.bytes.size(), MSG_NOSIGNAL);
    }
    if (action.reset) {
      const linger reset_on_close{1, 0};
      ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
    }
    return action.close || action.reset;
  }

  // False: the peer has closed the connection.
  bool receive(int fd, std::string& received) {
    char piece[4096];
    const ssize_t size = ::recv(fd, piece, sizeof piece, 0);
    if (size <= 0) {
      ++closed_by_peer_;
      return false;
    }
    received.append(piece, static_cast<std::size_t>(size));
    return true;
  }

  Script script_;
  Listener listener_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<ReceivedRequest> requests_;
  std::vector<std::thread> connections_;
  std::atomic<bool> stop_{false};
  std::atomic<std::size_t> closed_by_peer_{0};
  std::thread thread_;
};

}  // namespace delivery::loopback
