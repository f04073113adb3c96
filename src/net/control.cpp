// grademux: the server for operators; see control.h.
#include "control.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>

namespace grademux {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {
constexpr std::size_t kLongestLine = 64;
// A caller owes its whole line, and takes its reply, within this; bad input is owed an end within 3 s.
constexpr std::chrono::milliseconds kPatience{2000}, kRetryAccept{20};
}  // namespace

struct Control::Session : std::enable_shared_from_this<Session> {
  Session(Control& c, tcp::socket s) : control(c), socket(std::move(s)), patience(socket.get_executor()) {}

  Control& control;
  tcp::socket socket;
  asio::steady_timer patience;
  std::string in, out;
  char piece[256];
  bool open = true;

  void start() {
    patience.expires_after(kPatience);
    patience.async_wait([self = shared_from_this()](error_code e) {
      if (!e) self->close();
    });
    read();
  }

  void read() {
    socket.async_read_some(asio::buffer(piece), [self = shared_from_this()](error_code e, std::size_t n) {
      if (!self->open) return;
      if (e) return e == asio::error::eof ? self->answer("ERR no whole line") : self->close();
      self->in.append(self->piece, n);
      const auto end = self->in.find('\n');
      if (std::min(end, self->in.size()) > kLongestLine) return self->answer("ERR line too long");
      if (end == std::string::npos) return self->read();
      self->in.resize(end > 0 && self->in[end - 1] == '\r' ? end - 1 : end);
      self->answer(self->control.on_call_(self->in));
    });
  }

  void answer(const std::string& reply) {
    out = reply + "\n";
    asio::async_write(socket, asio::buffer(out), [self = shared_from_this()](error_code e, std::size_t) {
      if (!self->open) return;
      if (e) return self->close();
      error_code ignored;
      self->socket.shutdown(tcp::socket::shutdown_send, ignored);
      self->discard();
    });
  }

  // Reads on until the caller ends: a close with input unread would take the reply with it.
  void discard() {
    socket.async_read_some(asio::buffer(piece), [self = shared_from_this()](error_code e, std::size_t) {
      if (!self->open) return;
      e ? self->close() : self->discard();
    });
  }

  void close() {
    if (!open) return;
    end();
    control.sessions_.remove(shared_from_this());
  }
  void end() {
    open = false;
    patience.cancel();
    error_code ignored;
    socket.close(ignored);
  }
};

Control::Control(asio::io_context& io, const tcp::endpoint& listen, OnCall on_call)
    : acceptor_(io, listen), pause_(io), on_call_(std::move(on_call)) {
  accept();
}

Control::~Control() {
  for (const auto& s : sessions_) s->end();
}

void Control::accept() {
  acceptor_.async_accept([this](error_code e, tcp::socket s) {
    if (e == asio::error::operation_aborted) return;
    if (e) {  // out of descriptors, say: try again soon rather than spin
      pause_.expires_after(kRetryAccept);
      pause_.async_wait([this](error_code stopped) {
        if (!stopped) accept();
      });
      return;
    }
    if (sessions_.size() >= kMostCallers) sessions_.front()->close();
    sessions_.push_back(std::make_shared<Session>(*this, std::move(s)));
    sessions_.back()->start();
    accept();
  });
}

}  // namespace grademux
