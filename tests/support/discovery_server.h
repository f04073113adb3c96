// The platform's discovery server as tests need it.
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

// An endpoint as discovery lists it; `group` is its destination.
inline json endpointEntry(const std::string& name, const std::string& address, int group,
                          const std::string& status = "Ready") {
  return {{"name", name},   {"address", address}, {"zone", "a"},    {"type", "partner"},
          {"group", group}, {"status", status},   {"weight", 50.0}, {"since_ms", 0}};
}

// Answers a watch request once there is a newer list, and takes completion notices.
class DiscoveryServer {
 public:
  DiscoveryServer() : server_([this](const ReceivedRequest& request) { return respond(request); }) {}
  ~DiscoveryServer() {
    stop_ = true;
    changed_.notify_all();
  }

  std::string address() const { return server_.address(); }

  void publish(json endpoints, bool is_snapshot = false) {
    std::lock_guard<std::mutex> lock(mutex_);
    ++index_;
    is_snapshot_ = is_snapshot;
    endpoints_ = std::move(endpoints);
    changed_.notify_all();
  }
  // Waits for a watch request from this index or a later one: what was published before it has been read.
  bool waitForWatch(long from) {
    std::unique_lock<std::mutex> lock(mutex_);
    return changed_.wait_for(lock, kWaitLimit, [&] { return watched_from_ >= from; });
  }

  bool waitForNotice(const std::string& message) {
    std::unique_lock<std::mutex> lock(mutex_);
    return changed_.wait_for(lock, kWaitLimit, [&] { return notices_.count(message) > 0; });
  }
  json notice(const std::string& message) {
    std::lock_guard<std::mutex> lock(mutex_);
    return notices_[message];
  }
  std::string allNotices() {
    std::lock_guard<std::mutex> lock(mutex_);
    return json(notices_).dump();
  }
  std::size_t noticeCount() {
    std::lock_guard<std::mutex> lock(mutex_);
    return notices_.size();
  }

  std::atomic<bool> refuse_notices{false};
  std::atomic<int> refused{0};  // requests with notices

 private:
  ServerAction respond(const ReceivedRequest& request) {
    const bool has_notices = request.head.rfind("POST /v1/notices", 0) == 0;
    return has_notices ? takeNotices(request) : answerWatch(request);
  }

  ServerAction takeNotices(const ReceivedRequest& request) {
    if (refuse_notices) {
      ++refused;
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
    const auto at = request.head.find("from=");
    if (at != std::string::npos) {
      from = std::stol(request.head.substr(at + 5));
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
  std::map<std::string, json> notices_;  // the last one of each message
  json endpoints_ = json::array();
  long index_ = 1;
  long watched_from_ = -1;
  bool is_snapshot_ = false;
  std::atomic<bool> stop_{false};
  HttpServer server_;
};

}  // namespace delivery::loopback
