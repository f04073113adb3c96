// Chooses the client connection that is closed under pressure, max-min fair between peer addresses.
#pragma once

#include <optional>

#include "network/client_connection.h"

namespace delivery {

// For when the table is full and a client waits to connect. None: no connection may be closed now.
std::optional<ConnectionId> findEvictionCandidate(const ClientTable& clients, Micros now);

// For when the buffer pool is used up: a partial request of the peer with the most buffered bytes.
std::optional<ConnectionId> findBufferEvictionCandidate(const ClientTable& clients, Micros now);

}  // namespace delivery
