// Membership: the endpoint list, and events that name no known message or endpoint.
#include <algorithm>

#include "support/scheduler_fixture.h"

using namespace delivery;
using Ids = std::vector<std::string>;

namespace {

TEST(Membership, NothingIsSentToADrainingEndpoint) {
  SchedulerDriver driver;
  driver.list({makeEndpoint("e1", 1)});
  EndpointInfo e = makeEndpoint("e1", 1);
  e.state = EndpointState::draining;
  driver.at(kSecond).list({e}, EndpointUpdateKind::delta);
  EXPECT_TRUE(driver.at(kSecond + 5 * kMillisecond).arrive("m1", "safe", 1).empty());
  EXPECT_TRUE(driver.at(19 * kSecond).wake().empty());
  driver.at(kSecond + 20 * kSecond).wake();
  EXPECT_EQ(driver.got<Fail>().size() + driver.got<Reject>().size(), 1u);
}

TEST(Membership, FailedSubscriptionIsRepeated) {
  Settings settings = makeSettings();
  settings.discovery_mode = DiscoveryMode::poll;
  SchedulerDriver driver(settings);
  driver.list({makeEndpoint("e1", 1)});
  EXPECT_EQ(driver.got<delivery::SubscribeEndpoints>().size(), 1u);
  driver.at(kSecond).run({EndpointsChanged{EndpointUpdateKind::failed, {}}});
  EXPECT_TRUE(driver.got<delivery::SubscribeEndpoints>().empty());
  std::size_t asked = 0;
  for (int i = 0; i < 100; ++i) {
    driver.at(kSecond + 50 * kMillisecond * (i + 1)).wake();
    asked += driver.got<delivery::SubscribeEndpoints>().size();
  }
  EXPECT_EQ(asked, 1u);
}

TEST(Membership, EventsForUnknownMessagesChangeNothing) {
  SchedulerDriver driver;
  driver.list({makeEndpoint("e1", 1)});
  EXPECT_TRUE(driver.run({AttemptOutcome{}, Abandoned{"nobody"}}).empty());
  EXPECT_TRUE(driver.arrive("odd", "no such class", 1).empty());
  EXPECT_EQ(driver.got<Fail>().size(), 1u);  // an answer is due all the same
  EXPECT_EQ(driver.arrive("m", "safe", 1), Ids{"m"});
}

}  // namespace
