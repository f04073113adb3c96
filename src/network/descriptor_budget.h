// Divides the file descriptors and the buffer memory of one process between clients, operators and endpoints.
#pragma once

#include <cstddef>
#include <cstdint>

namespace delivery {

// The maximum number of connections to the control address. The number is fixed, so that operators can
// connect under any load.
constexpr std::int64_t kMaxControlConnections = 8;

// The limits that the configuration sets for one process.
struct ProcessLimits {
  std::int64_t sockets = 0;  // file descriptors of all kinds
  std::int64_t memory_bytes = 0;
  int call_slots = 0;  // maximum number of calls to endpoints in flight
};

// The limits on connections that follow from the limits of the process.
struct DescriptorBudget {
  std::int64_t max_clients = 0;                  // client connections
  std::int64_t max_open_requests = 0;            // client connections with a request that is being processed
  std::int64_t max_endpoint_connections = 0;     // connections to endpoints, including idle ones
  std::int64_t max_idle_connections = 0;         // idle connections to endpoints
  std::int64_t max_handshakes_per_endpoint = 0;  // connections being opened to one endpoint
  // Bytes of buffered requests, without the first kUnpooledBytes of each connection.
  std::size_t max_pooled_bytes = 0;
  // Of one answer of discovery: its bytes, and the JSON values in it.
  std::size_t max_endpoint_list_bytes = 0;
  std::size_t max_endpoint_list_values = 0;
};

// `shares_with_predecessor`: after a handover, the predecessor still completes its calls and holds
// descriptors for them. Throws InvalidInput with the name of the setting if the limits do not cover the
// reserved descriptors or memory.
DescriptorBudget computeDescriptorBudget(const ProcessLimits& limits, bool shares_with_predecessor);

}  // namespace delivery
