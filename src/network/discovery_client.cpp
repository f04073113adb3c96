#include "network/discovery_client.h"

#include <chrono>
#include <utility>

namespace delivery {

namespace asio = boost::asio;

namespace {

constexpr Micros kConnectTimeout = 1'000'000;  // ample, as the server is on this machine
constexpr std::size_t kMaxResponseBodyBytes = 8u << 20;

}  // namespace

DiscoveryClient::DiscoveryClient(asio::io_context& io, tcp::endpoint server, std::string host)
    : io_(io), server_(std::move(server)), host_(std::move(host)), backoff_timer_(io) {}

void DiscoveryClient::send(HttpRequest request, Micros timeout, HttpConnection::OnResponse on_response) {
  if (is_stopped_) {
    return;
  }
  if (!connection_ || !connection_->isReusable()) {
    connection_ = std::make_unique<HttpConnection>(io_, server_, host_, kMaxResponseBodyBytes);
  }
  connection_->exchange(std::move(request), kConnectTimeout, Deadline::after(monotonicNow(), timeout),
                        std::move(on_response));
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
