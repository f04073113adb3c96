#include "network/listener.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace delivery {

using boost::asio::ip::tcp;

namespace {

[[noreturn]] void throwError(int error_number) {
  using namespace boost::system;
  throw system_error(error_code(error_number, system_category()), "inherited listening socket");
}

void throwIfFailed(int result) {
  if (result < 0) {
    throwError(errno);
  }
}

int socketOption(int descriptor, int option) {
  int value = 0;
  socklen_t size = sizeof value;
  throwIfFailed(::getsockopt(descriptor, SOL_SOCKET, option, &value, &size));
  return value;
}

// Returns AF_INET or AF_INET6; throws if the socket is not a TCP socket.
int tcpFamily(int descriptor) {
  const int type = socketOption(descriptor, SO_TYPE);
  sockaddr_storage address{};
  socklen_t size = sizeof address;
  throwIfFailed(::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size));
  const bool is_internet = address.ss_family == AF_INET || address.ss_family == AF_INET6;
  if (type != SOCK_STREAM || !is_internet) {
    throwError(EPROTOTYPE);
  }
  return address.ss_family;
}

// Listens on the socket if the platform has bound it without listening.
void ensureListening(int descriptor) {
  if (socketOption(descriptor, SO_ACCEPTCONN) == 0) {
    throwIfFailed(::listen(descriptor, SOMAXCONN));
  }
}

}  // namespace

tcp::acceptor listenAt(boost::asio::io_context& io, const tcp::endpoint& address) {
  return tcp::acceptor(io, address);  // with SO_REUSEADDR
}

tcp::acceptor listenOnInherited(boost::asio::io_context& io, int descriptor) {
  const int family = tcpFamily(descriptor);
  ensureListening(descriptor);
  const int duplicate = ::fcntl(descriptor, F_DUPFD_CLOEXEC, 0);
  throwIfFailed(duplicate);
  return tcp::acceptor(io, family == AF_INET ? tcp::v4() : tcp::v6(), duplicate);
}

}  // namespace delivery
