#include "network/descriptor_budget.h"

#include <algorithm>
#include <string>

#include "protocol/json_fields.h"
#include "protocol/resp.h"

namespace delivery {

namespace {

// Descriptors of one process other than its connections to clients and endpoints: standard streams, event
// loop, signals, journal, lock, handover links, listeners, connections for the watch and for notices, and
// control connections.
constexpr std::int64_t kOwnDescriptors = 20 + kMaxControlConnections;
// Descriptors of a successor that may be starting while this process serves. It has no clients, journal or
// discovery connections yet.
constexpr std::int64_t kSuccessorDescriptors = 12 + kMaxControlConnections;
constexpr std::int64_t kMinClients = 8;  // also the minimum for clients and idle connections together

constexpr std::int64_t kIdleConnectionsDivisor = 4;  // a quarter of the shared capacity
constexpr std::int64_t kOpenRequestsDivisor = 3;     // a third of all descriptors
constexpr std::int64_t kPooledMemoryDivisor = 8;     // an eighth of the memory
// Reading a list takes several times its size, and some hundred bytes for each value while it is replaced.
constexpr std::int64_t kEndpointListMemoryDivisor = 16;
constexpr std::int64_t kMemoryPerEndpointListValue = 512;
constexpr std::int64_t kMaxEndpointListBytes = 8 << 20;
constexpr std::int64_t kBytesPerMegabyte = 1'000'000;

std::int64_t megabytesRoundedUp(std::int64_t bytes) {
  return (bytes + kBytesPerMegabyte - 1) / kBytesPerMegabyte;
}

InvalidInput tooSmall(const std::string& setting, std::int64_t value, std::int64_t minimum) {
  return InvalidInput(
      InputProblem::out_of_range, setting,
      setting + " is too small: " + std::to_string(value) + " of at least " + std::to_string(minimum));
}

// The descriptors that are left for clients and for idle connections to endpoints.
std::int64_t sharedCapacity(const ProcessLimits& limits) {
  const std::int64_t reserved = kOwnDescriptors + kSuccessorDescriptors + limits.call_slots;
  const std::int64_t capacity = limits.sockets - reserved;
  if (capacity < kMinClients) {
    throw tooSmall("limits.sockets", limits.sockets, reserved + kMinClients);
  }
  return capacity;
}

// The size of the pool for buffered requests; it holds at least one request of maximum length.
std::size_t bufferPoolBytes(const ProcessLimits& limits) {
  const auto bytes =
      static_cast<std::size_t>(std::max<std::int64_t>(0, limits.memory_bytes / kPooledMemoryDivisor));
  if (bytes < kMaxRespRequestBytes) {
    throw tooSmall("limits.memory_mb", limits.memory_bytes / kBytesPerMegabyte,
                   megabytesRoundedUp(kMaxRespRequestBytes * kPooledMemoryDivisor));
  }
  return bytes;
}

}  // namespace

DescriptorBudget computeDescriptorBudget(const ProcessLimits& limits, bool shares_with_predecessor) {
  const std::int64_t capacity = sharedCapacity(limits);
  DescriptorBudget budget;
  budget.max_pooled_bytes = bufferPoolBytes(limits);
  budget.max_endpoint_list_bytes = static_cast<std::size_t>(
      std::min(kMaxEndpointListBytes, limits.memory_bytes / kEndpointListMemoryDivisor));
  budget.max_endpoint_list_values =
      static_cast<std::size_t>(limits.memory_bytes / kMemoryPerEndpointListValue);
  // Idle connections have a share of their own, which clients can't use up, however many connect.
  budget.max_idle_connections = capacity / kIdleConnectionsDivisor;
  budget.max_endpoint_connections = limits.call_slots + budget.max_idle_connections;
  // The predecessor uses the descriptors that are reserved for a successor. It needs more, as it has calls in
  // flight.
  const std::int64_t predecessor_descriptors =
      shares_with_predecessor ? kOwnDescriptors - kSuccessorDescriptors + limits.call_slots : 0;
  budget.max_clients =
      std::max(kMinClients, capacity - budget.max_idle_connections - predecessor_descriptors);
  budget.max_open_requests =
      std::max<std::int64_t>(1, std::min(budget.max_clients, limits.sockets / kOpenRequestsDivisor));
  // As many as the decision module may send, so that no call is queued for this limit: a queued call might be
  // sent after the end of the destination's deduplication window, which the module checks when it decides to
  // send.
  budget.max_handshakes_per_endpoint = limits.call_slots;
  return budget;
}

}  // namespace delivery
