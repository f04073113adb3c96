// Listening sockets: opened at an address, or inherited from the platform.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace delivery {

// Throws boost::system::system_error when the address can't be listened on.
boost::asio::ip::tcp::acceptor listenAt(boost::asio::io_context& io,
                                        const boost::asio::ip::tcp::endpoint& address);

// A listening socket that this process inherited. Works on a duplicate: the descriptor itself stays open
// after the acceptor is closed. Throws boost::system::system_error when it is no TCP socket.
boost::asio::ip::tcp::acceptor listenOnInherited(boost::asio::io_context& io, int descriptor);

}  // namespace delivery
