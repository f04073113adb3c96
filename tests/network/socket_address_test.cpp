// Tests of parsing the socket addresses in the configuration and in discovery's endpoint list.
#include "network/socket_address.h"

#include <gtest/gtest.h>

#include <stdexcept>

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

TEST(SocketAddress, RejectsAnythingElse) {
  for (const char* address : {"", "10.0.0.4", "10.0.0.4:", ":6379", "10.0.0.4:65536", "10.0.0.4:123456",
                              "10.0.0.4:-1", "10.0.0.4:6x", "localhost:6379", "[]:6379"}) {
    EXPECT_THROW(parseAddress(address), std::invalid_argument) << address;
  }
}

}  // namespace
}  // namespace delivery
