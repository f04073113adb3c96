// Counts the connections to endpoints, and says when one may be opened or kept idle and which idle one has
// to make room. Plain rules: the sockets are in EndpointPool.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "network/descriptor_budget.h"

namespace delivery {

class EndpointConnectionAccounting {
 public:
  explicit EndpointConnectionAccounting(const DescriptorBudget& budget) : budget_(budget) {}
  void setBudget(const DescriptorBudget& budget) { budget_ = budget; }

  bool canOpen(const std::string& endpoint) const;
  bool canKeepIdle() const { return idle_ < budget_.max_idle_connections; }

  // What happened to a connection: it is opening, then in use by a call or idle between two.
  void onOpening(const std::string& endpoint);
  void onOpened(const std::string& endpoint);  // and in use
  void onOpenFailed(const std::string& endpoint);
  void onIdle(const std::string& endpoint);    // its call has completed
  void onReused(const std::string& endpoint);  // an idle one is in use again
  void onClosed(const std::string& endpoint);  // one in use
  void onIdleClosed(const std::string& endpoint, std::size_t count = 1);

  // The endpoint whose oldest idle connection is closed, if any is:
  // so that one to `endpoint` can be kept idle,
  std::optional<std::string> idleEvictionCandidate(const std::string& endpoint) const;
  // so that one to `endpoint` can be opened,
  std::optional<std::string> evictionCandidateToOpen(const std::string& endpoint) const;
  // or as there are more idle ones than a new budget allows.
  std::optional<std::string> excessIdleCandidate() const;

  std::size_t idleCount() const { return static_cast<std::size_t>(idle_); }
  std::int64_t connectionCount() const { return opening_ + in_use_ + idle_; }

 private:
  struct Usage {
    std::int64_t opening = 0;
    std::int64_t in_use = 0;
    std::int64_t idle = 0;
  };
  bool isExhausted() const { return connectionCount() >= budget_.max_endpoint_connections; }
  void eraseIfUnused(const std::string& endpoint);

  DescriptorBudget budget_;
  std::map<std::string, Usage> usage_;  // by endpoint
  // Totals over all endpoints.
  std::int64_t opening_ = 0;
  std::int64_t in_use_ = 0;
  std::int64_t idle_ = 0;
};

}  // namespace delivery
