// A strict parser of RESP2 requests (arrays of bulk strings) with bounds on all sizes. It needs no socket:
// the caller appends what it has read to a buffer and parses the buffer's front again until a request is
// complete.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace delivery {

constexpr std::size_t kMaxRespArguments = 16;         // of one request, the command included
constexpr std::size_t kMaxRespArgumentBytes = 65536;  // of one argument; all together may have twice as many
// No well-formed request is longer, so a reader can stop reading there.
constexpr std::size_t kMaxRespRequestBytes = 64 + kMaxRespArguments * 16 + 2 * kMaxRespArgumentBytes;

// A complete request.
struct RespRequest {
  std::vector<std::string> arguments;  // at least one: the command comes first
  std::size_t consumed_bytes = 0;      // that the request took up at the front of the input
};

// The input is the beginning of a request that may still be well formed.
struct RespIncomplete {};

// The input violates the protocol, whatever follows it.
struct RespProtocolError {
  std::string message;  // for the client, without the leading "-ERR "
};

using RespParseResult = std::variant<RespRequest, RespIncomplete, RespProtocolError>;

// Parses one request at the front of `input`.
RespParseResult parseRespRequest(std::string_view input);

}  // namespace delivery
