// Tests of parsing the socket addresses in the configuration and in discovery's endpoint list.
#include "network/socket_address.h"

#include <gtest/gtest.h>

#include <stdexcept>
#include <string>

namespace delivery {
namespace {

TEST(SocketAddress, ParsesNumericAddressesWithAPort) {
  const auto v4 = parseAddress("10.0.0.4:6379");
  EXPECT_EQ("10.0.0.4", v4.address().to_string());
  EXPECT_EQ(6379, v4.port());
  const auto v6 = parseAddress("[::1]:65535");
  EXPECT_EQ("::1", v6.address().to_string());
  EXPECT_EQ(65535, v6.port());
}

// Guards against an address that is valid and too long for the Host field: leading zeros of a scope.
TEST(SocketAddress, RejectsAnAddressThatIsTooLong) {
  const std::string longest = "[ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff%0000000001]:65535";
  EXPECT_EQ(65535, parseAddress(longest).port());
  EXPECT_THROW(parseAddress("[::1%" + std::string(66'000, '0') + "]:80"), std::invalid_argument);
}

TEST(SocketAddress, RejectsAnythingElse) {
  for (const char* address : {"", "10.0.0.4", "10.0.0.4:", ":6379", "10.0.0.4:65536", "10.0.0.4:123456",
                              "10.0.0.4:-1", "10.0.0.4:6x", "localhost:6379", "[]:6379"}) {
    EXPECT_THROW(parseAddress(address), std::invalid_argument) << address;
  }
}

}  // namespace
}  // namespace delivery
