// Tests of the division of file descriptors and memory between clients, operators and endpoints.
#include "network/descriptor_budget.h"

#include <gtest/gtest.h>

#include "common/deadline.h"
#include "protocol/json_fields.h"

namespace delivery {
namespace {

constexpr std::int64_t kMegabyte = 1'000'000;

TEST(DescriptorBudget, KeepsReservesFreeAndOpenRequestsWithinAThird) {
  const DescriptorBudget budget = computeDescriptorBudget({256, 32 * kMegabyte, 30}, false);
  EXPECT_LE(budget.max_clients + budget.max_endpoint_connections,
            256 - 28 - 20);  // reserved: 28 for this process, 20 for a successor
  EXPECT_EQ(85, budget.max_open_requests);
  EXPECT_LE(budget.max_open_requests, budget.max_clients);
  EXPECT_GE(budget.max_endpoint_connections, 30);
  EXPECT_EQ(4'000'000u, budget.max_pooled_bytes);
  const DescriptorBudget shared = computeDescriptorBudget({256, 32 * kMegabyte, 30}, true);
  EXPECT_LE(shared.max_clients + shared.max_endpoint_connections + 28 + 30,
            256 - 28);  // the predecessor has 28 of its own and up to 30 calls
}

TEST(DescriptorBudget, NamesTheSettingThatDoesNotCoverTheReserves) {
  const auto error_of = [](const ProcessLimits& limits) {
    try {
      computeDescriptorBudget(limits, false);
    } catch (const InvalidInput& error) {
      return std::string(error.what());
    }
    return std::string();
  };
  EXPECT_EQ("", error_of({86, 32 * kMegabyte, 30}));
  EXPECT_EQ("limits.sockets is too small: 85 of at least 86", error_of({85, 32 * kMegabyte, 30}));
  EXPECT_EQ("", error_of({256, 2 * kMegabyte, 30}));
  EXPECT_EQ("limits.memory_mb is too small: 1 of at least 2", error_of({256, kMegabyte, 30}));
}

}  // namespace
}  // namespace delivery
