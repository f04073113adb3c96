// Notifies the platform, through discovery, of messages that ended without delivery after they were accepted.
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <string>

#include "network/discovery_client.h"
#include "storage/submitted_message.h"

namespace delivery {

// Sends each notice until it is acknowledged. The platform may get one more than once, which is harmless. The
// notices are kept in memory only; the caller has them in the journal.
class CompletionNotifier {
 public:
  using OnAcknowledged = std::function<void(const std::string& message_id)>;

  CompletionNotifier(DiscoveryClient client, OnAcknowledged on_acknowledged);

  void enqueue(const std::string& message_id, const CompletionNotice& notice);
  // What is in flight is sent again there.
  void changeServer(tcp::endpoint server, std::string host);
  void stop() { client_.stop(); }
  std::size_t pendingCount() const { return pending_.size(); }  // notices that are not acknowledged

 private:
  struct PendingNotice {
    std::string message_id;
    CompletionNotice notice;
  };

  static constexpr std::size_t kMaxBatch = 64;  // notices in one request

  static std::string toLine(const PendingNotice& pending);
  void sendNextBatch();
  void onResponse(const HttpResponse& response);
  void backOff();
  void acknowledge(std::size_t count);

  DiscoveryClient client_;
  OnAcknowledged on_acknowledged_;
  std::deque<PendingNotice> pending_;    // the oldest first
  std::size_t in_flight_ = 0;            // of the pending ones, from the front
  std::size_t batch_limit_ = kMaxBatch;  // 1 after a batch was refused as unreadable, until all are sent
  bool backing_off_ = false;
};

}  // namespace delivery
