// Tests of the estimate of how long input may have waited in a queue of the kernel, with simulated time.
#include "network/queue_age.h"

#include <gtest/gtest.h>

namespace delivery {
namespace {

constexpr Micros kMs = 1000;

TEST(QueueAge, IsExactForInputThatIsObservedWhenItArrives) {
  QueueAge age(INT64_MIN / 4);
  age.onEmpty();
  age.onReadable(5000 * kMs);
  EXPECT_EQ(5000 * kMs, age.earliestArrival(5000 * kMs));
  EXPECT_EQ(5000 * kMs, age.earliestArrival(5003 * kMs))
      << "the input was read 3 ms after it became readable";
  age.onAllRead(5003 * kMs);
  EXPECT_EQ(5003 * kMs, age.earliestArrival(5090 * kMs))
      << "the next input arrived after the previous input was read";
}

TEST(QueueAge, IsAtMostTheTimeForWhichAClientWaits) {
  QueueAge age(INT64_MIN / 4);
  EXPECT_EQ(4600 * kMs, age.earliestArrival(5000 * kMs)) << "the queue was never observed to be empty";
  age.onEmpty();
  age.onReadable(5000 * kMs);
  age.onReadable(5300 * kMs);
  EXPECT_EQ(5000 * kMs, age.earliestArrival(5400 * kMs))
      << "later input does not change the age of the first";
  EXPECT_EQ(5600 * kMs, age.earliestArrival(6000 * kMs));
  EXPECT_EQ(4900 * kMs, age.earliestArrival(4900 * kMs));
}

}  // namespace
}  // namespace delivery
