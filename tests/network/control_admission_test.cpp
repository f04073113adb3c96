// Tests of the admission control for the control address, with simulated time.
#include "network/control_admission.h"

#include <gtest/gtest.h>

#include <vector>

#include "network/connection_admission.h"
#include "support/connection_fixture.h"

namespace delivery {
namespace {

TEST(ControlAdmission, TheOldestConnectionIsEvictedAtTheLimit) {
  ConnectionAdmission connections(smallBudget(1));
  std::vector<ConnectionId> ids;
  for (Micros now = 0; now < kMaxControlConnections; ++now) {
    EXPECT_FALSE(connections.control.evictionCandidate());
    ids.push_back(connections.control.onAccepted(now));
  }
  EXPECT_EQ(ids[0], *connections.control.evictionCandidate());
  connections.control.onClosed(ids[0]);
  EXPECT_FALSE(connections.control.evictionCandidate());
  EXPECT_EQ(std::vector<ConnectionId>{ids[1]}, connections.control.overdue(2 * kSecond + 1));
  EXPECT_TRUE(connections.clients.hasCapacity()) << "control connections must not use the budget of clients";
}

}  // namespace
}  // namespace delivery
