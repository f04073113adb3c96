// Tests of the table of deadlines: which deadline is next, and which have passed.
#include "network/deadline_table.h"

#include <gtest/gtest.h>

namespace delivery {
namespace {

TEST(DeadlineTable, ReturnsOverdueConnectionsInTheOrderOfTheirDeadlines) {
  DeadlineTable deadlines;
  EXPECT_EQ(kNoDeadline, deadlines.next());
  deadlines.set(1, 300);
  deadlines.set(2, 100);
  deadlines.set(3, 100);
  deadlines.set(4, 200);
  EXPECT_EQ(100, deadlines.next());
  EXPECT_TRUE(deadlines.overdue(99).empty());
  EXPECT_EQ((std::vector<ConnectionId>{2, 3, 4}), deadlines.overdue(200));
}

TEST(DeadlineTable, HasAtMostOneDeadlineForEachConnection) {
  DeadlineTable deadlines;
  deadlines.set(1, 100);
  deadlines.set(1, 300);
  EXPECT_EQ(300, deadlines.deadlineOf(1));
  EXPECT_TRUE(deadlines.overdue(299).empty());
  deadlines.set(1, kNoDeadline);
  EXPECT_EQ(kNoDeadline, deadlines.deadlineOf(1));
  EXPECT_EQ(kNoDeadline, deadlines.next());
  deadlines.set(2, 100);
  deadlines.erase(2);
  deadlines.erase(2);
  EXPECT_EQ(kNoDeadline, deadlines.deadlineOf(2));
  EXPECT_TRUE(deadlines.overdue(1000).empty());
}

}  // namespace
}  // namespace delivery
