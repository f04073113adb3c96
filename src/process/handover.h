// How two processes of one sender agree on who owns the journal: a lock that ends with its process,
// and a link between the two that carries lines of JSON. What is said over it stands in service.h.
#pragma once

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "protocol/json_fields.h"

namespace delivery {

class OwnershipLock {
 public:
  explicit OwnershipLock(const std::string& folder);  // throws std::runtime_error when it can't be opened
  ~OwnershipLock();                                   // lets it go
  OwnershipLock(const OwnershipLock&) = delete;
  OwnershipLock& operator=(const OwnershipLock&) = delete;

  bool tryAcquire();  // false: another process has it
  void release();
  pid_t holder() const;  // another process that has it; 0: none, or none that can be seen from here

 private:
  int fd_ = -1;
};

class HandoverLink : public std::enable_shared_from_this<HandoverLink> {
 public:
  using Socket = boost::asio::local::stream_protocol::socket;
  using OnMessage = std::function<void(const json&)>;
  explicit HandoverLink(Socket socket) : socket_(std::move(socket)) {}

  void start(OnMessage on_message, std::function<void()> on_end);
  void send(const json& message);
  bool allSent() const { return out_.empty(); }
  void close();  // neither callback is called after it

 private:
  void read();
  void write();
  void end();

  Socket socket_;
  std::string in_;
  std::deque<std::string> out_;
  OnMessage on_message_;
  std::function<void()> on_end_;
  bool open_ = true;
};

// Where the owner is asked to hand over. A socket left there by a dead process is replaced; only the owner of
// the lock may listen.
class HandoverListener {
 public:
  using OnLink = std::function<void(std::shared_ptr<HandoverLink>)>;
  HandoverListener(boost::asio::io_context& io, const std::string& folder, OnLink on_link);
  void close();  // the callback is not called after it

 private:
  void accept();
  boost::asio::local::stream_protocol::acceptor acceptor_;
  OnLink on_link_;
};

// The link to the process that listens there, null if there is none.
std::shared_ptr<HandoverLink> connectLink(boost::asio::io_context& io, const std::string& folder);

}  // namespace delivery
