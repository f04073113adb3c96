#include "protocol/delivery_request.h"

#include <algorithm>

namespace delivery {

bool isHeaderFieldValue(std::string_view text) {
  constexpr char kFirstPrintable = '!';
  constexpr char kLastPrintable = '~';
  return text.size() <= kMaxFieldValueBytes && std::all_of(text.begin(), text.end(), [](char c) {
           return c >= kFirstPrintable && c <= kLastPrintable;
         });
}

bool isDeliverable(const SubmittedMessage& message) {
  return isHeaderFieldValue(message.id) && isHeaderFieldValue(message.idempotency_key);
}

HttpRequest deliveryRequest(const SubmittedMessage& message) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/hook";
  request.fields.emplace_back("X-Txn", message.id);
  if (!message.idempotency_key.empty()) {
    request.fields.emplace_back("Idempotency-Key", message.idempotency_key);
  }
  request.remaining_time_field = "X-Remaining-Ms";
  request.body = message.body;
  return request;
}

}  // namespace delivery
