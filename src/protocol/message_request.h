// The requests of clients, PING and MSG.PUT, from the words of a RESP request to typed values. No sockets.
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

// The reply line for a request in error, without its end; part of the protocol.
const char* errorReply(RequestError error);

// SubmittedMessage: of MSG.PUT; its deadline is not set, as that counts from when the request was sent.
using ClientRequest = std::variant<PingRequest, SubmittedMessage, RequestError>;

// `words`: at least one, as a RESP request has.
ClientRequest parseClientRequest(const std::vector<std::string>& words);

}  // namespace delivery
