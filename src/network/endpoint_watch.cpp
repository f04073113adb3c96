#include "network/endpoint_watch.h"

#include <algorithm>
#include <exception>
#include <utility>

#include "common/log.h"

namespace delivery {

namespace {

constexpr Micros kConnectTimeout = 1'000'000;   // ample, as the server is on this machine
constexpr Micros kLongPollHold = 20'000'000;    // how long discovery may hold a request open
constexpr Micros kResponseTimeout = 1'500'000;  // additional time for the response itself
// The maximum backoff, including jitter, is below 6 s: within this time the platform expects each sender to
// know of a change.
constexpr Micros kInitialBackoff = 100'000;
constexpr Micros kMaxBackoff = 3'200'000;
constexpr int kMaxBackoffDoublings = 8;

// The backoff doubles with each consecutive failure, up to its maximum.
Micros backoffAfter(int consecutive_failures) {
  const int doublings = std::min(consecutive_failures - 1, kMaxBackoffDoublings);
  return std::min(kMaxBackoff, kInitialBackoff << doublings);
}

// Returns a random value from 0.5 to 1.5 times the backoff, so that senders that failed at the same time do
// not retry at the same time.
Micros withJitter(Micros backoff, std::mt19937_64& random) {
  return std::uniform_int_distribution<Micros>(backoff / 2, backoff * 3 / 2)(random);
}

}  // namespace

EndpointWatch::EndpointWatch(DiscoveryClient client, std::uint64_t seed, std::size_t max_list_values,
                             OnEndpointList on_endpoint_list)
    : client_(std::move(client)),
      on_endpoint_list_(std::move(on_endpoint_list)),
      random_(seed),
      max_list_values_(max_list_values) {}

void EndpointWatch::changeServer(tcp::endpoint server, std::string host) {
  client_.changeServer(std::move(server), std::move(host));
  consecutive_failures_ = 0;  // the failures were those of the previous server
  start(EndpointList::kNoIndex);
}

void EndpointWatch::start(std::int64_t known_index) {
  known_index_ = known_index;
  requestList();
}

void EndpointWatch::requestList() {
  const bool is_long_poll = known_index_ >= 0;
  HttpRequest request;
  request.method = "GET";
  request.target = "/v1/endpoints";
  if (is_long_poll) {
    request.target += "?from=" + std::to_string(known_index_) +
                      "&hold_ms=" + std::to_string(kLongPollHold / kMicrosPerMillisecond);
  }
  const Micros timeout = (is_long_poll ? kLongPollHold : 0) + kResponseTimeout;
  client_.send(std::move(request), {kConnectTimeout, timeout},
               [this](const HttpResponse& response) { onResponse(response); });
}

void EndpointWatch::onResponse(const HttpResponse& response) {
  if (response.completion != ExchangeStatus::answered || response.status != 200 || !response.body_complete) {
    retryWithBackoff();
    return;
  }
  try {
    known_index_ = on_endpoint_list_(parseJson(response.body, max_list_values_));
  } catch (const std::exception& error) {
    // An unreadable response must not end the watch.
    logWarning("discovery", "unreadable_endpoint_list").field("error", error.what());
    known_index_ = EndpointList::kNoIndex;
    retryWithBackoff();
    return;
  }
  if (consecutive_failures_ > 0) {
    logInfo("discovery", "calls_recovered").field("failed_calls", consecutive_failures_);
  }
  consecutive_failures_ = 0;
  requestList();
}

void EndpointWatch::retryWithBackoff() {
  if (consecutive_failures_ == 0) {
    logWarning("discovery", "call_failed").field("next", "retry with exponential backoff");
  }
  ++consecutive_failures_;
  client_.backOff(withJitter(backoffAfter(consecutive_failures_), random_), [this] { requestList(); });
}

}  // namespace delivery
