// The other side of a handover, played by a test: the Unix socket of the link, and a process that holds the
// ownership lock.
#pragma once

#include <fcntl.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <string>

#include "process/ownership_lock.h"
#include "support/wait.h"

namespace delivery::loopback {

// A Unix socket that either listens or carries lines.
class UnixSocket {
 public:
  UnixSocket() : fd_(::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0)) {}
  explicit UnixSocket(int fd) : fd_(fd) {}
  ~UnixSocket() { close(); }
  UnixSocket(const UnixSocket&) = delete;
  UnixSocket& operator=(const UnixSocket&) = delete;
  void listen(const std::string& path) {
    const sockaddr_un address = addressOf(path);
    EXPECT_EQ(0, ::bind(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address));
    EXPECT_EQ(0, ::listen(fd_, 4));
  }
  int accept() { return waitUntilReadable() ? ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC) : -1; }
  bool connect(const std::string& path) {
    const sockaddr_un address = addressOf(path);
    return ::connect(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
  }
  void send(const std::string& line) {
    const std::string bytes = line + "\n";
    EXPECT_EQ(static_cast<ssize_t>(bytes.size()), ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL))
        << line;
  }
  // Waits for the next line. Empty if the other side has closed the connection or sends nothing.
  std::string readLine() {
    for (;;) {
      const auto end = received_.find('\n');
      if (end != std::string::npos) {
        std::string first = received_.substr(0, end);
        received_.erase(0, end + 1);
        return first;
      }
      char chunk[4096];
      const ssize_t size = waitUntilReadable() ? ::recv(fd_, chunk, sizeof chunk, 0) : 0;
      if (size <= 0) {
        return "";
      }
      received_.append(chunk, static_cast<std::size_t>(size));
    }
  }
  void close() {
    if (fd_ >= 0) {
      ::close(fd_);
    }
    fd_ = -1;
  }

 private:
  bool waitUntilReadable() const {
    constexpr int kWaitMs = static_cast<int>(std::chrono::milliseconds(kWaitLimit).count());
    pollfd poll_fd{fd_, POLLIN, 0};
    return ::poll(&poll_fd, 1, kWaitMs) > 0;
  }
  static sockaddr_un addressOf(const std::string& path) {
    sockaddr_un address{};
    address.sun_family = AF_UNIX;
    path.copy(address.sun_path, sizeof address.sun_path - 1);
    return address;
  }
  int fd_;
  std::string received_;
};

// A child process that holds the ownership lock until release(). The lock must not be held by the test
// itself, because a successor kills an owner that does not hand over in time.
class LockHolder {
 public:
  explicit LockHolder(const std::string& folder) {
    int ready[2], release_pipe[2];
    EXPECT_EQ(0, ::pipe2(ready, O_CLOEXEC));
    EXPECT_EQ(0, ::pipe2(release_pipe, O_CLOEXEC));
    pid_ = ::fork();
    if (pid_ == 0) {
      ::close(release_pipe[1]);
      OwnershipLock lock(folder);
      char acquired = lock.tryAcquire() ? 'y' : 'n';
      (void)!::write(ready[1], &acquired, 1);
      (void)!::read(release_pipe[0], &acquired, 1);
      ::_exit(0);
    }
    ::close(release_pipe[0]);
    ::close(ready[1]);
    release_fd_ = release_pipe[1];
    char acquired = 'n';
    EXPECT_EQ(1, ::read(ready[0], &acquired, 1));
    EXPECT_EQ('y', acquired);
    ::close(ready[0]);
  }
  ~LockHolder() { release(); }
  LockHolder(const LockHolder&) = delete;
  LockHolder& operator=(const LockHolder&) = delete;
  void release() {
    if (pid_ <= 0) {
      return;
    }
    ::close(release_fd_);
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }

 private:
  pid_t pid_ = -1;
  int release_fd_ = -1;
};

}  // namespace delivery::loopback
