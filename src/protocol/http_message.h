// HTTP requests and responses as values, independent of any connection.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "common/clocks.h"

namespace delivery {

// The length up to which Beast can store the value of a header field, in bytes.
constexpr std::size_t kMaxFieldValueBytes = 65533;

using HttpFields = std::vector<std::pair<std::string, std::string>>;  // header fields, as name and value

struct HttpRequest {
  std::string method;
  std::string target;
  HttpFields fields;
  std::string body;
  // If not empty, the request is sent with a header field of this name. Its value is the time left for the
  // exchange, in whole milliseconds, when the request is written.
  std::string remaining_time_field;
};

// How far an exchange of request and response got.
enum class ExchangeStatus {
  answered,         // a status line was received
  invalid_request,  // HTTP can't carry the request, as a field is too long; nothing was written
  not_written,      // there was no connection, or it broke or the time ran out before the last byte of the
                    // request was written
  broken,           // after the last byte was written, the connection broke or the peer sent invalid HTTP
  timed_out         // the request was written, and no response was received in time
};

// The result of an exchange. Status, body and fields are set only if `completion` is `answered`.
struct HttpResponse {
  ExchangeStatus completion = ExchangeStatus::not_written;
  int status = 0;
  bool body_complete = false;
  // Set together with not_written: the peer had closed the reused connection or had sent data without a
  // request. The request was not written as a whole, so it can be sent on a new connection.
  bool stale_connection = false;
  // Set if the peer sent data that belongs to no request, behind this response or before the request was
  // written: how long after the last response it was found, in microseconds. The response itself is good.
  std::optional<Micros> unsolicited_data_gap;
  std::string body;
  HttpFields fields;  // names in lower case

  // The value of the first field of this name; nullptr if there is none.
  const std::string* field(const std::string& lower_case_name) const;
};

}  // namespace delivery
