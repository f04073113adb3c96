// Helpers for the tests of connection admission with simulated time.
#pragma once

#include <gtest/gtest.h>

#include <string>

#include "network/client_admission.h"

namespace delivery {

// A millisecond and a second in the unit of Micros.
constexpr Micros kMs = 1000;
constexpr Micros kSecond = 1000 * kMs;

// A budget whose limits a test reaches with few connections.
inline DescriptorBudget smallBudget(std::int64_t max_clients, std::int64_t max_open_requests = 100) {
  DescriptorBudget budget;
  budget.max_clients = max_clients;
  budget.max_open_requests = max_open_requests;
  budget.max_endpoint_connections = 12;
  budget.max_idle_connections = 4;
  budget.max_handshakes_per_endpoint = 2;
  budget.max_pooled_bytes = 200'000;
  return budget;
}

// Adds a connection that has submitted a message and is idle, and returns its id.
inline ConnectionId addIdleSubmitter(ClientAdmission& clients, const std::string& peer, Micros now) {
  const ConnectionId id = clients.onAccepted(peer, now);
  clients.onBytesReceived(id, 100, now);
  EXPECT_EQ(RequestAdmission::process_now, clients.onRequestComplete(id, now));
  clients.onRequestConsumed(id, 0);
  clients.onReplyStarted(id, true, now);
  EXPECT_EQ(AfterReply::keep_open, clients.onReplyWritten(id, false, now));
  return id;
}

}  // namespace delivery
