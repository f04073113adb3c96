#include "network/socket_address.h"

#include <boost/asio/ip/address.hpp>
#include <optional>
#include <stdexcept>

namespace delivery {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// The longest form: an IPv6 address of 39 characters with brackets, a scope of 10 digits and a port.
constexpr std::size_t kMaxAddressBytes = 39 + 2 + 11 + 6;
constexpr int kMaxPort = 65535;
constexpr std::size_t kMaxPortDigits = 5;

std::optional<unsigned short> parsePort(const std::string& text) {
  const bool is_number = !text.empty() && text.size() <= kMaxPortDigits &&
                         text.find_first_not_of("0123456789") == std::string::npos;
  if (!is_number) {
    return std::nullopt;
  }
  const int port = std::stoi(text);
  if (port > kMaxPort) {
    return std::nullopt;
  }
  return static_cast<unsigned short>(port);
}

std::string withoutBrackets(const std::string& host) {
  const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
  return bracketed ? host.substr(1, host.size() - 2) : host;
}

}  // namespace

tcp::endpoint parseAddress(const std::string& address) {
  const auto colon = address.rfind(':');
  if (colon != std::string::npos && address.size() <= kMaxAddressBytes) {
    boost::system::error_code invalid;
    const auto ip = asio::ip::make_address(withoutBrackets(address.substr(0, colon)), invalid);
    const auto port = parsePort(address.substr(colon + 1));
    if (!invalid && port) {
      return {ip, *port};
    }
  }
  throw std::invalid_argument("not an IP address and port: " + address.substr(0, kMaxAddressBytes));
}

}  // namespace delivery
