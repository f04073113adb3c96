// Notifies the platform, through the discovery server, of accepted messages that ended without delivery.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "network/discovery_client.h"
#include "storage/submitted_message.h"

namespace delivery {

// Sends each notice until it is acknowledged. Pending notices are kept in memory only; the caller records
// them in the journal.
//
// The server acknowledges at once, and a notice is due within 300 ms (PROTOCOL, "The rules on sockets"). A
// request that gets no response may be on a connection that has fallen silent, so it is soon repeated on
// another one while the first still waits. The platform may receive a notice more than once, which is
// harmless.
class CompletionNotifier {
 public:
  // The maximum number of requests in flight, each on a connection of its own.
  static constexpr std::size_t kMaxRequests = 3;

  // Called once for each notice that is acknowledged, or that discovery rejects as unreadable.
  using OnAcknowledged = std::function<void(const std::string& message_id)>;

  // `host`: the value of the Host header field.
  CompletionNotifier(boost::asio::io_context& io, tcp::endpoint server, std::string host,
                     OnAcknowledged on_acknowledged);

  // Adds a notice, and sends it at once if no request is in flight and no retry is scheduled.
  void enqueue(const std::string& message_id, const CompletionNotice& notice);
  // Sends the notices that are in flight again, to the new server.
  void changeServer(tcp::endpoint server, std::string host);
  // Sends nothing from now on.
  void stop();
  std::size_t pendingCount() const { return pending_.size(); }  // notices not yet acknowledged

 private:
  struct PendingNotice {
    std::string message_id;
    CompletionNotice notice;
  };
  struct Request {
    std::uint64_t id;
    std::unique_ptr<DiscoveryClient> client;
    std::size_t notice_count;  // how many notices at the front of pending_ it carries
  };

  static constexpr std::size_t kMaxBatch = 64;  // maximum number of notices in one request

  static std::string toLine(const PendingNotice& pending);
  std::unique_ptr<DiscoveryClient> takeClient();
  void sendPending();
  void repeatOnAnotherConnection();
  void scheduleRepeat();
  void onResponse(std::uint64_t request_id, const HttpResponse& response);
  void sendEachAlone();
  void onFailure(std::list<Request>::iterator request);
  void onAnswer(std::list<Request>::iterator request);
  void endRequests();
  void acknowledge(std::size_t count);

  boost::asio::io_context& io_;
  tcp::endpoint server_;
  std::string host_;
  OnAcknowledged on_acknowledged_;
  std::deque<PendingNotice> pending_;             // oldest first
  std::list<Request> requests_;                   // in flight, oldest first; they carry the same notices
  std::unique_ptr<DiscoveryClient> idle_client_;  // its connection answered the latest request; may be null
  boost::asio::steady_timer repeat_timer_;
  boost::asio::steady_timer backoff_timer_;
  Micros repeat_delay_;  // until the next repeat
  std::uint64_t last_request_id_ = 0;
  std::size_t batch_limit_ = kMaxBatch;  // 1 after a batch was rejected as unreadable, until none is pending
  bool is_backing_off_ = false;          // a retry is scheduled
  bool is_stopped_ = false;
};

}  // namespace delivery
