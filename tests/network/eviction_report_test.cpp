// Tests of the log lines about a period with evictions, with simulated time.
#include "network/eviction_report.h"

#include <gtest/gtest.h>

#include <string>

#include "support/connection_fixture.h"

namespace delivery {
namespace {

// Returns the log lines that one call of pollEvictionEvent() leads to.
std::string polledLog(ClientAdmission& clients, Micros now) {
  ::testing::internal::CaptureStderr();
  if (const auto event = clients.pollEvictionEvent(now)) {
    logEvictionEvent(*event);
  }
  return ::testing::internal::GetCapturedStderr();
}

TEST(EvictionReport, IsLoggedWhenItStartsAndWhenItHasEnded) {
  ClientAdmission clients(smallBudget(1));
  EXPECT_EQ("", polledLog(clients, 0));
  const ConnectionId id = clients.onAccepted("10.0.0.9", 0);
  clients.onEvicted(id, kSecond);
  EXPECT_EQ("level=warning component=connections event=eviction_started connections=1 limit=1 peers=1\n",
            polledLog(clients, kSecond));
  clients.onClosed(id);
  EXPECT_EQ("", polledLog(clients, kSecond + 500 * kMs));
  clients.onEvicted(clients.onAccepted("10.0.0.9", kSecond), kSecond + 600 * kMs);
  EXPECT_EQ(
      "level=info component=connections event=eviction_ended duration_ms=600 evicted=2 top_peer=10.0.0.9 "
      "top_peer_evicted=2\n",
      polledLog(clients, 3 * kSecond));
  EXPECT_FALSE(clients.isEvictionPeriodActive());
}

}  // namespace
}  // namespace delivery
