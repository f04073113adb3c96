// A strict parser of RESP2 requests (arrays of bulk strings) with limits on all sizes. It uses no socket: the
// caller appends the bytes that it has read to a buffer, and parses the buffer from its front until a request
// is complete.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace delivery {

constexpr std::size_t kMaxRespArguments = 16;         // in one request, including the command
constexpr std::size_t kMaxRespArgumentBytes = 65536;  // in one argument
// In all arguments of one request together.
constexpr std::size_t kMaxRespTotalArgumentBytes = 2 * kMaxRespArgumentBytes;
// The longest well-formed request is shorter, so a connection can stop reading at this size. 64 bytes are
// more than the array header needs, and 16 bytes more than the length line and the line end of an argument
// need.
constexpr std::size_t kMaxRespRequestBytes = 64 + kMaxRespArguments * 16 + kMaxRespTotalArgumentBytes;

// A complete request.
struct RespRequest {
  std::vector<std::string> arguments;  // at least one; the first one is the command
  std::size_t consumed_bytes = 0;      // length of the request at the front of the input
};

// The input is the beginning of a request that is well formed so far.
struct RespIncomplete {};

// The input violates the protocol, regardless of the bytes that follow.
struct RespProtocolError {
  std::string message;  // the text for the client, without the leading "-ERR "
};

using RespParseResult = std::variant<RespRequest, RespIncomplete, RespProtocolError>;

// Parses one request at the front of `input`.
RespParseResult parseRespRequest(std::string_view input);

}  // namespace delivery
