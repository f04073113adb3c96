// A client of the sender program, for its RESP port and for its control port.
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
  // Connects to a loopback port. `source_address`: the loopback address to connect from; null lets the kernel
  // choose.
  explicit SenderClient(int port, const char* source_address = nullptr) {
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (source_address != nullptr) {
      sockaddr_in source{};
      source.sin_family = AF_INET;
      ::inet_pton(AF_INET, source_address, &source.sin_addr);
      EXPECT_EQ(0, ::bind(fd_, reinterpret_cast<sockaddr*>(&source), sizeof source));
    }
    const sockaddr_in address = loopbackAddress(port);
    connected_ = ::connect(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
  }
  ~SenderClient() { ::close(fd_); }
  SenderClient(const SenderClient&) = delete;
  SenderClient& operator=(const SenderClient&) = delete;

  bool connected() const { return connected_; }

  // Sends all bytes. Returns false if the peer has closed the connection meanwhile.
  bool trySend(const std::string& bytes) {
    for (std::size_t sent = 0; sent < bytes.size();) {
      const ssize_t written = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (written <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(written);
    }
    return true;
  }
  void send(const std::string& bytes) { trySend(bytes); }

  // Reads and discards the bytes that have arrived so far.
  void discardReceived() {
    char chunk[1024];
    while (::recv(fd_, chunk, sizeof chunk, MSG_DONTWAIT) > 0) {
    }
  }

  // Waits for one line and returns it without its end. Returns an empty string if the connection ends first,
  // or nothing arrives within the wait limit.
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
      char chunk[1024];
      const ssize_t size = ::recv(fd_, chunk, sizeof chunk, 0);
      if (size <= 0) {
        return "";
      }
      received_.append(chunk, static_cast<std::size_t>(size));
    }
  }
  // Waits as readLine() does. True if the connection ended without another line, or none arrived in time.
  bool hasNoMoreLines() { return readLine().empty(); }

  // Waits until the peer closes the connection. Returns false if it only sends nothing for the wait limit.
  bool waitForClose() {
    char chunk[1024];
    while (waitUntilReadable()) {
      if (::recv(fd_, chunk, sizeof chunk, 0) <= 0) {
        return true;
      }
    }
    return false;
  }

  // The bytes of a RESP request.
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
  // Sends a command line to the control port and waits for the reply.
  std::string sendCommand(const std::string& command) {
    send(command + "\n");
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
