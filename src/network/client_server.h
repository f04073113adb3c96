// The RESP2 server to which clients submit messages: PING and MSG.PUT, the requests of a connection answered
// one after the other. ClientAdmission decides which connections are accepted, read from and closed.
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
  using ReplyCallback = std::function<void(const SubmitReply&)>;  // called once
  // A client submits a message. It is answered by calling the reply, now or later.
  using OnSubmit = std::function<void(SubmittedMessage, ReplyCallback)>;

  ClientServer(boost::asio::io_context& io, boost::asio::ip::tcp::acceptor acceptor,
               ClientAdmission& admission, OnSubmit on_submit);
  ~ClientServer();
  ClientServer(const ClientServer&) = delete;
  ClientServer& operator=(const ClientServer&) = delete;

  // PING is answered with an error from here on. Closes connections between requests, and once answered
  // those that are in a request or are accepted later.
  void startDraining();
  void stopDraining() { admission_.stopDraining(); }
  void pauseAccepting();  // new connections wait in the kernel's queue
  void resumeAccepting();
  void stop();         // stops listening and closes all connections
  void applyBudget();  // that of the admission has changed
  std::size_t unansweredRequests() const { return unanswered_requests_; }
  std::size_t connectionCount() const { return sessions_.size(); }

 private:
  class Session;

  // Accepting.
  void accept();
  bool acceptPending();
  void onAccepted(boost::asio::ip::tcp::socket socket);
  void onSessionClosed(ConnectionId id);

  // Under pressure.
  bool evictForConnection();
  bool evictForBuffers();
  bool evict(const std::function<std::optional<ConnectionId>(Micros now)>& find_candidate);
  bool noteUnreadInput(ConnectionId id);
  void scheduleCapacityCheck();
  void checkCapacity();

  void resumeQueued();
  void scheduleDeadlines();
  void closeOverdue();

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer capacity_timer_;
  boost::asio::steady_timer deadline_timer_;
  ClientAdmission& admission_;
  OnSubmit on_submit_;
  std::map<ConnectionId, std::shared_ptr<Session>> sessions_;
  std::size_t unanswered_requests_ = 0;
  QueueAge accept_queue_;                    // the kernel's queue of connections
  Micros scheduled_deadline_ = kNoDeadline;  // which the timer waits for
  bool is_accepting_ = false;                // a wait for connections is pending
  bool is_paused_ = false;
  bool capacity_check_scheduled_ = false;
  bool is_resuming_ = false;
  char read_buffer_[16384];  // what was just read, shared by all connections
};

}  // namespace delivery
