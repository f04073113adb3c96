#include "network/client_eviction.h"

#include <algorithm>
#include <cstdint>
#include <tuple>

namespace delivery {

namespace {

// How long a connection of each kind must have been inactive before it may be evicted. An unproductive
// connection is one that has submitted no message.
constexpr Micros kUnproductiveInactivity = 20 * kMicrosPerMillisecond;
// After more replies than this, a connection that has submitted no message may be evicted at once between two
// requests. Otherwise peers that send PING more often than every 20 ms would never be inactive for long
// enough.
constexpr std::size_t kMaxProtectedReplies = 4;
constexpr Micros kPartialRequestInactivity = 500 * kMicrosPerMillisecond;
constexpr Micros kDiscardingInactivity = 500 * kMicrosPerMillisecond;
constexpr Micros kIdleClientInactivity = 2000 * kMicrosPerMillisecond;
// Used while another peer has more connections: one of those will soon have been idle for long enough.
constexpr Micros kIdleClientOfSmallerPeerInactivity = 2 * kIdleClientInactivity;

using ClientEntry = std::pair<const ConnectionId, ClientConnection>;

// The order of eviction when the table is full: the connection with the lowest rank is evicted first.
struct EvictionRank {
  bool is_protected = false;
  std::int64_t peer_connections = 0;  // a higher number means a lower rank
  bool has_submitted = false;
  bool is_reading = false;
  bool has_been_answered = false;
  Micros last_activity_at = 0;
  ConnectionId id = 0;

  friend bool operator<(const EvictionRank& a, const EvictionRank& b) {
    return std::tie(a.is_protected, b.peer_connections, a.has_submitted, a.is_reading, a.has_been_answered,
                    a.last_activity_at, a.id) < std::tie(b.is_protected, a.peer_connections, b.has_submitted,
                                                         b.is_reading, b.has_been_answered,
                                                         b.last_activity_at, b.id);
  }
};

// The order of eviction when the buffer pool is used up: the connection with the highest rank is evicted
// first.
struct BufferEvictionRank {
  std::size_t peer_bytes = 0;
  std::size_t connection_bytes = 0;
  Micros inactivity = 0;
  ConnectionId id = 0;

  friend bool operator<(const BufferEvictionRank& a, const BufferEvictionRank& b) {
    return std::tie(a.peer_bytes, a.connection_bytes, a.inactivity, a.id) <
           std::tie(b.peer_bytes, b.connection_bytes, b.inactivity, b.id);
  }
};

// How long the connection must have been inactive before it may be evicted; nullopt: it must not be evicted.
// An open request is never evicted. A connection that has submitted before and is in the middle of a request
// is not evicted either: it has a deadline for the rest of the request. A connection that was answered and
// submitted nothing is kept no longer than one that sent nothing. Otherwise clients would wait behind many
// peers that send one request and stay connected, and would wait for longer than they wait for a reply.
std::optional<Micros> inactivityBeforeEviction(const ClientConnection& connection,
                                               std::size_t max_connections_per_peer) {
  if (connection.has_unread_input) {
    return std::nullopt;  // the event loop will read it; until then it is not examined again
  }
  switch (connection.state) {
    case ClientState::awaiting_first_request:
      return kUnproductiveInactivity;
    case ClientState::reading_request:
      return connection.has_submitted ? std::nullopt : std::optional<Micros>(kPartialRequestInactivity);
    case ClientState::idle:
      if (!connection.has_submitted) {
        return connection.replies > kMaxProtectedReplies ? 0 : kUnproductiveInactivity;
      }
      return connection.peer->connections < max_connections_per_peer ? kIdleClientOfSmallerPeerInactivity
                                                                     : kIdleClientInactivity;
    case ClientState::discarding_input:
      return kDiscardingInactivity;
    case ClientState::awaiting_reply:
      break;
  }
  return std::nullopt;
}

// Searches the table for the connection to evict at one point in time.
class EvictionSearch {
 public:
  EvictionSearch(const ClientTable& clients, Micros now)
      : clients_(clients), now_(now), max_connections_per_peer_(maxConnectionsPerPeer(clients)) {}

