// The deadlines of a set of connections, as points on the monotonic clock.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <vector>

#include "common/deadline.h"

namespace delivery {

using ConnectionId = std::uint64_t;  // unique and ascending within one table of connections

constexpr Micros kNoDeadline = INT64_MAX;

class DeadlineTable {
 public:
  void set(ConnectionId connection, Micros deadline);  // replaces the one before; kNoDeadline: none
  void erase(ConnectionId connection);
  Micros deadlineOf(ConnectionId connection) const;  // or kNoDeadline
  Micros next() const;                               // or kNoDeadline
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
