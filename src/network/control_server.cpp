#include "network/control_server.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <utility>

#include "common/clocks.h"

namespace delivery {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t kMaxLineBytes = 64;  // without the newline
constexpr std::chrono::milliseconds kAcceptRetryInterval{20};

}  // namespace

// One connection of an operator: reads a line, replies, and waits for the peer to close the connection.
class ControlServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(ControlServer& server, tcp::socket socket, ConnectionId id)
      : server_(server), socket_(std::move(socket)), id_(id) {}

  void read() {
    socket_.async_read_some(asio::buffer(read_buffer_),
                            [self = shared_from_this()](error_code error, std::size_t count) {
                              if (self->is_open_) {
                                self->onRead(error, count);
                              }
                            });
  }

  void close() {
    if (!is_open_) {
      return;
    }
    const auto keep_alive = shared_from_this();
    closeSocket();
    server_.sessions_.erase(id_);
  }

  // Closes the socket, but leaves the session in the server's table.
  void closeSocket() {
    is_open_ = false;
    server_.admission_.onClosed(id_);
    error_code ignored;
    socket_.close(ignored);
  }

 private:
  void onRead(error_code error, std::size_t count) {
    if (error == asio::error::eof) {
      reply("ERR no whole line");
    } else if (error) {
      close();
    } else {
      onInput(count);
    }
  }

  void onInput(std::size_t count) {
    input_.append(read_buffer_, count);
    const std::size_t line_end = input_.find('\n');
    if (std::min(line_end, input_.size()) > kMaxLineBytes) {
      reply("ERR line too long");
    } else if (line_end == std::string::npos) {
      read();
    } else {
      const bool has_carriage_return = line_end > 0 && input_[line_end - 1] == '\r';
      input_.resize(has_carriage_return ? line_end - 1 : line_end);
      reply(server_.on_command_(input_));
    }
  }

  void reply(const std::string& line) {
    output_ = line + "\n";
    asio::async_write(socket_, asio::buffer(output_),
                      [self = shared_from_this()](error_code error, std::size_t) {
                        if (self->is_open_) {
                          self->onWritten(error);
                        }
                      });
  }

  void onWritten(error_code error) {
    if (error) {
      close();
      return;
    }
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    discardInput();
  }

  // Goes on reading until the peer closes the connection: closing a socket that has unread input resets the
  // connection, and the peer would lose the reply.
  void discardInput() {
    socket_.async_read_some(asio::buffer(read_buffer_),
                            [self = shared_from_this()](error_code error, std::size_t) {
                              if (!self->is_open_) {
                                return;
                              }
                              if (error) {
                                self->close();
                              } else {
                                self->discardInput();
                              }
                            });
  }

  ControlServer& server_;
  tcp::socket socket_;
  const ConnectionId id_;
  std::string input_;
  std::string output_;
  char read_buffer_[256];
  bool is_open_ = true;
};

ControlServer::ControlServer(asio::io_context& io, const tcp::endpoint& address, ControlAdmission& admission,
                             OnCommand on_command)
    : acceptor_(io, address),
      accept_timer_(io),
      deadline_timer_(io),
      admission_(admission),
      on_command_(std::move(on_command)) {
  accept();
}

ControlServer::~ControlServer() {
  for (const auto& [id, session] : sessions_) {
    session->closeSocket();
  }
}

void ControlServer::accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) {
      return;
    }
    if (error && error != asio::error::connection_aborted) {
      scheduleAcceptRetry();  // the process may be out of descriptors
      return;
    }
    if (!error) {
      onAccepted(std::move(socket));
    }
    accept();
  });
}

void ControlServer::scheduleAcceptRetry() {
  accept_timer_.expires_after(kAcceptRetryInterval);
  accept_timer_.async_wait([this](error_code cancelled) {
    if (!cancelled) {
      accept();
    }
  });
}

void ControlServer::onAccepted(tcp::socket socket) {
  if (const auto candidate = admission_.evictionCandidate()) {
    sessions_.at(*candidate)->close();
  }
  const ConnectionId id = admission_.onAccepted(monotonicNow());
  const auto session = std::make_shared<Session>(*this, std::move(socket), id);
  sessions_.emplace(id, session);
  session->read();
  scheduleDeadlines();
}

void ControlServer::scheduleDeadlines() {
  const Micros next = admission_.nextDeadline();
  if (deadlines_scheduled_ || next == kNoDeadline) {
    return;
  }
  deadlines_scheduled_ = true;
  deadline_timer_.expires_after(std::chrono::microseconds(std::max<Micros>(0, next - monotonicNow())));
  deadline_timer_.async_wait([this](error_code cancelled) {
    if (cancelled) {
      return;
    }
    deadlines_scheduled_ = false;
    closeOverdue();
    scheduleDeadlines();
  });
}

void ControlServer::closeOverdue() {
  for (const ConnectionId id : admission_.overdue(monotonicNow())) {
    const auto entry = sessions_.find(id);
    if (entry != sessions_.end()) {
      entry->second->close();
    }
  }
}

}  // namespace delivery
