// Parses the socket addresses in the configuration and in discovery's endpoint list.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace delivery {

// Parses "10.0.0.4:6379" or "[::1]:6379". Host names are not accepted. Throws std::invalid_argument if the
// address is malformed.
boost::asio::ip::tcp::endpoint parseAddress(const std::string& address);

}  // namespace delivery
