// HTTP requests and responses as the program uses them, independent of any connection.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace delivery {

using HttpFields = std::vector<std::pair<std::string, std::string>>;  // header fields, as name and value

struct HttpRequest {
  std::string method;
  std::string target;
  HttpFields fields;
  std::string body;
  // If not empty: a header field of this name gets the time left for the exchange, in whole milliseconds, at
  // the moment at which the request is written.
  std::string remaining_time_field;
};

// How far an exchange got.
enum class ExchangeStatus {
  answered,     // a status line was received
  not_written,  // no connection, or it broke before the last byte of the request was written
  broken,       // after the last byte, the connection broke or what was received is not HTTP
  timed_out     // the request was written, and nothing was received in time
};

// The result of an exchange. Status, body and fields are set only if it was answered.
struct HttpResponse {
  ExchangeStatus completion = ExchangeStatus::not_written;
  int status = 0;
  bool body_complete = false;
  // With not_written: a connection that had been used before turned out to be closed by the peer. Not a byte
  // of the request was written, so it can go over a new connection.
  bool stale_connection = false;
  std::string body;
  HttpFields fields;  // names in lower case

  const std::string* field(const std::string& lower_case_name) const;  // the first one's value, else nullptr
};

}  // namespace delivery
