// Tests of the limits on connections to endpoints: on handshakes, on all connections and on idle ones.
#include "network/endpoint_connection_accounting.h"

#include <gtest/gtest.h>

#include "support/connection_fixture.h"

namespace delivery {
namespace {

TEST(EndpointConnectionAccounting, HandshakesAndIdleConnectionsAreBounded) {
  EndpointConnectionAccounting connections(smallBudget(1));
  EXPECT_TRUE(connections.canOpen("e"));
  connections.onOpening("e");
  connections.onOpening("e");
  EXPECT_FALSE(connections.canOpen("e"));
  EXPECT_TRUE(connections.canOpen("f"));
  connections.onOpened("e");
  EXPECT_TRUE(connections.canOpen("e"));
  connections.onOpenFailed("e");
  connections.onClosed("e");
  EXPECT_EQ(0, connections.connectionCount());
  for (const char* endpoint : {"e", "e", "e", "f"}) {
    connections.onOpening(endpoint);
    connections.onOpened(endpoint);
    ASSERT_TRUE(connections.canKeepIdle());
    connections.onIdle(endpoint);
  }
  EXPECT_FALSE(connections.canKeepIdle());
  EXPECT_EQ("e", connections.idleEvictionCandidate("f").value_or(""))
      << "the endpoint with the most idle connections makes room";
  EXPECT_FALSE(connections.idleEvictionCandidate("e"));
  EXPECT_FALSE(connections.evictionCandidateToOpen("g")) << "there is room for one more connection";
  for (int i = 0; i < 8; ++i) {
    connections.onOpening("g" + std::to_string(i));
    connections.onOpened("g" + std::to_string(i));
  }
  EXPECT_FALSE(connections.canOpen("g"));
  EXPECT_EQ("e", connections.evictionCandidateToOpen("g").value_or(""));
  EXPECT_FALSE(connections.excessIdleCandidate());
  DescriptorBudget fewer = smallBudget(1);
  fewer.max_idle_connections = 2;
  connections.setBudget(fewer);
  EXPECT_EQ("e", connections.excessIdleCandidate().value_or(""));
}

}  // namespace
}  // namespace delivery
