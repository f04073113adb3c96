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

// One value of a list, "x0=0.4,x1=25"; 0 if it is missing or no number.
double listedValue(const std::string& list, const std::string& name) {
  const std::string key = "," + name + "=";
  const std::size_t position = ("," + list).find(key);
  if (position == std::string::npos) {
    return 0;
  }
  const std::size_t value_begin = position + key.size() - 1;  // without the comma put in front
  return parseNumber(list.substr(value_begin)).value_or(0);
}

AttemptResult resultOfStatus(const HttpResponse& answer) {
  switch (answer.status) {
    case kStatusOk:
      return AttemptResult::ok;
    case kStatusTooManyRequests:
      return AttemptResult::throttled;
    case kStatusServiceUnavailable: {
      const bool no_egress_slot = answer.field("x-egress-full") != nullptr;
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

AttemptResult attemptResultOf(const HttpResponse& answer) {
  switch (answer.completion) {
    case ExchangeStatus::not_written:
      return AttemptResult::connect_failed;
    case ExchangeStatus::broken:
      return AttemptResult::reset;
    case ExchangeStatus::timed_out:
      return AttemptResult::timeout;
    case ExchangeStatus::answered:
      break;
  }
  // A truncated answer can't be trusted, and the call may have run; a status of 200 alone says it did.
  if (!answer.body_complete && answer.status != kStatusOk) {
    return AttemptResult::error;
  }
  return resultOfStatus(answer);
}

bool isMessageFinished(const HttpResponse& answer) {
  return answer.completion == ExchangeStatus::answered &&
         (answer.status == kStatusOk || answer.status == kStatusGone);
}

Micros retryAfterOf(const HttpResponse& answer) {
  if (answer.status != kStatusTooManyRequests && answer.status != kStatusServiceUnavailable) {
    return 0;
  }
  const std::string* field = answer.field("retry-after");
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

std::optional<LoadReport> loadReportOf(const HttpResponse& answer) {
  const std::string* field = answer.field("x-pressure");
  if (field == nullptr) {
    return std::nullopt;
  }
  return LoadReport{listedValue(*field, "x0"), listedValue(*field, "x1")};
}

}  // namespace delivery
