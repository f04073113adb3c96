// Admission control for client connections: decides which connections are accepted, read from and closed, and
// when each request is processed. It does no input or output: ClientServer owns the sockets and passes in
// events and points in time on the monotonic clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "network/client_connection.h"
#include "network/descriptor_budget.h"
#include "network/eviction_report.h"

namespace delivery {

// What happens to a complete request.
enum class RequestAdmission {
  process_now,
  queued  // it waits in a queue until nextQueuedRequest() returns its connection
};

// What happens to a connection after its reply is written.
enum class AfterReply { keep_open, close };

class ClientAdmission {
 public:
  explicit ClientAdmission(const DescriptorBudget& budget) : budget_(budget) {}
  void setBudget(const DescriptorBudget& budget) { budget_ = budget; }
  const DescriptorBudget& budget() const { return budget_; }

  // Whether one more connection may be accepted.
  bool hasCapacity() const { return connectionCount() < budget_.max_clients; }
  // Whether there are more connections than the budget allows, after it was reduced.
  bool isOverCapacity() const { return connectionCount() > budget_.max_clients; }

  // Events of a connection, in the order in which they happen. `peer_address` is the client's IP address.
  ConnectionId onAccepted(const std::string& peer_address, Micros now);
  // How many bytes may be read from the connection now. 0: the buffer pool is used up, and nothing may be
  // read until nextResumedReader() returns the connection.
  std::size_t readAllowance(ConnectionId id);
  void onBytesReceived(ConnectionId id, std::size_t bytes, Micros now);
  // The buffered bytes are the beginning of a request.
  void onRequestPartial(ConnectionId id, Micros now);
  RequestAdmission onRequestComplete(ConnectionId id, Micros now);
  void onRequestConsumed(ConnectionId id, std::size_t bytes_left_in_buffer);
  // The request is decided on. It no longer counts as open, even if the client does not take the reply.
  // `has_submitted`: the request submitted a message that was accepted or rejected as busy, not in error.
  void onReplyStarted(ConnectionId id, bool has_submitted, Micros now);
  AfterReply onReplyWritten(ConnectionId id, bool has_more_input, Micros now);
  // Whether another request may be read from the connection. False if it is to be closed: a drain has gone on
  // for its reading time, and the connection's complete requests are answered.
  bool mayReadNextRequest(ConnectionId id, Micros now) const;
  // No further request is read: input of the connection is discarded until the client closes it, or until a
  // deadline.
  void onReadingEnded(ConnectionId id, Micros now);
  // The request violates the protocol. Input of the connection is discarded from now on, and the connection
  // is closed when the deadline for the error reply has passed, if not earlier.
  void onRequestMalformed(ConnectionId id, Micros now);
  void onClosed(ConnectionId id);

  // The queued request or stalled reader that may continue now, first in first out. Nullopt if none waits or
  // the budget is used up.
  std::optional<ConnectionId> nextQueuedRequest();
  std::optional<ConnectionId> nextResumedReader();
  bool hasQueuedRequests() const { return !queued_requests_.empty(); }
  bool hasStalledReaders() const { return !stalled_readers_.empty(); }

  // The connection to close while the table or the buffer pool is full, or nullopt if none may be closed now.
  std::optional<ConnectionId> evictionCandidate(Micros now) const;
  std::optional<ConnectionId> bufferEvictionCandidate(Micros now) const;
  // The socket of the connection holds unread input: it is no eviction candidate until that is read.
  void onUnreadInput(ConnectionId id);
  void onEvicted(ConnectionId id, Micros now);
  // The start or end of an eviction period that is to be logged, if any; each is returned once.
  std::optional<EvictionEvent> pollEvictionEvent(Micros now);
  bool isEvictionPeriodActive() const { return eviction_report_.isActive(); }

  // Returns the connections to close now. The caller keeps those that have unread input. Connections that
  // always have more input, as their clients pipeline, are read from for `reading_time` at most.
  std::vector<ConnectionId> startDraining(Micros now, Micros reading_time);
  void stopDraining() { is_draining_ = false; }
  bool isDraining() const { return is_draining_; }

  std::vector<ConnectionId> overdue(Micros now) const { return deadlines_.overdue(now); }
  // Whether a connection that is past its deadline may be closed. If not, its unread input is to be read
  // first.
  bool mayCloseOverdue(ConnectionId id, bool has_unread_input, Micros now);
  Micros nextDeadline() const { return deadlines_.next(); }  // kNoDeadline: there is none

  // Whether a complete request of any connection is unanswered, including queued ones.
  bool hasUnansweredRequests() const;
  ClientState state(ConnectionId id) const { return clients_.connections.at(id).state; }
  Micros deadline(ConnectionId id) const { return deadlines_.deadlineOf(id); }
  std::size_t size() const { return clients_.connections.size(); }
  std::int64_t openRequests() const { return open_requests_; }
  // Buffered bytes that count against DescriptorBudget::max_pooled_bytes.
  std::size_t pooledByteCount() const { return pooled_bytes_; }

 private:
  std::int64_t connectionCount() const { return static_cast<std::int64_t>(size()); }
  void setBufferedBytes(ClientConnection& connection, std::size_t bytes);
  void openRequest(ClientConnection& connection);
  void closeRequest(ClientConnection& connection);

  DescriptorBudget budget_;
  ConnectionId last_id_ = 0;
  ClientTable clients_;
  DeadlineTable deadlines_;
  EvictionReport eviction_report_;
  std::deque<ConnectionId> queued_requests_;  // may contain connections that have been closed
  std::deque<ConnectionId> stalled_readers_;  // may contain connections that have been closed
  std::int64_t open_requests_ = 0;
  std::size_t pooled_bytes_ = 0;
  Micros reading_ends_at_ = kNoDeadline;  // of a drain: from then on no further requests are read
  bool is_draining_ = false;
};

}  // namespace delivery
