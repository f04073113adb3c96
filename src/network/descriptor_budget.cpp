#include "network/descriptor_budget.h"

#include <algorithm>
#include <string>

#include "protocol/json_fields.h"
#include "protocol/resp.h"

namespace delivery {

namespace {

// Descriptors of one process besides its connections: standard streams, event loop, signals, journal, lock,
// handover links, listeners, discovery connections, and the control connections.
constexpr std::int64_t kOwnDescriptors = 20 + kMaxControlConnections;
// While one process serves, its successor may be starting: it has no clients, journal or discovery yet.
constexpr std::int64_t kSuccessorDescriptors = 12 + kMaxControlConnections;
constexpr std::int64_t kMinClients = 8;  // also the least that may be left for clients and idle connections

constexpr std::int64_t kIdleConnectionsDivisor = 4;  // a quarter of the capacity is for idle connections
constexpr std::int64_t kOpenRequestsDivisor = 3;     // a third of all descriptors may be in open requests
constexpr std::int64_t kPooledMemoryDivisor = 8;     // an eighth of the memory may hold buffered requests
constexpr std::int64_t kBytesPerMegabyte = 1'000'000;

std::int64_t megabytesRoundedUp(std::int64_t bytes) {
  return (bytes + kBytesPerMegabyte - 1) / kBytesPerMegabyte;
}

InvalidInput tooSmall(const std::string& setting, std::int64_t value, std::int64_t least) {
  return InvalidInput(
      InputProblem::out_of_range, setting,
      setting + " is too small: " + std::to_string(value) + " of at least " + std::to_string(least));
}

// What is left for clients and idle connections to endpoints.
std::int64_t sharedCapacity(const ProcessLimits& limits) {
  const std::int64_t reserved = kOwnDescriptors + kSuccessorDescriptors + limits.call_slots;
  const std::int64_t capacity = limits.sockets - reserved;
  if (capacity < kMinClients) {
    throw tooSmall("limits.sockets", limits.sockets, reserved + kMinClients);
  }
  return capacity;
}

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

DescriptorBudget computeDescriptorBudget(const ProcessLimits& limits, bool shares_with_older) {
  const std::int64_t capacity = sharedCapacity(limits);
  DescriptorBudget budget;
  budget.max_pooled_bytes = bufferPoolBytes(limits);
  // Idle connections have a part of their own, which a crowd of clients can't fill.
  budget.max_idle_connections = capacity / kIdleConnectionsDivisor;
  budget.max_endpoint_connections = limits.call_slots + budget.max_idle_connections;
  // The older process takes the place of the successor that may start, with calls in flight.
  const std::int64_t older_process =
      shares_with_older ? kOwnDescriptors - kSuccessorDescriptors + limits.call_slots : 0;
  budget.max_clients = std::max(kMinClients, capacity - budget.max_idle_connections - older_process);
  budget.max_open_requests =
      std::max<std::int64_t>(1, std::min(budget.max_clients, limits.sockets / kOpenRequestsDivisor));
  // As many as the module sends: a call that queues for a connection might be sent after the destination's
  // deduplication window has ended, which the module checks when it decides.
  budget.max_handshakes_per_endpoint = limits.call_slots;
  return budget;
}

}  // namespace delivery
