#include "network/control_admission.h"

#include "network/descriptor_budget.h"

namespace delivery {

namespace {

// The platform requires that a connection with invalid input at the control address is ended within 3 s.
constexpr Micros kConnectionTimeout = 2'000'000;

}  // namespace

std::optional<ConnectionId> ControlAdmission::evictionCandidate() const {
  if (static_cast<std::int64_t>(connections_.size()) < kMaxControlConnections) {
    return std::nullopt;
  }
  return *connections_.begin();
}

ConnectionId ControlAdmission::onAccepted(Micros now) {
  const ConnectionId id = ++last_id_;
  connections_.insert(id);
  deadlines_.set(id, now + kConnectionTimeout);
  return id;
}

void ControlAdmission::onClosed(ConnectionId id) {
  connections_.erase(id);
  deadlines_.erase(id);
}

}  // namespace delivery
