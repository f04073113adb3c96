// Listening sockets and reserved ports on the loopback interface. All ports are ephemeral.
#pragma once

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <string>
#include <vector>

namespace delivery::loopback {

inline sockaddr_in loopbackAddress(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Reserves a port for the lifetime of the object. The port is bound but not listened on, so no other test
// gets it, connections to it are refused, and a program that binds it with SO_REUSEADDR can listen on it.
class ReservedPort {
 public:
  ReservedPort() : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const int enabled = 1;
    EXPECT_EQ(0, ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled));
    sockaddr_in address = loopbackAddress(0);
    EXPECT_EQ(0, ::bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address));
    socklen_t size = sizeof address;
    ::getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
  }
  ~ReservedPort() { ::close(fd_); }
  ReservedPort(const ReservedPort&) = delete;
  ReservedPort& operator=(const ReservedPort&) = delete;

  int port() const { return port_; }

 private:
  int fd_;
  int port_ = 0;
};

// A listening socket. It accepts no connections itself: the test does that on `fd`.
struct Listener {
  Listener() {
    fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopbackAddress(0);
    EXPECT_EQ(0, ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address));
    EXPECT_EQ(0, ::listen(fd, 64));
    socklen_t size = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
  }
  ~Listener() { close(); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  void close() {
    if (fd >= 0) {
      ::close(fd);
    }
    fd = -1;
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(port); }

  int fd = -1;
  int port = 0;
};

// A listener whose backlog is full, so that no further connection to it is established.
class FullBacklogListener {
 public:
  FullBacklogListener() {
    EXPECT_EQ(0, ::listen(listener_.fd, 0));
    for (int i = 0; i < kConnectionsThatFillTheBacklog; ++i) {
      fds_.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
      const sockaddr_in address = loopbackAddress(listener_.port);
      // The result does not matter: the connection only has to fill the backlog.
      (void)::connect(fds_.back(), reinterpret_cast<const sockaddr*>(&address), sizeof address);
    }
  }
  ~FullBacklogListener() {
    for (const int fd : fds_) {
      ::close(fd);
    }
  }
  FullBacklogListener(const FullBacklogListener&) = delete;
  FullBacklogListener& operator=(const FullBacklogListener&) = delete;

  std::string address() const { return listener_.address(); }

 private:
  static constexpr int kConnectionsThatFillTheBacklog = 8;

  Listener listener_;
  std::vector<int> fds_;
};

// Returns an address where nothing listens, so that connections are refused.
inline std::string closedAddress() {
  return Listener().address();
}

}  // namespace delivery::loopback
