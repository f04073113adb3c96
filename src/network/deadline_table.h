// The deadlines of a set of connections, as points in time on the monotonic clock, ordered by deadline.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <vector>

#include "common/deadline.h"

namespace delivery {

using ConnectionId = std::uint64_t;  // unique and ascending within one table of connections

constexpr Micros kNoDeadline = INT64_MAX;  // the null value of a deadline

class DeadlineTable {
 public:
  // Replaces the deadline of a connection; kNoDeadline removes it.
  void set(ConnectionId connection, Micros deadline);
  // Does nothing if the connection has no deadline.
  void erase(ConnectionId connection);
  // kNoDeadline if the connection has none.
  Micros deadlineOf(ConnectionId connection) const;
  // The earliest deadline; kNoDeadline if there is none.
  Micros next() const;
  // The connections whose deadlines are at or before `now`, earliest deadline first.
  std::vector<ConnectionId> overdue(Micros now) const;

 private:
  struct Entry {
    Micros deadline = kNoDeadline;
    ConnectionId connection = 0;
    friend bool operator<(const Entry& a, const Entry& b) {
      return std::tie(a.deadline, a.connection) < std::tie(b.deadline, b.connection);
    }
  };
  std::map<ConnectionId, Micros> by_connection_;
  std::set<Entry> by_deadline_;
};

}  // namespace delivery
