// A client of the program, for its RESP port and for its control port.
#pragma once

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "support/listener.h"
#include "support/wait.h"

namespace delivery::loopback {

class SenderClient {
 public:
  // Connects to a loopback port; `from`: the loopback address to connect from, if not the usual one.
  explicit SenderClient(int port, const char* from = nullptr) {
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (from != nullptr) {
      sockaddr_in source{};
      source.sin_family = AF_INET;
      ::inet_pton(AF_INET, from, &source.sin_addr);
      EXPECT_EQ(0, ::bind(fd_, reinterpret_cast<sockaddr*>(&source), sizeof source));
    }
    const sockaddr_in address = loopbackAddress(port);
    connected_ = ::connect(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
  }
  ~SenderClient() { ::close(fd_); }
  SenderClient(const SenderClient&) = delete;
  SenderClient& operator=(const SenderClient&) = delete;

  bool connected() const { return connected_; }

  // False: the peer takes no more, as it has closed the connection.
  bool trySend(const std::string& bytes) {
    for (std::size_t sent = 0; sent < bytes.size();) {
      const ssize_t size = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (size <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(size);
    }
    return true;
  }
  void send(const std::string& bytes) { trySend(bytes); }

  // Reads and drops what has arrived so far.
  void discardReceived() {
    char piece[1024];
    while (::recv(fd_, piece, sizeof piece, MSG_DONTWAIT) > 0) {
    }
  }

  // One line without its end; empty if the connection ended first.
  std::string readLine(const std::string& end_mark = "\r\n") {
    for (;;) {
      const auto end = received_.find(end_mark);
      if (end != std::string::npos) {
        std::string first = received_.substr(0, end);
        received_.erase(0, end + end_mark.size());
        return first;
      }
      if (!waitUntilReadable()) {
        return "";
      }
      char piece[1024];
      const ssize_t size = ::recv(fd_, piece, sizeof piece, 0);
      if (size <= 0) {
        return "";
      }
      received_.append(piece, static_cast<std::size_t>(size));
    }
  }
  bool hasNoMoreLines() { return readLine().empty(); }

  // The peer closes the connection, rather than just sending nothing for long.
  bool waitForClose() {
    char piece[1024];
    while (waitUntilReadable()) {
      if (::recv(fd_, piece, sizeof piece, 0) <= 0) {
        return true;
      }
    }
    return false;
  }

  // A RESP request.
  static std::string encodeRequest(const std::vector<std::string>& arguments) {
    std::string bytes = "*" + std::to_string(arguments.size()) + "\r\n";
    for (const auto& argument : arguments) {
      bytes += "$" + std::to_string(argument.size()) + "\r\n" + argument + "\r\n";
    }
    return bytes;
  }
  // Sends a request and waits for the reply.
  std::string sendRequest(const std::vector<std::string>& arguments) {
    send(encodeRequest(arguments));
    return readLine();
  }
  // Submits a message and waits for the reply.
  std::string submit(const std::string& id, const std::string& message_class, int destination,
                     const std::string& body = "body", int time_to_live_ms = 28000) {
    const std::string fields = "c=" + message_class + ",d=" + std::to_string(time_to_live_ms) + ",k=k" + id +
                               ",dest=" + std::to_string(destination);
    return sendRequest({"MSG.PUT", "0000000000000000", id, fields, body});
  }
  // Sends a line to the control port and waits for the reply.
  std::string sendCommand(const std::string& text) {
    send(text + "\n");
    return readLine("\n");
  }

 private:
  bool waitUntilReadable() const {
    pollfd poll_fd{fd_, POLLIN, 0};
    return ::poll(&poll_fd, 1, static_cast<int>(std::chrono::milliseconds(kWaitLimit).count())) > 0;
  }

  int fd_ = -1;
  bool connected_ = false;
  std::string received_;
};

}  // namespace delivery::loopback
