#include "network/idle_connections.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace delivery {

namespace {

// An idle connection is closed earlier than the endpoint would close it, by 1/20 of the endpoint's idle
// timeout, so that no request is sent while the endpoint closes the connection.
constexpr Micros kIdleMarginDivisor = 20;

}  // namespace

IdleConnections::IdleConnections(boost::asio::io_context& io, Micros idle_timeout,
                                 EndpointConnectionAccounting& accounting)
    : idle_timeout_(idle_timeout), accounting_(accounting), sweep_timer_(io) {}

std::unique_ptr<HttpConnection> IdleConnections::take(const std::string& endpoint) {
  std::deque<IdleConnection>& idle = connections_[endpoint];
  while (!idle.empty()) {
    std::unique_ptr<HttpConnection> connection = std::move(idle.back().connection);
    idle.pop_back();
    if (connection->isReusable()) {
      accounting_.onReused(endpoint);
      return connection;
    }
    accounting_.onIdleClosed(endpoint);
  }
  return nullptr;
}

bool IdleConnections::keep(const std::string& endpoint, std::unique_ptr<HttpConnection>& connection) {
  if (!connection->isReusable() || !makeRoomFor(endpoint)) {
    return false;
  }
  accounting_.onIdle(endpoint);
  connections_[endpoint].push_back({std::move(connection), monotonicNow()});
  scheduleSweep();
  return true;
}

// Returns false if there is no room for one more connection.
bool IdleConnections::makeRoomFor(const std::string& endpoint) {
  if (accounting_.canKeepIdle()) {
    return true;
  }
  const auto other = accounting_.idleEvictionCandidate(endpoint);
  if (!other) {
    return false;
  }
  closeOldest(*other);
  return true;
}

void IdleConnections::close(const std::string& endpoint) {
  const auto entry = connections_.find(endpoint);
  if (entry == connections_.end()) {
    return;
  }
  accounting_.onIdleClosed(endpoint, entry->second.size());
  connections_.erase(entry);
}

void IdleConnections::closeOldest(const std::string& endpoint) {
  connections_.at(endpoint).pop_front();
  accounting_.onIdleClosed(endpoint);
}

void IdleConnections::closeAll() {
  for (const auto& [endpoint, idle] : connections_) {
    accounting_.onIdleClosed(endpoint, idle.size());
  }
  connections_.clear();
}

void IdleConnections::closeExcess() {
  while (const auto endpoint = accounting_.excessIdleCandidate()) {
    closeOldest(*endpoint);
  }
}

// How long a connection is kept.
Micros IdleConnections::maxIdleTime() const {
  return idle_timeout_ - idle_timeout_ / kIdleMarginDivisor;
}

void IdleConnections::scheduleSweep() {
  if (sweep_scheduled_ || idle_timeout_ <= 0) {
    return;
  }
  const Micros now = monotonicNow();
  closeExpired(now);
  const std::optional<Micros> next = nextExpiry();
  if (!next) {
    return;
  }
  sweep_scheduled_ = true;
  sweep_timer_.expires_after(std::chrono::microseconds(*next - now));
  sweep_timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (cancelled) {
      return;
    }
    sweep_scheduled_ = false;
    scheduleSweep();
  });
}

void IdleConnections::closeExpired(Micros now) {
  for (const auto& [endpoint, idle] : connections_) {
    while (!idle.empty() && now - idle.front().idle_since >= maxIdleTime()) {
      closeOldest(endpoint);
    }
  }
}

std::optional<Micros> IdleConnections::nextExpiry() const {
  std::optional<Micros> next;
  for (const auto& [endpoint, idle] : connections_) {
    if (idle.empty()) {
      continue;
    }
    const Micros expiry = idle.front().idle_since + maxIdleTime();
    next = next ? std::min(*next, expiry) : expiry;
  }
  return next;
}

}  // namespace delivery
