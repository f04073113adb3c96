// A discovery server for tests: it serves an endpoint list and receives completion notices.
#pragma once

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <utility>

#include "support/http_server.h"
#include "support/wait.h"

namespace delivery::loopback {

using nlohmann::json;

// An entry of discovery's endpoint list. `group` is the destination of the endpoint.
inline json endpointEntry(const std::string& name, const std::string& address, int group,
                          const std::string& status = "Ready") {
  return {{"name", name},   {"address", address}, {"zone", "a"},    {"type", "partner"},
          {"group", group}, {"status", status},   {"weight", 50.0}, {"since_ms", 0}};
}

// Answers a watch request once there is a newer list, and records completion notices.
class DiscoveryServer {
 public:
  DiscoveryServer() : server_([this](const ReceivedRequest& request) { return respond(request); }) {}
  ~DiscoveryServer() {
    stop_ = true;
    changed_.notify_all();
  }

  std::string address() const { return server_.address(); }

  // Replaces the list and raises its index by 1. The first list that is published has index 2.
  void publish(json endpoints, bool is_snapshot = false) {
    std::lock_guard<std::mutex> lock(mutex_);
    ++index_;
    is_snapshot_ = is_snapshot;
    endpoints_ = std::move(endpoints);
    changed_.notify_all();
  }
  // Waits for a watch request from this index or a later one. The program has then read the lists up to the
  // index.
  bool waitForWatch(long from) {
    std::unique_lock<std::mutex> lock(mutex_);
    return changed_.wait_for(lock, kWaitLimit, [&] { return watched_from_ >= from; });
  }

  bool waitForNotice(const std::string& message) {
    std::unique_lock<std::mutex> lock(mutex_);
    return changed_.wait_for(lock, kWaitLimit, [&] { return notices_.count(message) > 0; });
  }
  // The last notice of a message; null if there is none.
  json notice(const std::string& message) {
    std::lock_guard<std::mutex> lock(mutex_);
    return notices_[message];
  }
  std::string noticesAsText() {
    std::lock_guard<std::mutex> lock(mutex_);
    return json(notices_).dump();
  }
  std::size_t noticeCount() {
    std::lock_guard<std::mutex> lock(mutex_);
    return notices_.size();
  }

  std::atomic<bool> reject_notices{false};       // answer notices with 503
  std::atomic<int> rejected_notice_requests{0};  // requests with notices that were answered with 503

 private:
  ServerAction respond(const ReceivedRequest& request) {
    const bool has_notices = request.head.rfind("POST /v1/notices", 0) == 0;
    return has_notices ? receiveNotices(request) : answerWatch(request);
  }

  ServerAction receiveNotices(const ReceivedRequest& request) {
    if (reject_notices) {
      ++rejected_notice_requests;
      return {httpResponse("503 Busy")};
    }
    std::lock_guard<std::mutex> lock(mutex_);
    std::istringstream lines(request.body);
    for (std::string line; std::getline(lines, line);) {
      const json notice = json::parse(line);
      notices_[notice["message"]] = notice;
    }
    changed_.notify_all();
    return {"HTTP/1.1 204 No Content\r\n\r\n"};
  }

  ServerAction answerWatch(const ReceivedRequest& request) {
    long from = -1;
    const auto parameter = request.head.find("from=");
    if (parameter != std::string::npos) {
      from = std::stol(request.head.substr(parameter + 5));
    }
    std::unique_lock<std::mutex> lock(mutex_);
    watched_from_ = std::max(watched_from_, from);
    changed_.notify_all();
    changed_.wait_for(lock, kWaitLimit, [&] { return stop_ || index_ > from; });
    if (stop_) {
      return {"", true};
    }
    const json body{{"index", index_}, {"snapshot", is_snapshot_}, {"endpoints", endpoints_}};
    return {httpResponse("200 OK", "", body.dump())};
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, json> notices_;  // the last notice of each message, by message id
  json endpoints_ = json::array();
  long index_ = 1;
  long watched_from_ = -1;  // the highest index that a watch request has named; -1: none
  bool is_snapshot_ = false;
  std::atomic<bool> stop_{false};
  HttpServer server_;
};

}  // namespace delivery::loopback
