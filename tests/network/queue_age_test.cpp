// Since when what is taken out of a queue of the kernel's may have waited there, on made-up time.
#include "network/queue_age.h"

#include <gtest/gtest.h>

namespace delivery {
namespace {

constexpr Micros kMs = 1000;

TEST(QueueAge, IsTheTimeOfTakingForWhatIsSeenAsItComes) {
  QueueAge w(INT64_MIN / 4);
  w.seenEmpty();
  w.seenFull(5000 * kMs);
  EXPECT_EQ(5000 * kMs, w.from(5000 * kMs));
  EXPECT_EQ(5000 * kMs, w.from(5003 * kMs)) << "not taken at once";
  w.taken(5003 * kMs);
  EXPECT_EQ(5003 * kMs, w.from(5090 * kMs)) << "the next came after what was taken";
}

TEST(QueueAge, GoesNoFurtherBackThanAClientWaits) {
  QueueAge w(INT64_MIN / 4);
  EXPECT_EQ(4600 * kMs, w.from(5000 * kMs)) << "nobody knows since when";
  w.seenEmpty();
  w.seenFull(5000 * kMs);
  w.seenFull(5300 * kMs);
  EXPECT_EQ(5000 * kMs, w.from(5400 * kMs)) << "others came behind the first";
  EXPECT_EQ(5600 * kMs, w.from(6000 * kMs));
  EXPECT_EQ(4900 * kMs, w.from(4900 * kMs));
}

}  // namespace
}  // namespace delivery
