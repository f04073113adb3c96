#include "network/completion_notifier.h"

#include <algorithm>
#include <utility>

#include "common/log.h"
#include "protocol/json_fields.h"

namespace delivery {

namespace {

constexpr Micros kResponseTimeout = 500'000;  // the server acknowledges without delay
constexpr Micros kBackoff = 50'000;
constexpr int kBadRequest = 400;

bool isAnswered(const HttpResponse& response) {
  return response.completion == ExchangeStatus::answered;
}

bool isSuccess(const HttpResponse& response) {
  return isAnswered(response) && response.status / 100 == 2;
}

}  // namespace

CompletionNotifier::CompletionNotifier(DiscoveryClient client, OnAcknowledged on_acknowledged)
    : client_(std::move(client)), on_acknowledged_(std::move(on_acknowledged)) {}

void CompletionNotifier::enqueue(const std::string& message_id, const CompletionNotice& notice) {
  pending_.push_back({message_id, notice});
  if (in_flight_ == 0 && !is_backing_off_) {
    sendNextBatch();
  }
}

void CompletionNotifier::changeServer(tcp::endpoint server, std::string host) {
  client_.changeServer(std::move(server), std::move(host));
  in_flight_ = 0;
  is_backing_off_ = false;
  sendNextBatch();
}

// One line of the request body, in the format of the discovery server.
std::string CompletionNotifier::toLine(const PendingNotice& pending) {
  const CompletionNotice& notice = pending.notice;
  json line{{"message", pending.message_id}, {"outcome", notice.returned ? "handed_back" : "given_up"}};
  if (notice.returned && notice.retry_after_ms > 0) {
    line["retry_in_ms"] = notice.retry_after_ms;
  }
  return line.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

void CompletionNotifier::sendNextBatch() {
  if (pending_.empty()) {
    return;
  }
  in_flight_ = std::min(pending_.size(), batch_limit_);
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/notices";
  request.fields.emplace_back("Content-Type", "application/json");
  for (std::size_t i = 0; i < in_flight_; ++i) {
    request.body += toLine(pending_[i]);
  }
  client_.send(std::move(request), kResponseTimeout,
               [this](const HttpResponse& response) { onResponse(response); });
}

void CompletionNotifier::onResponse(const HttpResponse& response) {
  const std::size_t sent = std::exchange(in_flight_, 0);
  const bool is_rejected = isAnswered(response) && response.status == kBadRequest;
  if (is_rejected && sent > 1) {
    batch_limit_ = 1;  // so that one unreadable notice does not block the others
    sendNextBatch();
    return;
  }
  if (!is_rejected && !isSuccess(response)) {
    backOff();
    return;
  }
  if (is_rejected) {
    logError("discovery", "notice_rejected").field("message_id", pending_.front().message_id);
  }
  acknowledge(sent);
  if (pending_.empty()) {
    batch_limit_ = kMaxBatch;
  }
  sendNextBatch();
}

void CompletionNotifier::backOff() {
  is_backing_off_ = true;
  client_.backOff(kBackoff, [this] {
    is_backing_off_ = false;
    sendNextBatch();
  });
}

void CompletionNotifier::acknowledge(std::size_t count) {
  for (std::size_t i = 0; i < count; ++i) {
    on_acknowledged_(pending_.front().message_id);
    pending_.pop_front();
  }
}

}  // namespace delivery
