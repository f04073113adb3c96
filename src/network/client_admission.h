// Admission of client connections: which are accepted, read from, given a turn, and closed. Plain rules, fed
// with events and the time on the monotonic clock; the sockets are in ClientServer.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "network/client_connection.h"
#include "network/descriptor_budget.h"
#include "network/pressure_report.h"

namespace delivery {

enum class RequestTurn {
  now,    // the request is to be processed
  queued  // it waits until nextQueuedRequest() names its connection
};

enum class AfterReply { keep_open, close };

class ClientAdmission {
 public:
  explicit ClientAdmission(const DescriptorBudget& budget) : budget_(budget) {}
  void setBudget(const DescriptorBudget& budget) { budget_ = budget; }
  const DescriptorBudget& budget() const { return budget_; }

  bool hasCapacity() const { return connectionCount() < budget_.max_clients; }
  bool isOverCapacity() const { return connectionCount() > budget_.max_clients; }

  // Events of a connection, in the order in which they happen.
  ConnectionId onAccepted(const std::string& peer_address, Micros now);
  // How many bytes may be read from it. 0: none before nextResumedReader() names it.
  std::size_t readAllowance(ConnectionId id);
  void onBytesReceived(ConnectionId id, std::size_t bytes, Micros now);
  void onRequestPartial(ConnectionId id, Micros now);  // what is buffered is a part of a request
  RequestTurn onRequestComplete(ConnectionId id, Micros now);
  void onRequestConsumed(ConnectionId id, std::size_t bytes_left_in_buffer);
  // `has_submitted`: the request was a message in proper form.
  void onReplyStarted(ConnectionId id, bool has_submitted, Micros now);
  AfterReply onReplyWritten(ConnectionId id, bool has_more_input, Micros now);
  void onRequestMalformed(ConnectionId id, Micros now);  // it is closed once it has taken its error reply
  void onClosed(ConnectionId id);

  // The connection that may continue now. None: nothing waits, or the budget is used up.
  std::optional<ConnectionId> nextQueuedRequest();
  std::optional<ConnectionId> nextResumedReader();
  bool hasStalledReaders() const { return !stalled_readers_.empty(); }

  // While the table or the buffer pool is full: the connection to close, if one may be closed now.
  std::optional<ConnectionId> evictionCandidate(Micros now) const;
  std::optional<ConnectionId> bufferEvictionCandidate(Micros now) const;
  void onUnreadInput(ConnectionId id);  // seen in its socket: it is no candidate until that is read
  void onEvicted(ConnectionId id, Micros now);
  std::optional<PressureEvent> pollPressure(Micros now);
  bool isUnderPressure() const { return pressure_.isActive(); }

  // Returns the connections to close now, unless they have unread input.
  std::vector<ConnectionId> startDraining(Micros now);
  void stopDraining() { is_draining_ = false; }
  bool isDraining() const { return is_draining_; }

  std::vector<ConnectionId> overdue(Micros now) const { return deadlines_.overdue(now); }
  // False: its unread input is read first.
  bool mayCloseOverdue(ConnectionId id, bool has_unread_input, Micros now);
  Micros nextDeadline() const { return deadlines_.next(); }

  ClientState state(ConnectionId id) const { return clients_.connections.at(id).state; }
  Micros deadline(ConnectionId id) const { return deadlines_.deadlineOf(id); }
  std::size_t size() const { return clients_.connections.size(); }
  std::int64_t openRequests() const { return open_requests_; }
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
  PressureReport pressure_;
  std::deque<ConnectionId> queued_requests_;  // may name connections that are closed by now
  std::deque<ConnectionId> stalled_readers_;  // the same
  std::int64_t open_requests_ = 0;
  std::size_t pooled_bytes_ = 0;
  bool is_draining_ = false;
};

}  // namespace delivery
