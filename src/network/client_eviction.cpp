#include "network/client_eviction.h"

#include <algorithm>
#include <cstdint>
#include <tuple>

namespace delivery {

namespace {

// How long a connection of each kind must have been silent.
constexpr Micros kUnproductiveSilence = 20 * kMicrosPerMillisecond;
constexpr Micros kPartialRequestSilence = 500 * kMicrosPerMillisecond;
constexpr Micros kDiscardingSilence = 500 * kMicrosPerMillisecond;
constexpr Micros kIdleClientSilence = 2000 * kMicrosPerMillisecond;
// While another peer holds more connections: that peer's will soon have been idle for long enough.
constexpr Micros kIdleClientWithFewerSilence = 2 * kIdleClientSilence;

using ClientEntry = std::pair<const ConnectionId, ClientConnection>;

// Lower ranks are evicted first.
struct EvictionRank {
  bool is_protected = false;
  std::int64_t peer_connections = 0;  // more are evicted first
  bool has_submitted = false;
  bool is_reading = false;
  bool has_been_answered = false;
  Micros silent_since = 0;
  ConnectionId id = 0;

  friend bool operator<(const EvictionRank& a, const EvictionRank& b) {
    return std::tie(a.is_protected, b.peer_connections, a.has_submitted, a.is_reading, a.has_been_answered,
                    a.silent_since, a.id) < std::tie(b.is_protected, a.peer_connections, b.has_submitted,
                                                     b.is_reading, b.has_been_answered, b.silent_since, b.id);
  }
};

// Higher ranks are evicted first.
struct BufferEvictionRank {
  std::size_t peer_bytes = 0;
  std::size_t connection_bytes = 0;
  Micros silence = 0;
  ConnectionId id = 0;

  friend bool operator<(const BufferEvictionRank& a, const BufferEvictionRank& b) {
    return std::tie(a.peer_bytes, a.connection_bytes, a.silence, a.id) <
           std::tie(b.peer_bytes, b.connection_bytes, b.silence, b.id);
  }
};

// None: never. An open request is never evicted. A client in the middle of a request has a deadline for the
// rest of it. A connection that was answered and submitted nothing is kept no longer than one that sent
// nothing: else clients would queue behind many that send one request and stay, for longer than they wait
// for a reply.
std::optional<Micros> silenceBeforeEviction(const ClientConnection& connection,
                                            std::size_t most_connections) {
  if (connection.has_unread_input) {
    return std::nullopt;  // it is read in its turn, and not looked at again and again until then
  }
  switch (connection.state) {
    case ClientState::awaiting_first_request:
      return kUnproductiveSilence;
    case ClientState::reading_request:
      return connection.has_submitted ? std::nullopt : std::optional<Micros>(kPartialRequestSilence);
    case ClientState::idle:
      if (!connection.has_submitted) {
        return kUnproductiveSilence;
      }
      return connection.peer->connections < most_connections ? kIdleClientWithFewerSilence
                                                             : kIdleClientSilence;
    case ClientState::discarding_input:
      return kDiscardingSilence;
    case ClientState::awaiting_reply:
      break;
  }
  return std::nullopt;
}

// One search over the table at a point in time.
class EvictionSearch {
 public:
  EvictionSearch(const ClientTable& clients, Micros now)
      : clients_(clients), now_(now), most_connections_(mostConnectionsOfAPeer(clients)) {}

  // Of the peer that holds the most. Among its connections those that never submitted go first, and of these
  // those that sent nothing, then those that were answered, then partial requests; of each kind the one that
  // has been silent the longest.
  std::optional<ConnectionId> find() const {
    const ClientEntry* candidate = nullptr;
    for (const ClientEntry& entry : clients_.connections) {
      if (isEvictable(entry.second) && (candidate == nullptr || rankOf(entry) < rankOf(*candidate))) {
        candidate = &entry;
      }
    }
    if (candidate == nullptr || shouldWaitForOther(candidate->second)) {
      return std::nullopt;
    }
    return candidate->first;
  }

 private:
  static std::size_t mostConnectionsOfAPeer(const ClientTable& clients) {
    std::size_t most = 0;
    for (const auto& [address, peer] : clients.peers) {
      most = std::max(most, peer.connections);
    }
    return most;
  }

  bool isEvictable(const ClientConnection& connection) const {
    const std::optional<Micros> silence = silenceBeforeEviction(connection, most_connections_);
    return silence && now_ - connection.silent_since >= *silence;
  }

  // Connections that have submitted are evicted last, unless their peer has over half of the table: many
  // other addresses would displace clients otherwise, and each close may cross a client's next message.
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
    rank.has_been_answered = connection.has_been_answered;
    rank.silent_since = connection.silent_since;
    rank.id = id;
    return rank;
  }

  // An idle client is kept while a connection that never submitted becomes evictable soon.
  bool shouldWaitForOther(const ClientConnection& candidate) const {
    if (!candidate.has_submitted) {
      return false;
    }
    const bool any_peer = isProtected(candidate);
    return std::any_of(clients_.connections.begin(), clients_.connections.end(),
                       [&](const ClientEntry& entry) {
                         const ClientConnection& other = entry.second;
                         return (any_peer || other.peer == candidate.peer) && !other.has_submitted &&
                                silenceBeforeEviction(other, most_connections_).has_value();
                       });
  }

  const ClientTable& clients_;
  const Micros now_;
  const std::size_t most_connections_;
};

}  // namespace

std::optional<ConnectionId> findEvictionCandidate(const ClientTable& clients, Micros now) {
  return EvictionSearch(clients, now).find();
}

std::optional<ConnectionId> findBufferEvictionCandidate(const ClientTable& clients, Micros now) {
  std::optional<BufferEvictionRank> highest;
  for (const auto& [id, connection] : clients.connections) {
    const Micros silence = now - connection.silent_since;
    if (connection.state != ClientState::reading_request || pooledBytes(connection.buffered_bytes) == 0 ||
        connection.has_unread_input || silence < kPartialRequestSilence) {
      continue;
    }
    const BufferEvictionRank rank{connection.peer->buffered_bytes, connection.buffered_bytes, silence, id};
    if (!highest || *highest < rank) {
      highest = rank;
    }
  }
  return highest ? std::optional<ConnectionId>(highest->id) : std::nullopt;
}

}  // namespace delivery
