// Divides the file descriptors and the memory of one process between clients, operators and endpoints.
#pragma once

#include <cstddef>
#include <cstdint>

namespace delivery {

// Connections at the control address at one time; fixed, as operators must get in under any load.
constexpr std::int64_t kMaxControlConnections = 8;

// What the configuration allows one process.
struct ProcessLimits {
  std::int64_t sockets = 0;  // file descriptors
  std::int64_t memory_bytes = 0;
  int call_slots = 0;  // calls to endpoints in flight at once
};

struct DescriptorBudget {
  std::int64_t max_clients = 0;                  // connections of clients
  std::int64_t max_open_requests = 0;            // of these, with a request that is being processed
  std::int64_t max_endpoint_connections = 0;     // connections to endpoints, idle ones included
  std::int64_t max_idle_connections = 0;         // of these, idle ones
  std::int64_t max_handshakes_per_endpoint = 0;  // of these, being opened to one endpoint
  std::size_t max_pooled_bytes = 0;  // buffered requests, beyond kUnpooledBytes of each connection
};

// `shares_with_older`: a process that only completes its calls, after a handover, holds descriptors too.
// Throws InvalidInput that names the setting when the limits don't cover the reserves.
DescriptorBudget computeDescriptorBudget(const ProcessLimits& limits, bool shares_with_older);

}  // namespace delivery
