// Admission control for connections to the control address: how many there may be and for how long they stay
// open. It does no input or output: ControlServer owns the sockets.
#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <vector>

#include "network/deadline_table.h"

namespace delivery {

class ControlAdmission {
 public:
  // The oldest connection if kMaxControlConnections are open, to be closed before one more is accepted; else
  // nullopt.
  std::optional<ConnectionId> evictionCandidate() const;
  ConnectionId onAccepted(Micros now);
  void onClosed(ConnectionId id);

  std::vector<ConnectionId> overdue(Micros now) const { return deadlines_.overdue(now); }
  Micros nextDeadline() const { return deadlines_.next(); }  // kNoDeadline: there is none
  std::size_t size() const { return connections_.size(); }

 private:
  ConnectionId last_id_ = 0;
  std::set<ConnectionId> connections_;
  DeadlineTable deadlines_;
};

}  // namespace delivery
