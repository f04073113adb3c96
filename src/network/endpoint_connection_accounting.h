// Counts the connections to endpoints. Decides whether one may be opened or kept idle, and which idle
// connection is closed to make room. It does no input or output: EndpointPool owns the sockets.
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

  // Whether one more connection to the endpoint may be opened.
  bool canOpen(const std::string& endpoint) const;
  // Whether one more connection to any endpoint may be kept idle.
  bool canKeepIdle() const { return idle_ < budget_.max_idle_connections; }

  // Events of a connection. It is opening first, and then either in use by a call or idle between two calls.
  void onOpening(const std::string& endpoint);
  void onOpened(const std::string& endpoint);      // an opening one is in use now
  void onOpenFailed(const std::string& endpoint);  // an opening one is closed
  void onIdle(const std::string& endpoint);        // one in use is kept idle after its call
  void onReused(const std::string& endpoint);      // an idle one is in use again
  void onClosed(const std::string& endpoint);      // one in use is closed
  void onIdleClosed(const std::string& endpoint, std::size_t count = 1);

  // Each of these returns the endpoint whose oldest idle connection is to be closed, or nullopt if none is.
  // To keep a connection to `endpoint` idle:
  std::optional<std::string> idleEvictionCandidate(const std::string& endpoint) const;
  // To open a connection to `endpoint`:
  std::optional<std::string> evictionCandidateToOpen(const std::string& endpoint) const;
  // After a new budget allows fewer idle connections than there are:
  std::optional<std::string> excessIdleCandidate() const;

  // Totals over all endpoints.
  std::size_t idleCount() const { return static_cast<std::size_t>(idle_); }
  std::int64_t connectionCount() const { return opening_ + in_use_ + idle_; }

 private:
  struct Usage {
    std::int64_t opening = 0;
    std::int64_t in_use = 0;
    std::int64_t idle = 0;
  };
  // Whether the budget allows no more connections.
  bool isExhausted() const { return connectionCount() >= budget_.max_endpoint_connections; }
  void eraseIfUnused(const std::string& endpoint);

  DescriptorBudget budget_;
  std::map<std::string, Usage> usage_;  // by endpoint; only those with connections
  // Totals over all endpoints.
  std::int64_t opening_ = 0;
  std::int64_t in_use_ = 0;
  std::int64_t idle_ = 0;
};

}  // namespace delivery
