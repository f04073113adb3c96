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

// Guards against a list of discovery that takes more memory than the process has. With the least memory, a
// list of 3,200 endpoints can be read: each has some 200 bytes and nine values.
TEST(DescriptorBudget, LimitsAListByTheMemory) {
  const DescriptorBudget small = computeDescriptorBudget({256, 32 * kMegabyte, 30}, false);
  EXPECT_EQ(2'000'000u, small.max_endpoint_list_bytes);
  EXPECT_EQ(62'500u, small.max_endpoint_list_values);
  EXPECT_GE(small.max_endpoint_list_values, 3200u * 9);
  EXPECT_EQ(8u << 20, computeDescriptorBudget({256, 192 * kMegabyte, 30}, false).max_endpoint_list_bytes);
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
