// HTTP connections; see http_connection.h.
#include "network/http_connection.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdlib>
#include <optional>
#include <sstream>
#include <stdexcept>

namespace delivery {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {
constexpr std::size_t kHeaderLimit = 16384;
constexpr Micros kEndsRead = 1000;
constexpr int kMostInterim = 16;

std::string lower(std::string s) {
  for (char& c : s)
    if (c >= 'A' && c <= 'Z')
      c = static_cast<char>(c - 'A' + 'a');
  return s;
}
}  // namespace

const std::string* HttpAnswer::field(const std::string& name) const {
  for (const auto& [n, value] : fields)
    if (n == name)
      return &value;
  return nullptr;
}

struct HttpConnection::State : std::enable_shared_from_this<State> {
  State(asio::io_context& io, tcp::endpoint p, std::string h, std::size_t b)
      : socket(io), timer(io), peer(std::move(p)), host(std::move(h)), body_limit(b) {}

  tcp::socket socket;
  asio::steady_timer timer;
  tcp::endpoint peer;
  std::string host;
  std::size_t body_limit;
  boost::beast::flat_buffer in;
  http::request<http::string_body> request;
  std::string bytes;     // of the request
  std::size_t sent = 0;  // of them, taken by the kernel
  std::optional<http::response_parser<http::string_body>> parser;
  Done done;
  Heard heard;
  std::uint64_t turn = 0;    // exchanges begun or over: what belongs to an earlier one is ignored
  std::uint64_t timing = 0;  // settings of the timer: one that was set anew may have its handler queued
  bool open = false, written = false, header = false, keep = false, out_of_time = false;
  bool reused = false;  // not opened for this exchange
  int interims = 0;     // heads passed over in this exchange
  Deadline until;
  std::string time_left_field;

  void begin(HttpRequest r, Micros connect_limit, Deadline u, Done d, Heard h) {
    request = {};
    request.version(11);
    request.method_string(r.method);
    request.target(r.target);
    request.set(http::field::host, host);
    for (auto& [name, value] : r.fields)
      request.set(name, value);
    request.body() = std::move(r.body);
    request.prepare_payload();
    expectAnswer();
    interims = 0;
    done = std::move(d);
    heard = std::move(h);
    written = header = keep = out_of_time = false;
    const std::uint64_t mine = ++turn;
    until = u;
    time_left_field = std::move(r.remaining_time_field);
    const Micros left = until.remaining(monotonicNow());
    reused = open;
    if (open) {
      setTimer(mine, left);
      asio::post(socket.get_executor(), [self = shared_from_this(), mine] {
        if (mine == self->turn)
          self->write(mine);
      });
      return;
    }
    setTimer(mine, std::min(connect_limit, left));
    socket.async_connect(peer, [self = shared_from_this(), mine](error_code e) {
      if (mine != self->turn)
        return;
      if (e)
        return self->finish(Exchanged::not_written);
      self->open = true;
      if (self->heard.connected)
        self->heard.connected();
      error_code ignored;
      self->socket.set_option(tcp::no_delay(true), ignored);
      self->setTimer(mine, self->until.remaining(monotonicNow()));
      self->write(mine);
    });
  }

  void expectAnswer() {
    parser.emplace();
    parser->get().result(0u);  // no status yet; a new one says 200
    parser->body_limit(body_limit);
    parser->header_limit(kHeaderLimit);
  }

  // A head that only says that the answer is still to come (1xx) is none: it is passed over, as long as there
  // are few. Guards the loop against an endpoint that sends nothing else.
  bool interim() {
    const unsigned status = parser->get().result_int();
    if (status < 100 || status > 199 || status == 101 || ++interims > kMostInterim)
      return false;
    expectAnswer();
    return true;
  }

  void setTimer(std::uint64_t mine, Micros span) {
    const std::uint64_t setting = ++timing;
    timer.expires_after(std::chrono::microseconds(std::max<Micros>(0, span)));
    timer.async_wait([self = shared_from_this(), mine, setting](error_code e) {
      if (e || mine != self->turn || setting != self->timing)
        return;
      if (!self->written)
        return self->finish(Exchanged::not_written);
      // The answer may be in the socket, unread while this process was busy: the read under way is ended, and
      // its handler takes what is there. Again soon, for one that was about to go on and was not ended.
      self->out_of_time = true;
      error_code ignored;
      self->socket.cancel(ignored);
      self->setTimer(mine, kEndsRead);
    });
  }

  // What has no time left is not written: it could not be heard of.
  void write(std::uint64_t mine) {
    const Micros left = until.remaining(monotonicNow());
    if (left <= 0)
      return finish(Exchanged::not_written);
    if (reused && !quiet())
      return finish(Exchanged::not_written, false, true);
    if (!time_left_field.empty())
      request.set(time_left_field, std::to_string(left / 1000));
    std::ostringstream all;
    all << request;
    bytes = all.str();
    sent = 0;
    writeOn(mine);
  }

