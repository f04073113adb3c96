// The state of each client connection, and the totals of each peer address.
//
// Deadline and eviction by state (the values are in client_admission.cpp and client_eviction.cpp):
//
//     state                   deadline                            evictable after inactivity of
//     awaiting_first_request  2 s; 1 s while draining             20 ms
//     reading_request         1 s, or the previous deadline if    500 ms; never if it has submitted
//                             that is earlier
//     awaiting_reply          none; 1 s to write the reply        never
//     idle                    60 s if it has submitted, else 2 s  2 s if it has submitted (4 s while another
//                                                                 peer has more connections), else 20 ms for
//                                                                 its first requests, then none
//     discarding_input        1 s                                 500 ms
//
// A connection "has submitted" once a message from it was accepted or rejected as busy.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "network/deadline_table.h"

namespace delivery {

enum class ClientState {
  awaiting_first_request,
  reading_request,  // the beginning of a request is buffered
  awaiting_reply,   // from a complete request until its reply is written
  idle,             // between two requests
  discarding_input  // after a malformed request: input that still arrives is discarded
};

// The totals of all connections from one address.
struct PeerUsage {
  std::size_t connections = 0;
  std::size_t buffered_bytes = 0;  // received and not yet processed
};

struct ClientConnection {
  ClientState state = ClientState::awaiting_first_request;
  std::string peer_address;
  PeerUsage* peer = nullptr;    // points into ClientTable::peers
  Micros last_activity_at = 0;  // when bytes last arrived or a reply was last written
  std::size_t buffered_bytes = 0;
  bool has_submitted = false;       // a message was accepted or rejected as busy
  std::size_t replies = 0;          // to any requests
  bool has_open_request = false;    // a request is being processed; false in awaiting_reply: it is queued
  bool is_stalled = false;          // it is not read from because the buffer pool is used up
  bool has_unread_input = false;    // its socket holds unread input
  bool is_grace_read_used = false;  // its deadline was extended once to read unread input
};

struct ClientTable {
  std::map<ConnectionId, ClientConnection> connections;
  std::map<std::string, PeerUsage> peers;  // by address
};

// Bytes that each connection may buffer in addition to the shared pool, so that peers that fill the pool with
// long requests don't block short requests of others.
constexpr std::size_t kUnpooledBytes = 4096;

// The part of a connection's buffered bytes that counts against the shared pool.
inline std::size_t pooledBytes(std::size_t buffered_bytes) {
  return buffered_bytes > kUnpooledBytes ? buffered_bytes - kUnpooledBytes : 0;
}

}  // namespace delivery
