// Creates the listening sockets of a process: opened at an address, or inherited from the platform.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace delivery {

// Throws boost::system::system_error if listening at the address fails.
boost::asio::ip::tcp::acceptor listenAt(boost::asio::io_context& io,
                                        const boost::asio::ip::tcp::endpoint& address);

// Listens on a socket that this process inherited. The acceptor owns a duplicate of the descriptor, so the
// descriptor itself stays open after the acceptor is closed. Throws boost::system::system_error if it is not
// a TCP socket.
boost::asio::ip::tcp::acceptor listenOnInherited(boost::asio::io_context& io, int descriptor);

}  // namespace delivery
