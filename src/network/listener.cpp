// Listening sockets; see listener.h.
#include "network/listener.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace delivery {

using boost::asio::ip::tcp;
using boost::system::error_code;
using boost::system::system_error;

tcp::acceptor listenAt(boost::asio::io_context& io, const tcp::endpoint& address) {
  return tcp::acceptor(io, address);  // with SO_REUSEADDR
}

tcp::acceptor listenOnPassed(boost::asio::io_context& io, int descriptor) {
  const auto fail = [](const char* what) {
    throw system_error(error_code(errno, boost::system::system_category()), what);
  };
  int type = 0, listens = 0;
  socklen_t size = sizeof type;
  if (::getsockopt(descriptor, SOL_SOCKET, SO_TYPE, &type, &size) != 0)
    fail("the passed socket");
  sockaddr_storage bound{};
  socklen_t length = sizeof bound;
  if (::getsockname(descriptor, reinterpret_cast<sockaddr*>(&bound), &length) != 0)
    fail("the passed socket");
  if (type != SOCK_STREAM || (bound.ss_family != AF_INET && bound.ss_family != AF_INET6)) {
    errno = EPROTOTYPE;
    fail("the passed socket");
  }
  size = sizeof listens;
  ::getsockopt(descriptor, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size);
  if (!listens && ::listen(descriptor, SOMAXCONN) != 0)
    fail("the passed socket");
  const int own = ::fcntl(descriptor, F_DUPFD_CLOEXEC, 0);
  if (own < 0)
    fail("the passed socket");
  return tcp::acceptor(io, bound.ss_family == AF_INET ? tcp::v4() : tcp::v6(), own);
}

}  // namespace delivery
