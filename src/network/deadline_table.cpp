#include "network/deadline_table.h"

namespace delivery {

void DeadlineTable::set(ConnectionId connection, Micros deadline) {
  erase(connection);
  if (deadline == kNoDeadline) {
    return;
  }
  by_connection_[connection] = deadline;
  by_deadline_.insert({deadline, connection});
}

void DeadlineTable::erase(ConnectionId connection) {
  const auto entry = by_connection_.find(connection);
  if (entry == by_connection_.end()) {
    return;
  }
  by_deadline_.erase({entry->second, connection});
  by_connection_.erase(entry);
}

Micros DeadlineTable::deadlineOf(ConnectionId connection) const {
  const auto entry = by_connection_.find(connection);
  return entry == by_connection_.end() ? kNoDeadline : entry->second;
}

Micros DeadlineTable::next() const {
  return by_deadline_.empty() ? kNoDeadline : by_deadline_.begin()->deadline;
}

std::vector<ConnectionId> DeadlineTable::overdue(Micros now) const {
  std::vector<ConnectionId> connections;
  for (const Entry& entry : by_deadline_) {
    if (entry.deadline > now) {
      break;
    }
    connections.push_back(entry.connection);
  }
  return connections;
}

}  // namespace delivery
