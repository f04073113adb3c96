// Membership: the endpoint list, and events that name no known message or endpoint.
#include <algorithm>

#include "support/scheduler_fixture.h"

using namespace delivery;
using Ids = std::vector<std::string>;

namespace {

TEST(Membership, NothingIsSentToADrainingEndpoint) {
  SchedulerDriver driver;
  driver.updateEndpoints({makeEndpoint("e1", 1)});
  EndpointInfo e = makeEndpoint("e1", 1);
  e.state = EndpointState::draining;
  driver.advanceTo(kSecond).updateEndpoints({e}, EndpointUpdateKind::delta);
  EXPECT_TRUE(driver.advanceTo(kSecond + 5 * kMillisecond).submit("m1", "idempotent", 1).empty());
  EXPECT_TRUE(driver.advanceTo(19 * kSecond).fireTimer().empty());
  driver.advanceTo(kSecond + 20 * kSecond).fireTimer();
  EXPECT_EQ(driver.actionsOfType<Fail>().size() + driver.actionsOfType<Reject>().size(), 1u);
}

TEST(Membership, FailedSubscriptionIsRepeated) {
  Settings settings = makeSettings();
  settings.discovery_mode = DiscoveryMode::poll;
  SchedulerDriver driver(settings);
  driver.updateEndpoints({makeEndpoint("e1", 1)});
  EXPECT_EQ(driver.actionsOfType<delivery::SubscribeEndpoints>().size(), 1u);
  driver.advanceTo(kSecond).decide({EndpointsChanged{EndpointUpdateKind::failed, {}}});
  EXPECT_TRUE(driver.actionsOfType<delivery::SubscribeEndpoints>().empty());
  std::size_t asked = 0;
  for (int i = 0; i < 100; ++i) {
    driver.advanceTo(kSecond + 50 * kMillisecond * (i + 1)).fireTimer();
    asked += driver.actionsOfType<delivery::SubscribeEndpoints>().size();
  }
  EXPECT_EQ(asked, 1u);
}

TEST(Membership, EventsForUnknownMessagesChangeNothing) {
  SchedulerDriver driver;
  driver.updateEndpoints({makeEndpoint("e1", 1)});
  EXPECT_TRUE(driver.decide({AttemptOutcome{}, Abandoned{"nobody"}}).empty());
  EXPECT_TRUE(driver.submit("odd", "no such class", 1).empty());
  EXPECT_EQ(driver.actionsOfType<Fail>().size(), 1u);  // an answer is due all the same
  EXPECT_EQ(driver.submit("m", "idempotent", 1), Ids{"m"});
}

}  // namespace
