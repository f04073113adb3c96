#include "protocol/delivery_response.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <string>

namespace delivery {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusGone = 410;
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusServiceUnavailable = 503;
constexpr int kStatusGatewayTimeout = 504;

constexpr double kMicrosPerSecond = 1e6;
constexpr Micros kMaxRetryAfter = 24LL * 3600 * 1'000'000;

std::optional<double> parseNumber(const std::string& text) {
  char* end = nullptr;
  const double value = std::strtod(text.c_str(), &end);
  if (end == text.c_str() || !std::isfinite(value)) {
    return std::nullopt;
  }
  return value;
}

// Returns the value called `name` from a list such as "x0=0.4,x1=25"; 0 if it is missing or not a number.
double parseListValue(const std::string& list, const std::string& name) {
  const std::string key = "," + name + "=";
  const std::size_t position = ("," + list).find(key);
  if (position == std::string::npos) {
    return 0;
  }
  const std::size_t value_begin = position + key.size() - 1;  // the key's leading comma is not part of `list`
  return parseNumber(list.substr(value_begin)).value_or(0);
}

AttemptResult resultOfStatus(const HttpResponse& response) {
  switch (response.status) {
    case kStatusOk:
      return AttemptResult::ok;
    case kStatusTooManyRequests:
      return AttemptResult::throttled;
    case kStatusServiceUnavailable: {
      const bool no_egress_slot = response.field("x-egress-full") != nullptr;
      return no_egress_slot ? AttemptResult::not_sent : AttemptResult::throttled;
    }
    case kStatusGatewayTimeout:
    case kStatusGone:
      return AttemptResult::not_sent;
    default:
      return AttemptResult::error;
  }
}

}  // namespace

AttemptResult attemptResultOf(const HttpResponse& response) {
  switch (response.completion) {
    case ExchangeStatus::invalid_request:
      return AttemptResult::not_sent;
    case ExchangeStatus::not_written:
      return AttemptResult::connect_failed;
    case ExchangeStatus::broken:
      return AttemptResult::reset;
    case ExchangeStatus::timed_out:
      return AttemptResult::timeout;
    case ExchangeStatus::answered:
      break;
  }
  // The head of a truncated response is not reliable, and the call may have run. Only a status of 200 is
  // accepted without the complete body, because it says that the call did run.
  if (!response.body_complete && response.status != kStatusOk) {
    return AttemptResult::error;
  }
  return resultOfStatus(response);
}

bool isMessageFinished(const HttpResponse& response) {
  return response.completion == ExchangeStatus::answered &&
         (response.status == kStatusOk || response.status == kStatusGone);
}

Micros retryAfterOf(const HttpResponse& response) {
  if (response.status != kStatusTooManyRequests && response.status != kStatusServiceUnavailable) {
    return 0;
  }
  const std::string* field = response.field("retry-after");
  if (field == nullptr) {
    return 0;
  }
  const std::optional<double> seconds = parseNumber(*field);
  if (!seconds || *seconds <= 0) {
    return 0;
  }
  const double micros = std::min(*seconds * kMicrosPerSecond, static_cast<double>(kMaxRetryAfter));
  return static_cast<Micros>(std::ceil(micros));
}

std::optional<LoadReport> loadReportOf(const HttpResponse& response) {
  const std::string* field = response.field("x-pressure");
  if (field == nullptr) {
    return std::nullopt;
  }
  return LoadReport{parseListValue(*field, "x0"), parseListValue(*field, "x1")};
}

}  // namespace delivery
