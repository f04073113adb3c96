// Selects the client connection to close when the connection table or the buffer pool is full. The selection
// is max-min fair between peer addresses.
#pragma once

#include <optional>

#include "network/client_connection.h"

namespace delivery {

// The connection to close when the table is full and a client waits to connect, or nullopt if none may be
// closed now.
std::optional<ConnectionId> findEvictionCandidate(const ClientTable& clients, Micros now);

// The connection to close when the buffer pool is used up: one with a partial request, of the peer with the
// most buffered bytes. Nullopt if none may be closed now.
std::optional<ConnectionId> findBufferEvictionCandidate(const ClientTable& clients, Micros now);

}  // namespace delivery