  // Returns a connection of the peer that has the most. Among its connections, those that never submitted
  // come first: of these those that sent nothing, then those that were answered, then those with a partial
  // request. Within each kind the one that has been inactive the longest is selected.
  std::optional<ConnectionId> find() const {
    const ClientEntry* candidate = nullptr;
    for (const ClientEntry& entry : clients_.connections) {
      if (isEvictable(entry.second) && (candidate == nullptr || rankOf(entry) < rankOf(*candidate))) {
        candidate = &entry;
      }
    }
    if (candidate == nullptr || shouldWaitForUnproductive(candidate->second)) {
      return std::nullopt;
    }
    return candidate->first;
  }

 private:
  static std::size_t maxConnectionsPerPeer(const ClientTable& clients) {
    std::size_t maximum = 0;
    for (const auto& [address, peer] : clients.peers) {
      maximum = std::max(maximum, peer.connections);
    }
    return maximum;
  }

  bool isEvictable(const ClientConnection& connection) const {
    const std::optional<Micros> inactivity = inactivityBeforeEviction(connection, max_connections_per_peer_);
    return inactivity && now_ - connection.last_activity_at >= *inactivity;
  }

  // Connections that have submitted are evicted last, unless their peer has more than half of all
  // connections. Otherwise connections from many other addresses would displace clients, and each close may
  // coincide with a client's next message.
  bool isProtected(const ClientConnection& connection) const {
    return connection.has_submitted && 2 * connection.peer->connections <= clients_.connections.size();
  }

  EvictionRank rankOf(const ClientEntry& entry) const {
    const auto& [id, connection] = entry;
    EvictionRank rank;
    rank.is_protected = isProtected(connection);
    rank.peer_connections = static_cast<std::int64_t>(connection.peer->connections);
    rank.has_submitted = connection.has_submitted;
    rank.is_reading = connection.state == ClientState::reading_request;
    rank.has_been_answered = connection.replies > 0;
    rank.last_activity_at = connection.last_activity_at;
    rank.id = id;
    return rank;
  }

  // Whether to evict nothing yet: an idle client is kept while a connection that never submitted will soon be
  // evictable.
  bool shouldWaitForUnproductive(const ClientConnection& candidate) const {
    if (!candidate.has_submitted) {
      return false;
    }
    const bool considers_all_peers = isProtected(candidate);
    return std::any_of(
        clients_.connections.begin(), clients_.connections.end(), [&](const ClientEntry& entry) {
          const ClientConnection& other = entry.second;
          return (considers_all_peers || other.peer == candidate.peer) && !other.has_submitted &&
                 inactivityBeforeEviction(other, max_connections_per_peer_).has_value();
        });
  }

  const ClientTable& clients_;
  const Micros now_;
  const std::size_t max_connections_per_peer_;
};

}  // namespace

std::optional<ConnectionId> findEvictionCandidate(const ClientTable& clients, Micros now) {
  return EvictionSearch(clients, now).find();
}

std::optional<ConnectionId> findBufferEvictionCandidate(const ClientTable& clients, Micros now) {
  std::optional<BufferEvictionRank> highest;
  for (const auto& [id, connection] : clients.connections) {
    const Micros inactivity = now - connection.last_activity_at;
    if (connection.state != ClientState::reading_request || pooledBytes(connection.buffered_bytes) == 0 ||
        connection.has_unread_input || inactivity < kPartialRequestInactivity) {
      continue;
    }
    const BufferEvictionRank rank{connection.peer->buffered_bytes, connection.buffered_bytes, inactivity, id};
    if (!highest || *highest < rank) {
      highest = rank;
    }
  }
  return highest ? std::optional<ConnectionId>(highest->id) : std::nullopt;
}

}  // namespace delivery
