// The RESP2 server to which clients submit messages with MSG.PUT, and which answers PING. It processes the
// requests of a connection one at a time, in order. ClientAdmission decides which connections are accepted,
// read from and closed; this class does the socket operations.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "network/client_admission.h"
#include "network/queue_age.h"
#include "protocol/submit_reply.h"
#include "storage/submitted_message.h"

namespace delivery {

class ClientServer {
 public:
  // Sends the reply to the client. It must be called exactly once.
  using ReplyCallback = std::function<void(const SubmitReply&)>;
  // Called when a client submits a message. The receiver calls the reply callback now or later.
  using OnSubmit = std::function<void(SubmittedMessage, ReplyCallback)>;

  // Accepts connections from `acceptor` at once. `admission` must outlive this object.
  ClientServer(boost::asio::io_context& io, boost::asio::ip::tcp::acceptor acceptor,
               ClientAdmission& admission, OnSubmit on_submit);
  ~ClientServer();
  ClientServer(const ClientServer&) = delete;
  ClientServer& operator=(const ClientServer&) = delete;

  // PING is answered with an error until stopDraining() is called. Connections that are between two requests
  // are closed now, unless they have unread input. Connections with a partial or open request, those that
  // were just accepted and those that are accepted later are closed once their request is answered. A
  // connection that always has more input is closed after `reading_time`: the complete requests that were
  // read are rejected as busy, the sending side is shut down, and input is discarded until the client closes.
  void startDraining(Micros reading_time);
  void stopDraining() { admission_.stopDraining(); }
  // New connections wait in the kernel's accept queue until resumeAccepting() is called.
  void pauseAccepting();
  void resumeAccepting();
  // Stops listening and closes all connections.
  void stop();
  // To be called after the budget of the admission has changed.
  void applyBudget();
  // Whether the reply callback of a submitted message has not been called yet.
  bool hasUndecidedRequests() const { return unanswered_requests_ > 0; }
  // Whether a complete request that was read is unanswered.
  bool hasUnansweredRequests() const { return hasUndecidedRequests() || admission_.hasUnansweredRequests(); }
  // Whether a connection that a drain shut down waits for its client to close it.
  bool hasClosingConnections() const { return closing_connections_ > 0; }
  std::size_t connectionCount() const { return sessions_.size(); }

 private:
  class Session;

  // Accepting connections.
  void accept();
  bool acceptPending();
  void onAccepted(boost::asio::ip::tcp::socket socket);
  void onSessionClosed(ConnectionId id);

  // Evicting connections when the table or the buffer pool is full.
  bool evictForConnection();
  bool evictForBuffers();
  bool evict(const std::function<std::optional<ConnectionId>(Micros now)>& find_candidate);
  bool markUnreadInput(ConnectionId id);
  void scheduleCapacityCheck();
  void checkCapacity();

  void scheduleResume();
  void resumeQueued();
  void scheduleDeadlines();
  void closeOverdue();

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer capacity_timer_;
  boost::asio::steady_timer deadline_timer_;
  boost::asio::steady_timer resume_timer_;
  ClientAdmission& admission_;
  OnSubmit on_submit_;
  std::map<ConnectionId, std::shared_ptr<Session>> sessions_;
  std::size_t unanswered_requests_ = 0;
  std::size_t closing_connections_ = 0;
  QueueAge accept_queue_;                    // of the kernel's accept queue
  Micros scheduled_deadline_ = kNoDeadline;  // for which deadline_timer_ is set; kNoDeadline: it is not set
  bool is_accepting_ = false;                // an asynchronous wait for connections is pending
  bool is_paused_ = false;                   // no connections are accepted
  bool capacity_check_scheduled_ = false;
  bool resume_scheduled_ = false;
  bool is_resuming_ = false;  // resumeQueued() is running; prevents recursion
  char read_buffer_[16384];   // the bytes of the latest read, shared by all connections
};

}  // namespace delivery
