#include "network/endpoint_connection_accounting.h"

namespace delivery {

bool EndpointConnectionAccounting::canOpen(const std::string& endpoint) const {
  const auto usage = usage_.find(endpoint);
  if (usage != usage_.end() && usage->second.opening >= budget_.max_handshakes_per_endpoint) {
    return false;
  }
  return !isExhausted();
}

void EndpointConnectionAccounting::onOpening(const std::string& endpoint) {
  ++usage_[endpoint].opening;
  ++opening_;
}

void EndpointConnectionAccounting::onOpened(const std::string& endpoint) {
  ++usage_[endpoint].in_use;
  ++in_use_;
  --usage_[endpoint].opening;
  --opening_;
}

void EndpointConnectionAccounting::onOpenFailed(const std::string& endpoint) {
  --usage_[endpoint].opening;
  --opening_;
  eraseIfUnused(endpoint);
}

void EndpointConnectionAccounting::onReused(const std::string& endpoint) {
  ++usage_[endpoint].in_use;
  ++in_use_;
  onIdleClosed(endpoint);
}

void EndpointConnectionAccounting::onIdle(const std::string& endpoint) {
  ++usage_[endpoint].idle;
  ++idle_;
  onClosed(endpoint);
}

void EndpointConnectionAccounting::onClosed(const std::string& endpoint) {
  --usage_[endpoint].in_use;
  --in_use_;
  eraseIfUnused(endpoint);
}

void EndpointConnectionAccounting::onIdleClosed(const std::string& endpoint, std::size_t count) {
  usage_[endpoint].idle -= static_cast<std::int64_t>(count);
  idle_ -= static_cast<std::int64_t>(count);
  eraseIfUnused(endpoint);
}

void EndpointConnectionAccounting::eraseIfUnused(const std::string& endpoint) {
  const auto entry = usage_.find(endpoint);
  const Usage& usage = entry->second;
  if (usage.opening == 0 && usage.in_use == 0 && usage.idle == 0) {
    usage_.erase(entry);
  }
}

// Max-min fair: returns the endpoint with the most idle connections, if it has more than `endpoint`.
std::optional<std::string> EndpointConnectionAccounting::idleEvictionCandidate(
    const std::string& endpoint) const {
  const auto own = usage_.find(endpoint);
  std::int64_t max_idle = own == usage_.end() ? 0 : own->second.idle;
  std::optional<std::string> candidate;
  for (const auto& [other, usage] : usage_) {
    if (usage.idle > max_idle) {
      max_idle = usage.idle;
      candidate = other;
    }
  }
  return candidate;
}

std::optional<std::string> EndpointConnectionAccounting::evictionCandidateToOpen(
    const std::string& endpoint) const {
  return isExhausted() ? idleEvictionCandidate(endpoint) : std::nullopt;
}

std::optional<std::string> EndpointConnectionAccounting::excessIdleCandidate() const {
  const std::string no_endpoint;
  return idle_ > budget_.max_idle_connections ? idleEvictionCandidate(no_endpoint) : std::nullopt;
}

}  // namespace delivery
