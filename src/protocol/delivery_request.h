// The HTTP request that delivers a message to an endpoint, and which texts HTTP can carry in its header.
#pragma once

#include <string_view>

#include "protocol/http_message.h"
#include "storage/submitted_message.h"

namespace delivery {

// Whether a text is sent unchanged as the value of a header field: it is short enough, and holds no space or
// control character, which could end the field early, and no byte outside of ASCII.
bool isHeaderFieldValue(std::string_view text);

// Whether HTTP can carry the message. Clients can only submit such messages, but a journal may hold others,
// which an earlier version accepted.
bool isDeliverable(const SubmittedMessage& message);

// The request that delivers the message, which has to be deliverable.
HttpRequest deliveryRequest(const SubmittedMessage& message);

}  // namespace delivery
