// Parses the requests of clients, PING and MSG.PUT: from the arguments of a RESP request to typed values.
// Uses no sockets.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "storage/submitted_message.h"

namespace delivery {

struct PingRequest {};

enum class RequestError {
  unknown_command,
  wrong_argument_count,
  malformed_id,
  malformed_field_list,
  malformed_time_to_live,
  malformed_destination,
  malformed_idempotency_key,
  missing_class,
  missing_time_to_live,
  missing_destination
};

// The reply line for an invalid request, without the line end. The texts are part of the protocol.
const char* errorReply(RequestError error);

// SubmittedMessage stands for MSG.PUT. Its deadline is not set, because the time to live counts from the
// earliest moment at which the client can have sent the request.
using ClientRequest = std::variant<PingRequest, SubmittedMessage, RequestError>;

// Parses the arguments of one RESP request. `arguments` holds at least the command.
ClientRequest parseClientRequest(const std::vector<std::string>& arguments);

}  // namespace delivery
