#include "network/completion_notifier.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "common/log.h"
#include "protocol/json_fields.h"

namespace delivery {

namespace {

// How long a request waits for its response before it is repeated on another connection. Two repeats that
// meet silence as well still leave a third one within the 300 ms in which a notice is due.
constexpr Micros kFirstRepeatDelay = 75'000;
constexpr Micros kMaxRepeatDelay = 600'000;
// A connection may come up late, after a SYN was lost.
constexpr Micros kResponseTimeout = 2'000'000;
constexpr Micros kBackoff = 50'000;
constexpr int kBadRequest = 400;
constexpr std::size_t kMaxResponseBodyBytes = 4096;  // a response has no body that means anything

bool isAnswered(const HttpResponse& response) {
  return response.completion == ExchangeStatus::answered;
}

bool isSuccess(const HttpResponse& response) {
  return isAnswered(response) && response.status / 100 == 2;
}

}  // namespace

CompletionNotifier::CompletionNotifier(boost::asio::io_context& io, tcp::endpoint server, std::string host,
                                       OnAcknowledged on_acknowledged)
    : io_(io),
      server_(std::move(server)),
      host_(std::move(host)),
      on_acknowledged_(std::move(on_acknowledged)),
      repeat_timer_(io),
      backoff_timer_(io),
      repeat_delay_(kFirstRepeatDelay) {}

void CompletionNotifier::enqueue(const std::string& message_id, const CompletionNotice& notice) {
  pending_.push_back({message_id, notice});
  if (requests_.empty() && !is_backing_off_) {
    sendPending();
  }
}

void CompletionNotifier::changeServer(tcp::endpoint server, std::string host) {
  endRequests();
  idle_client_.reset();
  backoff_timer_.cancel();
  is_backing_off_ = false;
  server_ = std::move(server);
  host_ = std::move(host);
  sendPending();
}

void CompletionNotifier::stop() {
  is_stopped_ = true;
  endRequests();
  idle_client_.reset();
  backoff_timer_.cancel();
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

std::unique_ptr<DiscoveryClient> CompletionNotifier::takeClient() {
  if (idle_client_) {
    return std::move(idle_client_);
  }
  return std::make_unique<DiscoveryClient>(io_, server_, host_, kMaxResponseBodyBytes);
}

// Sends the first pending notices in a request of their own, beside those that are in flight.
void CompletionNotifier::sendPending() {
  if (pending_.empty() || is_stopped_) {
    return;
  }
  HttpRequest message;
  message.method = "POST";
  message.target = "/v1/notices";
  message.fields.emplace_back("Content-Type", "application/json");
  const std::size_t count = std::min(pending_.size(), batch_limit_);
  for (std::size_t i = 0; i < count; ++i) {
    message.body += toLine(pending_[i]);
  }
  const std::uint64_t id = ++last_request_id_;
  const Request& request = requests_.emplace_back(Request{id, takeClient(), count});
  request.client->send(std::move(message), {kResponseTimeout, kResponseTimeout},
                       [this, id](const HttpResponse& response) { onResponse(id, response); });
  scheduleRepeat();
}

void CompletionNotifier::scheduleRepeat() {
  repeat_timer_.expires_after(std::chrono::microseconds(repeat_delay_));
  repeat_timer_.async_wait([this, id = last_request_id_](const boost::system::error_code& cancelled) {
    if (!cancelled && id == last_request_id_ && !requests_.empty()) {
      repeatOnAnotherConnection();
    }
  });
}

void CompletionNotifier::repeatOnAnotherConnection() {
  if (repeat_delay_ == kFirstRepeatDelay) {
    logWarning("discovery", "notice_unanswered").field("waited_ms", repeat_delay_ / kMicrosPerMillisecond);
  }
  repeat_delay_ = std::min(2 * repeat_delay_, kMaxRepeatDelay);
  if (requests_.size() == kMaxRequests) {
    requests_.pop_front();
  }
  sendPending();
}

void CompletionNotifier::onResponse(std::uint64_t request_id, const HttpResponse& response) {
  const auto request = std::find_if(requests_.begin(), requests_.end(),
                                    [&](const Request& candidate) { return candidate.id == request_id; });
  if (request == requests_.end()) {
    return;
  }
  const bool is_rejected = isAnswered(response) && response.status == kBadRequest;
  if (is_rejected && request->notice_count > 1) {
    sendEachAlone();
    return;
  }
  if (!is_rejected && !isSuccess(response)) {
    onFailure(request);
    return;
  }
  if (is_rejected) {
    logError("discovery", "notice_rejected").field("message_id", pending_.front().message_id);
  }
  onAnswer(request);
}

// So that one unreadable notice does not block the others.
void CompletionNotifier::sendEachAlone() {
  batch_limit_ = 1;
  endRequests();
  sendPending();
}

// Other requests may still be answered. Once none is left, tries again.
void CompletionNotifier::onFailure(std::list<Request>::iterator request) {
  requests_.erase(request);
  if (!requests_.empty()) {
    return;
  }
  endRequests();
  is_backing_off_ = true;
  backoff_timer_.expires_after(std::chrono::microseconds(kBackoff));
  backoff_timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled) {
      is_backing_off_ = false;
      sendPending();
    }
  });
}

void CompletionNotifier::onAnswer(std::list<Request>::iterator request) {
  const std::size_t count = request->notice_count;
  idle_client_ = std::move(request->client);
  endRequests();
  acknowledge(count);
  if (pending_.empty()) {
    batch_limit_ = kMaxBatch;
  }
  sendPending();
}

// Cancels all requests, whose callbacks are not called any more.
void CompletionNotifier::endRequests() {
  requests_.clear();
  repeat_timer_.cancel();
  repeat_delay_ = kFirstRepeatDelay;
}

void CompletionNotifier::acknowledge(std::size_t count) {
  for (std::size_t i = 0; i < count; ++i) {
    on_acknowledged_(pending_.front().message_id);
    pending_.pop_front();
  }
}

}  // namespace delivery
