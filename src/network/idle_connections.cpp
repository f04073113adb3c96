#include "network/idle_connections.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

#include "common/log.h"

namespace delivery {

namespace {

// An idle connection is closed earlier than the endpoint would close it, by 1/20 of the endpoint's idle
// timeout, so that no request is sent while the endpoint closes the connection.
constexpr Micros kIdleMarginDivisor = 20;

}  // namespace

IdleConnections::IdleConnections(boost::asio::io_context& io, Micros idle_timeout,
                                 EndpointConnectionAccounting& accounting)
    : idle_timeout_(idle_timeout), accounting_(accounting), sweep_timer_(io) {}

std::unique_ptr<HttpConnection> IdleConnections::take(const std::string& endpoint, Deadline deadline) {
  std::deque<IdleConnection>& idle = connections_[endpoint];
  if (idle.empty()) {
    return nullptr;
  }
  const Micros now = monotonicNow();
  const Micros quiet_since = now - quietTime(endpoint);
  const auto first_not_quiet = std::partition_point(
      idle.begin(), idle.end(), [&](const IdleConnection& entry) { return entry.idle_since <= quiet_since; });
  const bool any_is_quiet = first_not_quiet != idle.begin();
  const auto selected = any_is_quiet ? std::prev(first_not_quiet) : idle.begin();
  if (!any_is_quiet && deadline.remaining(now) <= selected->idle_since - quiet_since) {
    return nullptr;
  }
  std::unique_ptr<HttpConnection> connection = std::move(selected->connection);
  idle.erase(selected);
  accounting_.onReused(endpoint);
  return connection;
}

bool IdleConnections::keep(const std::string& endpoint, std::unique_ptr<HttpConnection>& connection) {
  if (!connection->isIdle() || !makeRoomFor(endpoint)) {
    return false;
  }
  accounting_.onIdle(endpoint);
  const HttpConnection* const key = connection.get();
  connection->watchIdle(
      [this, endpoint, key](const HttpConnection::IdleEnd& end) { onIdleEnd(endpoint, key, end); });
  connections_[endpoint].push_back({std::move(connection), monotonicNow()});
  scheduleSweep();
  return true;
}

void IdleConnections::onIdleEnd(const std::string& endpoint, const HttpConnection* connection,
                                const HttpConnection::IdleEnd& end) {
  if (end.unsolicited_data_gap) {
    onUnsolicitedData(endpoint, *end.unsolicited_data_gap);
  }
  std::deque<IdleConnection>& idle = connections_.at(endpoint);
  const auto entry = std::find_if(idle.begin(), idle.end(), [&](const IdleConnection& candidate) {
    return candidate.connection.get() == connection;
  });
  if (entry != idle.end()) {
    idle.erase(entry);
    accounting_.onIdleClosed(endpoint);
  }
}

Micros IdleConnections::quietTime(const std::string& endpoint) const {
  return quiet_times_.quietTime(endpoint, monotonicNow());
}

void IdleConnections::onUnsolicitedData(const std::string& endpoint, Micros gap) {
  const std::int64_t count = quiet_times_.onUnsolicitedData(endpoint, gap, monotonicNow());
  // An endpoint may do this with each response, so ever fewer of them are logged.
  const bool is_power_of_two = (count & (count - 1)) == 0;
  if (is_power_of_two) {
    logWarning("endpoints", "unsolicited_data")
        .field("endpoint", endpoint)
        .field("gap_us", gap)
        .field("count", count);
  }
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
