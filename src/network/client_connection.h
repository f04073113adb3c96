// The state of each client connection, and the totals of each peer address.
//
// Deadlines and eviction by state (values in client_admission.cpp and client_eviction.cpp):
//
//     state                   deadline                              evictable after silence of
//     awaiting_first_request  2 s; 1 s while draining               20 ms
//     reading_request         1 s, or an earlier one of before      500 ms; never once it has submitted
//     awaiting_reply          none; 1 s to take the reply           never
//     idle                    60 s once it has submitted, else 2 s  2 s once it has submitted, 4 s if another
//                                                                   peer holds more; else 20 ms
//     discarding_input        1 s                                   500 ms
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "network/deadline_table.h"

namespace delivery {

enum class ClientState {
  awaiting_first_request,
  reading_request,  // a part of a request is buffered
  awaiting_reply,   // a complete request, until its reply is written
  idle,             // between two requests
  discarding_input  // it was sent an error; what still arrives is discarded
};

// All connections from one address.
struct PeerUsage {
  std::size_t connections = 0;
  std::size_t buffered_bytes = 0;  // received and not processed yet
};

struct ClientConnection {
  ClientState state = ClientState::awaiting_first_request;
  std::string peer_address;
  PeerUsage* peer = nullptr;  // in ClientTable::peers
  Micros silent_since = 0;    // when bytes last arrived, or its last request ended
  std::size_t buffered_bytes = 0;
  bool has_submitted = false;      // a message in proper form
  bool has_been_answered = false;  // any request
  bool has_open_request = false;   // false while awaiting_reply: the request is queued for its turn
  bool is_stalled = false;         // not read from, as the buffer pool is used up
  bool has_unread_input = false;   // in its socket
  bool had_grace_read = false;     // its deadline has passed, and it was granted one read of unread input
};

struct ClientTable {
  std::map<ConnectionId, ClientConnection> connections;
  std::map<std::string, PeerUsage> peers;  // by address
};

// Bytes that each connection may buffer at any time, outside the shared pool, so that peers that fill the
// pool with long requests don't hold up others.
constexpr std::size_t kUnpooledBytes = 4096;

inline std::size_t pooledBytes(std::size_t buffered_bytes) {
  return buffered_bytes > kUnpooledBytes ? buffered_bytes - kUnpooledBytes : 0;
}

}  // namespace delivery
