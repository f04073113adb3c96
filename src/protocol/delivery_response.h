// Reads an endpoint's HTTP answer to a call into what the decision module is given. No sockets.
#pragma once

#include <optional>

#include "common/events.h"
#include "protocol/http_message.h"

namespace delivery {

// By the protocol's table of answers; an answer that is not in it is an error.
AttemptResult attemptResultOf(const HttpResponse& answer);

// The message needs no further attempt: it was delivered, or the endpoint answered that it is gone (410).
bool isMessageFinished(const HttpResponse& answer);

// From its Retry-After field; 0: none. The head suffices: it counts whatever becomes of the body.
Micros retryAfterOf(const HttpResponse& answer);

// None if the answer has no load report, or one that can't be read.
std::optional<LoadReport> loadReportOf(const HttpResponse& answer);

}  // namespace delivery
