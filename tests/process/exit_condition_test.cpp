// Tests of the rule that decides when a process exits, for each ownership state.
#include "process/exit_condition.h"

#include <gtest/gtest.h>

namespace delivery {
namespace {

constexpr Micros kSecond = 1'000'000;

ExitConditions idleIn(OwnershipState ownership) {
  ExitConditions conditions;
  conditions.ownership = ownership;
  conditions.active_role_idle = true;
  return conditions;
}

TEST(ExitCondition, WithoutAStopAProcessThatServesOrWaitsKeepsRunning) {
  for (const OwnershipState state :
       {OwnershipState::waiting, OwnershipState::active, OwnershipState::handing_over}) {
    ExitConditions conditions = idleIn(state);
    conditions.time_awaiting_ownership = 100 * kSecond;
    EXPECT_FALSE(mayExit(conditions));
  }
}

TEST(ExitCondition, AStopEndsAProcessThatWaitsAtOnce) {
  ExitConditions conditions = idleIn(OwnershipState::waiting);
  conditions.time_since_stop = 0;
  EXPECT_TRUE(mayExit(conditions));
}

TEST(ExitCondition, AStopEndsAnActiveProcessOnceItIsIdleAndTheGracePeriodForLateClientsHasPassed) {
  ExitConditions conditions = idleIn(OwnershipState::active);
  conditions.time_since_stop = 600'000;
  EXPECT_FALSE(mayExit(conditions));
  conditions.time_since_stop = 600'001;
  EXPECT_TRUE(mayExit(conditions));
  conditions.calls_in_flight = true;
  EXPECT_FALSE(mayExit(conditions));
  conditions.calls_in_flight = false;
  conditions.active_role_idle = false;
  EXPECT_FALSE(mayExit(conditions));
}

TEST(ExitCondition, EveryProcessEndsAtTheShutdownTimeout) {
  for (const OwnershipState state : {OwnershipState::waiting, OwnershipState::active,
                                     OwnershipState::handing_over, OwnershipState::released}) {
    ExitConditions conditions;
    conditions.ownership = state;
    conditions.calls_in_flight = true;
    conditions.has_successor = true;
    conditions.time_since_stop = 3'400'000;
    EXPECT_TRUE(mayExit(conditions));
  }
}

TEST(ExitCondition, AProcessThatHandsOverKeepsRunningUntilItHasReleasedTheJournal) {
  ExitConditions conditions = idleIn(OwnershipState::handing_over);
  conditions.has_successor = true;
  conditions.time_since_stop = 3'399'999;
  EXPECT_FALSE(mayExit(conditions));
}

TEST(ExitCondition, AProcessThatHandedOverEndsOnceItsCallsEndedAndTheSuccessorHasTheirOutcomes) {
  ExitConditions conditions;
  conditions.ownership = OwnershipState::released;
  conditions.has_successor = true;
  conditions.all_sent_to_successor = true;
  conditions.time_awaiting_ownership = 100 * kSecond;
  EXPECT_FALSE(mayExit(conditions));
  conditions.successor_serves = true;
  EXPECT_TRUE(mayExit(conditions));
  conditions.calls_in_flight = true;
  EXPECT_FALSE(mayExit(conditions));
  conditions.calls_in_flight = false;
  conditions.all_sent_to_successor = false;
  EXPECT_FALSE(mayExit(conditions));
  conditions.all_sent_to_successor = true;
  conditions.successor_serves = false;
  conditions.time_since_stop = 0;
  EXPECT_TRUE(mayExit(conditions));
}

TEST(ExitCondition, AProcessThatLostItsSuccessorEndsIfItCannotLockTheJournalAgain) {
  ExitConditions conditions;
  conditions.ownership = OwnershipState::released;
  conditions.calls_in_flight = true;
  conditions.time_awaiting_ownership = kSecond;
  EXPECT_FALSE(mayExit(conditions));
  conditions.time_awaiting_ownership = kSecond + 1;
  EXPECT_TRUE(mayExit(conditions));
  conditions.time_awaiting_ownership = 0;
  conditions.time_since_stop = 0;
  EXPECT_TRUE(mayExit(conditions));
}

}  // namespace
}  // namespace delivery
