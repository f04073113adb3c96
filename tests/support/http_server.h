// An HTTP server whose responses a test chooses. Tests use it as an endpoint and as discovery.
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
  std::string head;  // request line and header fields, each with its line end
  std::string body;
  std::size_t connection = 0;           // number of the connection at this server, from 0
  std::size_t index_on_connection = 0;  // number of the request on that connection, from 0

  // The value of a header field; empty if there is none. `name` has to match the case in which it was sent.
  std::string field(const std::string& name) const {
    const auto at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos) {
      return "";
    }
    const auto from = at + name.size() + 4;
    return head.substr(from, head.find("\r\n", from) - from);
  }
};

// How the server reacts to a request: it sends `bytes`, which may be empty for no answer, and then closes the
// connection, resets it, or keeps it open if neither is set.
struct ServerAction {
  std::string bytes;
  bool close = false;
  bool reset = false;
  // Called with the connection's descriptor once `bytes` are sent, on the thread of the connection.
  std::function<void(int)> after_response = {};
};

// An HTTP response. `fields`: further header fields, each with its line end.
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
  // Called on the thread of the connection that received the request.
  using Handler = std::function<ServerAction(const ReceivedRequest&)>;

  explicit HttpServer(Handler handler) : handler_(std::move(handler)), thread_([this] { acceptLoop(); }) {}
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
  // Waits until the server has received at least `count` requests.
  bool waitForRequests(std::size_t count) {
    std::unique_lock<std::mutex> lock(mutex_);
    return changed_.wait_for(lock, kWaitLimit, [&] { return requests_.size() >= count; });
  }
  std::size_t connectionsClosedByPeer() const { return closed_by_peer_; }

 private:
  // Waits for a short time only, so that its callers notice the end of the server.
  static bool waitUntilReadable(int fd) {
    constexpr int kPollMs = 20;
    pollfd poll_fd{fd, POLLIN, 0};
    return ::poll(&poll_fd, 1, kPollMs) > 0;
  }

  void acceptLoop() {
    for (std::size_t count = 0; !stop_;) {
      if (!waitUntilReadable(listener_.fd)) {
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
      } else if (waitUntilReadable(fd)) {
        ended = !receive(fd, received);
      }
    }
    ::close(fd);
  }

  // Moves the first request from `received` to `request`. Returns false if no complete request has arrived
  // yet.
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

  // Records the request and executes the handler's action. Returns true if that action ends the connection.
  bool respond(int fd, const ReceivedRequest& request) {
    {
      std::lock_guard<std::mutex> lock(mutex_);
      requests_.push_back(request);
    }
    changed_.notify_all();
    const ServerAction action = handler_(request);
    if (!action.bytes.empty()) {
      (void)!::send(fd, action.bytes.data(), action.bytes.size(), MSG_NOSIGNAL);
    }
    if (action.after_response) {
      action.after_response(fd);
    }
    if (action.reset) {
      const linger reset_on_close{1, 0};
      ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
    }
    return action.close || action.reset;
  }

  // Returns false if the peer has closed the connection.
  bool receive(int fd, std::string& received) {
    char chunk[4096];
    const ssize_t size = ::recv(fd, chunk, sizeof chunk, 0);
    if (size <= 0) {
      ++closed_by_peer_;
      return false;
    }
    received.append(chunk, static_cast<std::size_t>(size));
    return true;
  }

  Handler handler_;
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
