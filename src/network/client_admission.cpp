#include "network/client_admission.h"

#include <algorithm>

#include "network/client_eviction.h"
#include "protocol/resp.h"

namespace delivery {

namespace {

// The platform requires that a peer that sends no well-formed request is answered or disconnected within 3 s
// of connecting, and allows a connection without an open request to be closed after 2 s.
constexpr Micros kRequestTimeout = 2000 * kMicrosPerMillisecond;         // until the first bytes of a request
constexpr Micros kPartialRequestTimeout = 1000 * kMicrosPerMillisecond;  // from its first bytes to its last
constexpr Micros kReplyWriteTimeout = 1000 * kMicrosPerMillisecond;      // until the peer has taken its reply
// A client machine that failed leaves its connections open and inactive. A client that is alive can reconnect
// at no cost.
constexpr Micros kIdleClientTimeout = 60'000 * kMicrosPerMillisecond;
// With this and the other timeouts no connection stays open for longer than the first 4 s of a drain.
constexpr Micros kDrainTimeout = 1000 * kMicrosPerMillisecond;
// The next iteration of the event loop reads the input.
constexpr Micros kUnreadInputGrace = 20 * kMicrosPerMillisecond;
// For this long after it was accepted, a connection's first request may be in transit.
constexpr Micros kFirstRequestTransitTime = 100 * kMicrosPerMillisecond;

// Whether input is read in the present state of the connection.
bool acceptsInput(const ClientConnection& connection) {
  return connection.state == ClientState::awaiting_first_request ||
         connection.state == ClientState::reading_request || connection.state == ClientState::idle;
}

}  // namespace

ConnectionId ClientAdmission::onAccepted(const std::string& peer_address, Micros now) {
  const ConnectionId id = ++last_id_;
  ClientConnection& connection = clients_.connections[id];
  connection.peer_address = peer_address;
  connection.last_activity_at = now;
  connection.peer = &clients_.peers[peer_address];
  ++connection.peer->connections;
  deadlines_.set(id, now + (is_draining_ ? kDrainTimeout : kRequestTimeout));
  return id;
}

void ClientAdmission::setBufferedBytes(ClientConnection& connection, std::size_t bytes) {
  pooled_bytes_ = pooled_bytes_ - pooledBytes(connection.buffered_bytes) + pooledBytes(bytes);
  connection.peer->buffered_bytes = connection.peer->buffered_bytes - connection.buffered_bytes + bytes;
  connection.buffered_bytes = bytes;
}

std::size_t ClientAdmission::readAllowance(ConnectionId id) {
  ClientConnection& connection = clients_.connections.at(id);
  if (connection.state == ClientState::discarding_input) {
    return kUnpooledBytes;  // the input is not buffered
  }
  const std::size_t buffered = connection.buffered_bytes;
  const std::size_t pool_left =
      budget_.max_pooled_bytes > pooled_bytes_ ? budget_.max_pooled_bytes - pooled_bytes_ : 0;
  const std::size_t unpooled_left = buffered < kUnpooledBytes ? kUnpooledBytes - buffered : 0;
  const std::size_t request_left = kMaxRespRequestBytes - std::min(buffered, kMaxRespRequestBytes);
  const std::size_t allowance = std::min(request_left, pool_left + unpooled_left);
  if (allowance == 0 && !connection.is_stalled) {
    stalled_readers_.push_back(id);
  }
  connection.is_stalled = allowance == 0;
  return allowance;
}

std::optional<ConnectionId> ClientAdmission::nextResumedReader() {
  while (!stalled_readers_.empty()) {
    const ConnectionId id = stalled_readers_.front();
    const auto entry = clients_.connections.find(id);
    const bool is_stalled = entry != clients_.connections.end() && entry->second.is_stalled;
    if (is_stalled && pooled_bytes_ >= budget_.max_pooled_bytes) {
      return std::nullopt;
    }
    stalled_readers_.pop_front();
    if (is_stalled) {
      entry->second.is_stalled = false;
      return id;
    }
  }
  return std::nullopt;
}

void ClientAdmission::onBytesReceived(ConnectionId id, std::size_t bytes, Micros now) {
  ClientConnection& connection = clients_.connections.at(id);
  connection.last_activity_at = now;
  connection.has_unread_input = false;
  if (connection.state != ClientState::discarding_input) {
    setBufferedBytes(connection, connection.buffered_bytes + bytes);
  }
}

// Neither bytes that arrive one by one nor a request that begins late extend the deadline.
void ClientAdmission::onRequestPartial(ConnectionId id, Micros now) {
  ClientConnection& connection = clients_.connections.at(id);
  if (connection.state == ClientState::reading_request) {
    return;
  }
  connection.state = ClientState::reading_request;
  deadlines_.set(id, std::min(deadlines_.deadlineOf(id), now + kPartialRequestTimeout));
}

// Sets no deadline: a connection is not closed while its request is unanswered, and the decision module
// replies in its next decision round.
RequestAdmission ClientAdmission::onRequestComplete(ConnectionId id, Micros now) {
  ClientConnection& connection = clients_.connections.at(id);
  connection.state = ClientState::awaiting_reply;
  connection.last_activity_at = now;
  connection.is_grace_read_used = false;
  deadlines_.set(id, kNoDeadline);
  if (open_requests_ >= budget_.max_open_requests) {
    queued_requests_.push_back(id);
    return RequestAdmission::queued;
  }
  openRequest(connection);
  return RequestAdmission::process_now;
}

std::optional<ConnectionId> ClientAdmission::nextQueuedRequest() {
  while (!queued_requests_.empty() && open_requests_ < budget_.max_open_requests) {
    const ConnectionId id = queued_requests_.front();
    queued_requests_.pop_front();
    const auto entry = clients_.connections.find(id);
    if (entry == clients_.connections.end()) {
      continue;
    }
    openRequest(entry->second);
    return id;
  }
  return std::nullopt;
}

void ClientAdmission::onRequestConsumed(ConnectionId id, std::size_t bytes_left_in_buffer) {
  setBufferedBytes(clients_.connections.at(id), bytes_left_in_buffer);
}

void ClientAdmission::onReplyStarted(ConnectionId id, bool has_submitted, Micros now) {
  ClientConnection& connection = clients_.connections.at(id);
  connection.has_submitted = connection.has_submitted || has_submitted;
  ++connection.replies;
  closeRequest(connection);
  deadlines_.set(id, now + kReplyWriteTimeout);
}

void ClientAdmission::openRequest(ClientConnection& connection) {
  connection.has_open_request = true;
  ++open_requests_;
}

void ClientAdmission::closeRequest(ClientConnection& connection) {
  if (!connection.has_open_request) {
    return;
  }
  connection.has_open_request = false;
  --open_requests_;
}

AfterReply ClientAdmission::onReplyWritten(ConnectionId id, bool has_more_input, Micros now) {
  ClientConnection& connection = clients_.connections.at(id);
  connection.last_activity_at = now;
  if (connection.state == ClientState::discarding_input) {
    return AfterReply::keep_open;  // the deadline for the reply also limits the time for discarding input
  }
  connection.state = ClientState::idle;
  deadlines_.set(id, now + (connection.has_submitted ? kIdleClientTimeout : kRequestTimeout));
  return is_draining_ && !has_more_input ? AfterReply::close : AfterReply::keep_open;
}

// The first request of a connection is always read: the connection may be newer than the drain.
bool ClientAdmission::mayReadNextRequest(ConnectionId id, Micros now) const {
  return !is_draining_ || now < reading_ends_at_ || clients_.connections.at(id).replies == 0;
}

void ClientAdmission::onReadingEnded(ConnectionId id, Micros now) {
  ClientConnection& connection = clients_.connections.at(id);
  setBufferedBytes(connection, 0);
  connection.state = ClientState::discarding_input;
  deadlines_.set(id, now + kDrainTimeout);
}

bool ClientAdmission::hasUnansweredRequests() const {
  return std::any_of(clients_.connections.begin(), clients_.connections.end(),
                     [](const auto& entry) { return entry.second.state == ClientState::awaiting_reply; });
}

void ClientAdmission::onRequestMalformed(ConnectionId id, Micros now) {
  ClientConnection& connection = clients_.connections.at(id);
  closeRequest(connection);
  setBufferedBytes(connection, 0);
  connection.state = ClientState::discarding_input;
  deadlines_.set(id, now + kReplyWriteTimeout);
}

void ClientAdmission::onClosed(ConnectionId id) {
  const auto entry = clients_.connections.find(id);
  if (entry == clients_.connections.end()) {
    return;
  }
  ClientConnection& connection = entry->second;
  closeRequest(connection);
  setBufferedBytes(connection, 0);
  --connection.peer->connections;
  if (connection.peer->connections == 0) {
    clients_.peers.erase(connection.peer_address);
  }
  deadlines_.erase(id);
  clients_.connections.erase(entry);
}

// The socket may hold a complete request that this process was too busy to read; closing the connection would
// lose it. The extension is granted once for each request, so that bytes that arrive one by one do not extend
// the deadline further.
bool ClientAdmission::mayCloseOverdue(ConnectionId id, bool has_unread_input, Micros now) {
  ClientConnection& connection = clients_.connections.at(id);
  const bool grants_grace_read = acceptsInput(connection) && has_unread_input && !connection.is_stalled &&
                                 !connection.is_grace_read_used;
  if (!grants_grace_read) {
    return true;
  }
  connection.is_grace_read_used = true;
  deadlines_.set(id, now + kUnreadInputGrace);
  return false;
}

std::optional<ConnectionId> ClientAdmission::evictionCandidate(Micros now) const {
  return findEvictionCandidate(clients_, now);
}

std::optional<ConnectionId> ClientAdmission::bufferEvictionCandidate(Micros now) const {
  return findBufferEvictionCandidate(clients_, now);
}

void ClientAdmission::onUnreadInput(ConnectionId id) {
  clients_.connections.at(id).has_unread_input = true;
}

void ClientAdmission::onEvicted(ConnectionId id, Micros now) {
  eviction_report_.onEvicted(clients_.connections.at(id).peer_address, now);
}

std::optional<EvictionEvent> ClientAdmission::pollEvictionEvent(Micros now) {
  return eviction_report_.poll({size(), budget_.max_clients, clients_.peers.size()}, now);
}

// The first request of a connection that was just accepted may be in transit, so such a connection stays open
// until the request is answered or kDrainTimeout has passed.
std::vector<ConnectionId> ClientAdmission::startDraining(Micros now, Micros reading_time) {
  reading_ends_at_ = std::min(is_draining_ ? reading_ends_at_ : kNoDeadline, now + reading_time);
  is_draining_ = true;
  std::vector<ConnectionId> to_close;
  for (const auto& [id, connection] : clients_.connections) {
    const bool is_new = connection.state == ClientState::awaiting_first_request;
    if (is_new && now - connection.last_activity_at < kFirstRequestTransitTime) {
      deadlines_.set(id, std::min(deadlines_.deadlineOf(id), now + kDrainTimeout));
    } else if (is_new || connection.state == ClientState::idle) {
      to_close.push_back(id);
    }
  }
  return to_close;
}

}  // namespace delivery