  // By hand, so that `written` is true from the moment at which the last byte is the kernel's: a call that is
  // called off, or out of time, between that and a handler would pass for one that can't have run.
  void writeOn(std::uint64_t mine) {
    error_code e;
    socket.non_blocking(true, e);
    while (!e && sent < bytes.size())
      sent += socket.write_some(asio::buffer(bytes) + sent, e);
    if (e == asio::error::would_block) {
      socket.async_wait(tcp::socket::wait_write, [self = shared_from_this(), mine](error_code e2) {
        if (mine != self->turn)
          return;
        e2 ? self->finish(Exchanged::not_written) : self->writeOn(mine);
      });
      return;
    }
    if (e)
      return finish(Exchanged::not_written);
    written = true;
    std::string().swap(bytes);
    readHeader(mine);
  }

  void readHeader(std::uint64_t mine) {
    http::async_read_header(
        socket, in, *parser, [self = shared_from_this(), mine](error_code e, std::size_t) {
          if (mine != self->turn)
            return;
          if (!e && self->interim())
            return self->out_of_time ? self->takeWhatIsThere() : self->readHeader(mine);
          self->header = !e;  // from here on the status is known, whatever becomes of the body
          if (self->out_of_time && (!e || e == asio::error::operation_aborted))
            return self->takeWhatIsThere();
          if (e)
            return self->finish(self->delivered() ? Exchanged::answered : Exchanged::broken);
          if (!self->bodyIsHere() && self->heard.head)
            self->heard.head(self->soFar());
          if (mine != self->turn)
            return;
          http::async_read(self->socket, self->in, *self->parser, [self, mine](error_code e2, std::size_t) {
            if (mine != self->turn)
              return;
            if (e2 == asio::error::operation_aborted)
              return self->takeWhatIsThere();
            self->answered(!e2);
          });
        });
  }

  void takeWhatIsThere() {
    error_code e;
    socket.non_blocking(true, e);
    while (!e && !header) {
      http::read_header(socket, in, *parser, e);
      header = !e && !interim();
    }
    if (!e)
      http::read(socket, in, *parser, e);
    if (header || delivered())
      return answered(!e);
    finish(e == asio::error::would_block ? Exchanged::timed_out : Exchanged::broken);
  }

  void answered(bool whole) {
    keep = whole && parser->get().keep_alive() && in.size() == 0;
    finish(Exchanged::answered, whole);
  }

  bool bodyIsHere() const {
    const auto& fields = parser->get();
    const auto length = fields.find(http::field::content_length);
    return parser->is_done() ||
           (length != fields.end() &&
            in.size() >= std::strtoull(std::string(length->value()).c_str(), nullptr, 10));
  }

  HttpAnswer soFar() const {
    HttpAnswer a;
    const auto& m = parser->get();
    a.completion = Exchanged::answered;
    a.status = m.result_int();
    a.body = m.body();
    for (const auto& f : m)
      a.fields.emplace_back(lower(std::string(f.name_string())), std::string(f.value()));
    return a;
  }

  // A whole first line that says 200 is true, whatever follows it.
  bool delivered() const { return parser->get().result_int() == 200; }

  // Open, and with nothing to read: what the other side has closed, or sent unasked, shows so.
  bool quiet() {
    char c;
    error_code e;
    socket.non_blocking(true, e);
    if (e)
      return false;
    socket.receive(asio::buffer(&c, 1), tcp::socket::message_peek, e);
    return e == asio::error::would_block;
  }

  void finish(Exchanged how, bool whole = false, bool stale = false) {
    ++turn;
    timer.cancel();
    HttpAnswer a;
    if (how == Exchanged::answered)
      a = soFar();
    a.completion = how;
    a.body_complete = whole;
    a.stale_connection = stale;
    if (!keep)
      close();
    Done d = std::move(done);
    done = nullptr;
    heard = {};
    if (d)
      d(a);
  }

  void close() {
    error_code ignored;
    open = false;
    socket.close(ignored);
    in.clear();
  }
};

HttpConnection::HttpConnection(asio::io_context& io, tcp::endpoint peer, std::string host,
                               std::size_t body_limit)
    : state_(std::make_shared<State>(io, std::move(peer), std::move(host), body_limit)) {}

HttpConnection::~HttpConnection() {
  ++state_->turn;
  state_->done = nullptr;
  state_->heard = {};
  state_->timer.cancel();
  state_->close();
}

void HttpConnection::exchange(HttpRequest request, Micros connect_limit, Deadline until, Done done,
                              Heard heard) {
  state_->begin(std::move(request), connect_limit, until, std::move(done), std::move(heard));
}

// Guards against a request written to a connection that is gone: it would end as a reset and might have run.
bool HttpConnection::reusable() const {
  return state_->open && !state_->done && state_->quiet();
}

void HttpConnection::abandon() {
  state_->setTimer(state_->turn, 0);
}

bool HttpConnection::requestWritten() const {
  return state_->written;
}

tcp::endpoint parseAddress(const std::string& address) {
  const auto colon = address.rfind(':');
  error_code e;
  if (colon != std::string::npos && colon + 1 < address.size()) {
    std::string host = address.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
      host = host.substr(1, host.size() - 2);
    const auto ip = asio::ip::make_address(host, e);
    const std::string port = address.substr(colon + 1);
    const bool digits = port.size() <= 5 && port.find_first_not_of("0123456789") == std::string::npos;
    const int number = digits ? std::stoi(port) : -1;
    if (!e && number >= 0 && number <= 65535)
      return {ip, static_cast<unsigned short>(number)};
  }
  throw std::invalid_argument("not an address with a port: " + address);
}

}  // namespace delivery
