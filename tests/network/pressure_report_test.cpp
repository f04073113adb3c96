// The log lines of a stretch of pressure, on made-up time.
#include "network/pressure_report.h"

#include <gtest/gtest.h>

#include <string>

#include "support/connection_fixture.h"

namespace delivery {
namespace {

// The log lines of one call of pollPressure().
std::string polledLog(ClientAdmission& clients, Micros now) {
  ::testing::internal::CaptureStderr();
  if (const auto event = clients.pollPressure(now)) {
    logPressureEvent(*event);
  }
  return ::testing::internal::GetCapturedStderr();
}

TEST(PressureReport, IsLoggedWhenItStartsAndWhenItHasEnded) {
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
  EXPECT_FALSE(clients.isUnderPressure());
}

}  // namespace
}  // namespace delivery
