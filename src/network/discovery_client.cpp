#include "network/discovery_client.h"

#include <chrono>
#include <utility>

#include "common/log.h"
#include "network/quiet_time_policy.h"

namespace delivery {

namespace asio = boost::asio;

DiscoveryClient::DiscoveryClient(asio::io_context& io, tcp::endpoint server, std::string host,
                                 std::size_t max_body_bytes)
    : io_(io),
      server_(std::move(server)),
      host_(std::move(host)),
      max_body_bytes_(max_body_bytes),
      backoff_timer_(io) {}

void DiscoveryClient::send(HttpRequest request, Timeouts timeouts, HttpConnection::OnResponse on_response) {
  if (is_stopped_) {
    return;
  }
  HttpConnection::Timing timing;
  timing.connect_timeout = timeouts.connect;
  timing.deadline = Deadline::after(monotonicNow(), timeouts.response);
  timing.quiet_time = kMinQuietTime;
  exchange(std::move(request), timing, std::move(on_response));
}

// Makes the request on the open connection, and on a new one if that turns out to be stale.
void DiscoveryClient::exchange(HttpRequest request, const HttpConnection::Timing& timing,
                               HttpConnection::OnResponse on_response) {
  if (!connection_ || !connection_->isIdle()) {
    const HttpConnection::BodyLimits limits{max_body_bytes_, BodyUse::keep};
    connection_ = std::make_unique<HttpConnection>(io_, server_, host_, limits);
  }
  HttpRequest sent_request = request;
  auto on_end = [this, request = std::move(request), timing,
                 on_response = std::move(on_response)](const HttpResponse& response) {
    if (response.unsolicited_data_gap) {
      onUnsolicitedData(*response.unsolicited_data_gap);
    }
    if (response.stale_connection) {
      exchange(request, timing, on_response);
    } else {
      on_response(response);
    }
  };
  connection_->exchange(std::move(sent_request), timing, std::move(on_end));
}

void DiscoveryClient::onUnsolicitedData(Micros gap) {
  ++unsolicited_data_count_;
  logWarning("discovery", "unsolicited_data").field("gap_us", gap).field("count", unsolicited_data_count_);
}

void DiscoveryClient::backOff(Micros delay, std::function<void()> on_elapsed) {
  connection_.reset();
  if (is_stopped_) {
    return;
  }
  backoff_timer_.expires_after(std::chrono::microseconds(delay));
  backoff_timer_.async_wait([on_elapsed = std::move(on_elapsed)](const boost::system::error_code& cancelled) {
    if (!cancelled) {
      on_elapsed();
    }
  });
}

void DiscoveryClient::changeServer(tcp::endpoint server, std::string host) {
  connection_.reset();
  backoff_timer_.cancel();
  server_ = std::move(server);
  host_ = std::move(host);
}

void DiscoveryClient::stop() {
  is_stopped_ = true;
  connection_.reset();
  backoff_timer_.cancel();
}

}  // namespace delivery
