// Tests of the rule that says how long a connection must have been quiet before its next request.
#include "network/quiet_time_policy.h"

#include <gtest/gtest.h>

namespace delivery {
namespace {

constexpr Micros kStart = 1'000'000'000;
constexpr Micros kSecond = 1'000'000;

TEST(QuietTimePolicy, IsTwiceTheLongestGapOfTheEndpointWithinItsBounds) {
  QuietTimePolicy policy;
  EXPECT_EQ(kMinQuietTime, policy.quietTime("e", kStart));
  EXPECT_EQ(1, policy.onUnsolicitedData("e", 0, kStart));
  EXPECT_EQ(kMinQuietTime, policy.quietTime("e", kStart));
  EXPECT_EQ(2, policy.onUnsolicitedData("e", 20'000, kStart));
  EXPECT_EQ(3, policy.onUnsolicitedData("e", 8'000, kStart));
  EXPECT_EQ(40'000, policy.quietTime("e", kStart));
  EXPECT_EQ(kMinQuietTime, policy.quietTime("other", kStart));
  policy.onUnsolicitedData("e", 90'000, kStart);
  EXPECT_EQ(kMaxQuietTime, policy.quietTime("e", kStart));
}

// Data that comes long after a response, such as a notice before an idle connection is closed, is counted,
// but no quiet time can wait for it.
TEST(QuietTimePolicy, AGapBeyondTheLongestQuietTimeIsCountedOnly) {
  QuietTimePolicy policy;
  EXPECT_EQ(1, policy.onUnsolicitedData("e", kMaxQuietTime + 1, kStart));
  EXPECT_EQ(kMinQuietTime, policy.quietTime("e", kStart));
}

TEST(QuietTimePolicy, AGapIsForgottenAMinuteAfterTheLatestOne) {
  QuietTimePolicy policy;
  policy.onUnsolicitedData("e", 30'000, kStart);
  policy.onUnsolicitedData("e", 6'000, kStart + 59 * kSecond);
  EXPECT_EQ(60'000, policy.quietTime("e", kStart + 118 * kSecond));
  EXPECT_EQ(kMinQuietTime, policy.quietTime("e", kStart + 119 * kSecond));
  EXPECT_EQ(3, policy.onUnsolicitedData("e", 6'000, kStart + 119 * kSecond));
  EXPECT_EQ(12'000, policy.quietTime("e", kStart + 119 * kSecond));
}

}  // namespace
}  // namespace delivery
