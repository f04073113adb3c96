// Translates the HTTP response of an endpoint to a call into the values that the decision module works with.
// Uses no sockets.
#pragma once

#include <optional>

#include "common/events.h"
#include "protocol/http_message.h"

namespace delivery {

// Follows the protocol's table of response statuses. A status that the table does not list is an error.
AttemptResult attemptResultOf(const HttpResponse& response);

// Whether the message needs no further attempt: it was delivered (200), or the endpoint responded that it is
// gone (410).
bool isMessageFinished(const HttpResponse& response);

// The pause that the Retry-After field of a 429 or 503 response asks for, in microseconds; 0 if the response
// asks for none. The head of the response is enough: the pause applies even if the body does not arrive.
Micros retryAfterOf(const HttpResponse& response);

// The load report in the X-Pressure field; std::nullopt if the response has no such field. A value that is
// missing in the field or can't be read counts as 0.
std::optional<LoadReport> loadReportOf(const HttpResponse& response);

}  // namespace delivery
