// Notifies the platform, through the discovery server, of accepted messages that ended without delivery.
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <string>

#include "network/discovery_client.h"
#include "storage/submitted_message.h"

namespace delivery {

// Sends each notice until it is acknowledged. The platform may receive a notice more than once, which is
// harmless. Pending notices are kept in memory only; the caller records them in the journal.
class CompletionNotifier {
 public:
  // Called once for each notice that is acknowledged, or that discovery rejects as unreadable.
  using OnAcknowledged = std::function<void(const std::string& message_id)>;

  CompletionNotifier(DiscoveryClient client, OnAcknowledged on_acknowledged);

  // Adds a notice, and sends it at once if no request is in flight and no retry is scheduled.
  void enqueue(const std::string& message_id, const CompletionNotice& notice);
  // Sends the notices that are in flight again, to the new server.
  void changeServer(tcp::endpoint server, std::string host);
  // Sends nothing from now on.
  void stop() { client_.stop(); }
  std::size_t pendingCount() const { return pending_.size(); }  // notices not yet acknowledged

 private:
  struct PendingNotice {
    std::string message_id;
    CompletionNotice notice;
  };

  static constexpr std::size_t kMaxBatch = 64;  // maximum number of notices in one request

  static std::string toLine(const PendingNotice& pending);
  void sendNextBatch();
  void onResponse(const HttpResponse& response);
  void backOff();
  void acknowledge(std::size_t count);

  DiscoveryClient client_;
  OnAcknowledged on_acknowledged_;
  std::deque<PendingNotice> pending_;  // oldest first
  std::size_t in_flight_ = 0;          // how many notices at the front of pending_ are in the current request
  std::size_t batch_limit_ = kMaxBatch;  // 1 after a batch was rejected as unreadable, until none is pending
  bool is_backing_off_ = false;          // a retry is scheduled
};

}  // namespace delivery
