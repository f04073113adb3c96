// The RESP2 server that clients hand messages to: PING and MSG.PUT, each request answered in
// turn. Who is let in, read and closed is decided by ClientAdmission.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "network/client_admission.h"
#include "network/queue_age.h"
#include "storage/journal_format.h"

namespace delivery {

class ClientServer {
 public:
  using Reply = std::function<void(const std::string&)>;  // one RESP line without its end, called once
  // What a client hands in. Answers by the reply, now or later.
  using OnPut = std::function<void(AcceptedMessage, Reply)>;

  ClientServer(boost::asio::io_context& io, boost::asio::ip::tcp::acceptor acceptor,
               ClientAdmission& admission, OnPut on_put);
  ~ClientServer();
  ClientServer(const ClientServer&) = delete;
  ClientServer& operator=(const ClientServer&) = delete;

  // PING gets no yes; closes connections between requests, and those that still come or are in one once
  // answered.
  void startDraining();
  void stopDraining() { admission_.stopDraining(); }
  void pauseAccepting();  // who comes meanwhile waits in the backlog
  void resumeAccepting();
  void stop();  // listens no more and closes what is left
  void applyBudget();
  std::size_t unansweredRequests() const { return unanswered_; }
  std::size_t connectionCount() const { return sessions_.size(); }

 private:
  struct Session;
  void accept();
  bool acceptPending();
  void accepted(boost::asio::ip::tcp::socket s);
  bool makeRoom(bool for_bytes);
  bool unread(ConnectionId id);
  void ended(ConnectionId id);
  void serveWaiting();  // those whose turn or whose room to be read has come
  void watchDeadlines();
  void lookLater();

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer look_, deadline_;
  ClientAdmission& admission_;
  OnPut on_put_;
  std::map<ConnectionId, std::shared_ptr<Session>> sessions_;
  std::size_t unanswered_ = 0;
  QueueAge queue_{INT64_MIN / 4};  // the kernel's queue of connections; at first there is no telling
  Micros watched_ = kNoDeadline;   // the deadline that the timer waits for
  bool accepting_ = false, paused_ = false, looking_ = false, serving_ = false;
  char piece_[16384];  // what was just read, for all connections
};

}  // namespace delivery
