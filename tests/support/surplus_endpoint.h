// An endpoint that sends more than its responses, for tests of data that belongs to no request.
#pragma once

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "common/clocks.h"
#include "network/quiet_time_policy.h"
#include "support/http_server.h"

namespace delivery::loopback {

// Behind every second of its responses it sends a copy of the response or noise, 0 to 5 ms later. Writes to
// every second connection are coalesced (no TCP_NODELAY).
class SurplusEndpoint {
 public:
  // Returns the bytes of the response. Called on the thread of the request's connection.
  using Respond = std::function<std::string(const ReceivedRequest& request)>;

  explicit SurplusEndpoint(Respond respond)
      : respond_(std::move(respond)),
        server_([this](const ReceivedRequest& request) { return respondWithSurplus(request); }) {}

  std::string address() const { return server_.address(); }
  std::vector<ReceivedRequest> requests() { return server_.requests(); }
  std::size_t surplusCount() {
    std::lock_guard<std::mutex> lock(mutex_);
    return surplus_count_;
  }

  // Whether all data behind earlier responses on the request's connection arrived within the sender's quiet
  // time. If this process was held up for longer, the sender can't tell that data from a response.
  bool isDistinguishable(const ReceivedRequest& request) {
    std::lock_guard<std::mutex> lock(mutex_);
    const auto late = late_from_.find(request.connection);
    return late == late_from_.end() || request.index_on_connection < late->second;
  }

 private:
  static constexpr std::size_t kGaps = 6;  // of 0 to 5 ms

  ServerAction respondWithSurplus(const ReceivedRequest& request) {
    const std::size_t number = request_count_++;
    ServerAction action{respond_(request)};
    if (number % 2 == 0) {
      const bool is_copy = number % 4 == 0;
      const std::string surplus = is_copy ? action.bytes : "\x01 noise, and no response";
      const std::chrono::milliseconds gap(number / 4 % kGaps);
      action.after_response = [this, request, surplus, gap, started_at = monotonicNow()](int fd) {
        const int no_delay = static_cast<int>(request.connection % 2);
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof no_delay);
        std::this_thread::sleep_for(gap);
        (void)!::send(fd, surplus.data(), surplus.size(), MSG_NOSIGNAL);
        onSurplusSent(request, monotonicNow() - started_at);
      };
    }
    return action;
  }

  void onSurplusSent(const ReceivedRequest& request, Micros gap) {
    std::lock_guard<std::mutex> lock(mutex_);
    ++surplus_count_;
    if (gap >= kMinQuietTime) {
      late_from_.emplace(request.connection, request.index_on_connection + 1);
    }
  }

  Respond respond_;
  std::atomic<std::size_t> request_count_{0};
  std::mutex mutex_;
  std::size_t surplus_count_ = 0;
  // By connection: the index of its first request that follows data which took longer than the quiet time.
  std::map<std::size_t, std::size_t> late_from_;
  HttpServer server_;
};

}  // namespace delivery::loopback
