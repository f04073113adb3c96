// Admission at the control address, on made-up time.
#include "network/control_admission.h"

#include <gtest/gtest.h>

#include <vector>

#include "network/connection_admission.h"
#include "support/connection_fixture.h"

namespace delivery {
namespace {

TEST(ControlAdmission, TheOldestConnectionIsEvictedWhenAllPlacesAreTaken) {
  ConnectionAdmission connections(smallBudget(1));
  std::vector<ConnectionId> all;
  for (Micros at = 0; at < kMaxControlConnections; ++at) {
    EXPECT_FALSE(connections.control.evictionCandidate());
    all.push_back(connections.control.onAccepted(at));
  }
  EXPECT_EQ(all[0], *connections.control.evictionCandidate());
  connections.control.onClosed(all[0]);
  EXPECT_FALSE(connections.control.evictionCandidate());
  EXPECT_EQ(std::vector<ConnectionId>{all[1]}, connections.control.overdue(2 * kSecond + 1));
  EXPECT_TRUE(connections.clients.hasCapacity()) << "control connections take nothing from clients";
}

}  // namespace
}  // namespace delivery
