// Since when what is taken out of a queue of the kernel's may have waited there, on made-up time.
#include "network/queue_age.h"

#include <gtest/gtest.h>

namespace delivery {
namespace {

constexpr Micros kMs = 1000;

TEST(QueueAge, IsTheTimeOfTakingForWhatIsSeenAsItComes) {
  QueueAge age(INT64_MIN / 4);
  age.onEmpty();
  age.onReadable(5000 * kMs);
  EXPECT_EQ(5000 * kMs, age.earliestArrival(5000 * kMs));
  EXPECT_EQ(5000 * kMs, age.earliestArrival(5003 * kMs)) << "not taken at once";
  age.onAllTaken(5003 * kMs);
  EXPECT_EQ(5003 * kMs, age.earliestArrival(5090 * kMs)) << "the next came after what was taken";
}

TEST(QueueAge, GoesNoFurtherBackThanAClientWaits) {
  QueueAge age(INT64_MIN / 4);
  EXPECT_EQ(4600 * kMs, age.earliestArrival(5000 * kMs)) << "nobody knows since when";
  age.onEmpty();
  age.onReadable(5000 * kMs);
  age.onReadable(5300 * kMs);
  EXPECT_EQ(5000 * kMs, age.earliestArrival(5400 * kMs)) << "others came behind the first";
  EXPECT_EQ(5600 * kMs, age.earliestArrival(6000 * kMs));
  EXPECT_EQ(4900 * kMs, age.earliestArrival(4900 * kMs));
}

}  // namespace
}  // namespace delivery
