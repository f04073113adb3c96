// Reads the socket addresses that configuration and discovery name.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace delivery {

// "10.0.0.4:6379" or "[::1]:6379"; names are not looked up. Throws std::invalid_argument.
boost::asio::ip::tcp::endpoint parseAddress(const std::string& address);

}  // namespace delivery
