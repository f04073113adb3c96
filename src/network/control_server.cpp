// The server for operators; see control_server.h.
#include "network/control_server.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>

#include "common/clocks.h"

namespace delivery {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {
constexpr std::size_t kLongestLine = 64;
constexpr std::chrono::milliseconds kRetryAccept{20};
}  // namespace

struct ControlServer::Session : std::enable_shared_from_this<Session> {
  Session(ControlServer& c, tcp::socket s, ConnectionId i) : control(c), socket(std::move(s)), id(i) {}

  ControlServer& control;
  tcp::socket socket;
  const ConnectionId id;
  std::string in, out;
  char piece[256];
  bool open = true;

  void read() {
    socket.async_read_some(asio::buffer(piece), [self = shared_from_this()](error_code e, std::size_t n) {
      if (!self->open)
        return;
      if (e)
        return e == asio::error::eof ? self->answer("ERR no whole line") : self->close();
      self->in.append(self->piece, n);
      const auto end = self->in.find('\n');
      if (std::min(end, self->in.size()) > kLongestLine)
        return self->answer("ERR line too long");
      if (end == std::string::npos)
        return self->read();
      self->in.resize(end > 0 && self->in[end - 1] == '\r' ? end - 1 : end);
      self->answer(self->control.on_call_(self->in));
    });
  }

  void answer(const std::string& reply) {
    out = reply + "\n";
    asio::async_write(socket, asio::buffer(out), [self = shared_from_this()](error_code e, std::size_t) {
      if (!self->open)
        return;
      if (e)
        return self->close();
      error_code ignored;
      self->socket.shutdown(tcp::socket::shutdown_send, ignored);
      self->discard();
    });
  }

  // Reads on until the caller ends: a close with input unread would take the reply with it.
  void discard() {
    socket.async_read_some(asio::buffer(piece), [self = shared_from_this()](error_code e, std::size_t) {
      if (!self->open)
        return;
      e ? self->close() : self->discard();
    });
  }

  void close() {
    if (!open)
      return;
    const auto keep = shared_from_this();
    end();
    control.sessions_.erase(id);
  }
  void end() {
    open = false;
    control.admission_.onClosed(id);
    error_code ignored;
    socket.close(ignored);
  }
};

ControlServer::ControlServer(asio::io_context& io, const tcp::endpoint& listen, ControlAdmission& admission,
                             OnCall on_call)
    : acceptor_(io, listen), pause_(io), deadline_(io), admission_(admission), on_call_(std::move(on_call)) {
  accept();
}

ControlServer::~ControlServer() {
  for (const auto& [id, s] : sessions_)
    s->end();
}

void ControlServer::accept() {
  acceptor_.async_accept([this](error_code e, tcp::socket s) {
    if (e == asio::error::operation_aborted)
      return;
    if (e &&
        e != asio::error::connection_aborted) {  // out of descriptors, say: try again soon rather than spin
      pause_.expires_after(kRetryAccept);
      pause_.async_wait([this](error_code stopped) {
        if (!stopped)
          accept();
      });
      return;
    }
    if (!e) {
      if (const auto oldest = admission_.evictionCandidate())
        sessions_.at(*oldest)->close();
      const ConnectionId id = admission_.onAccepted(monotonicNow());
      const auto session = sessions_.emplace(id, std::make_shared<Session>(*this, std::move(s), id)).first;
      session->second->read();
      watchDeadlines();
    }
    accept();
  });
}

void ControlServer::watchDeadlines() {
  const Micros next = admission_.nextDeadline();
  if (watching_ || next == kNoDeadline)
    return;
  watching_ = true;
  deadline_.expires_after(std::chrono::microseconds(std::max<Micros>(0, next - monotonicNow())));
  deadline_.async_wait([this](error_code stopped) {
    if (stopped)
      return;
    watching_ = false;
    for (const ConnectionId id : admission_.overdue(monotonicNow())) {
      const auto it = sessions_.find(id);
      if (it != sessions_.end())
        it->second->close();
    }
    watchDeadlines();
  });
}

}  // namespace delivery
