#include "network/http_connection.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <optional>
#include <sstream>
#include <utility>

namespace delivery {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t kMaxHeadBytes = 16384;
constexpr int kMaxInformationalHeads = 16;  // skipped in one exchange
constexpr Micros kCancelRetryInterval = 1000;
constexpr int kHttpVersion = 11;
constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusSwitchingProtocols = 101;

std::string toLowerCase(std::string text) {
  for (char& c : text) {
    if (c >= 'A' && c <= 'Z') {
      c = static_cast<char>(c - 'A' + 'a');
    }
  }
  return text;
}

http::request<http::string_body> toBeastRequest(HttpRequest request, const std::string& host) {
  http::request<http::string_body> message;
  message.version(kHttpVersion);
  message.method_string(request.method);
  message.target(request.target);
  message.set(http::field::host, host);
  for (const auto& [name, value] : request.fields) {
    message.set(name, value);
  }
  message.body() = std::move(request.body);
  message.prepare_payload();
  return message;
}

std::string serialize(const http::request<http::string_body>& request) {
  std::ostringstream bytes;
  bytes << request;
  return bytes.str();
}

}  // namespace

// Handlers of an earlier exchange may still be queued when the next one begins, or when the connection is
// destroyed: each belongs to an exchange (forThisExchange) and does nothing once that has ended.
class HttpConnection::Impl : public std::enable_shared_from_this<Impl> {
  template <class Handler>
  auto forThisExchange(Handler handler) {
    return [self = shared_from_this(), id = exchange_id_, handler](auto... arguments) {
      if (id == self->exchange_id_) {
        handler(arguments...);
      }
    };
  }

 public:
  Impl(asio::io_context& io, tcp::endpoint peer, std::string host, std::size_t max_body_bytes)
      : socket_(io),
        timer_(io),
        peer_(std::move(peer)),
        host_(std::move(host)),
        max_body_bytes_(max_body_bytes) {}

  void start(HttpRequest request, Micros connect_timeout, Deadline deadline, Done done,
             ProgressCallbacks progress) {
    beginExchange(std::move(request), deadline, std::move(done), std::move(progress));
    const Micros remaining = deadline_.remaining(monotonicNow());
    if (open_) {
      setTimer(remaining);
      asio::post(socket_.get_executor(), forThisExchange([this] { write(); }));
      return;
    }
    setTimer(std::min(connect_timeout, remaining));
    socket_.async_connect(peer_, forThisExchange([this](error_code error) { onConnected(error); }));
  }

  void abandon() { setTimer(0); }

  // Nothing is reported any more.
  void abort() {
    ++exchange_id_;
    done_ = nullptr;
    progress_ = {};
    timer_.cancel();
    close();
  }

  // An idle connection that has something to read was closed by the peer, or sent bytes that nobody asked
  // for. A request written to it would end in a reset, and might have run.
  bool reusable() { return open_ && !done_ && nothingToRead(); }

  bool requestWritten() const { return request_written_; }

 private:
  void beginExchange(HttpRequest request, Deadline deadline, Done done, ProgressCallbacks progress) {
    ++exchange_id_;
    remaining_time_field_ = std::move(request.remaining_time_field);
    request_ = toBeastRequest(std::move(request), host_);
    expectResponse();
    deadline_ = deadline;
    done_ = std::move(done);
    progress_ = std::move(progress);
    informational_heads_ = 0;
    request_written_ = false;
    head_received_ = false;
    keep_alive_ = false;
    time_is_up_ = false;
    reused_ = open_;
  }

  void expectResponse() {
    parser_.emplace();
    parser_->get().result(0u);  // no status yet; Beast's default is 200
    parser_->body_limit(max_body_bytes_);
    parser_->header_limit(kMaxHeadBytes);
  }

  // ---- Time limit

  // Ends the exchange after `delay`, in place of the time limit set before.
  void setTimer(Micros delay) {
    const std::uint64_t timer_id = ++timer_id_;  // the handler of an earlier setting may be queued
    timer_.expires_after(std::chrono::microseconds(std::max<Micros>(0, delay)));
    timer_.async_wait(forThisExchange([this, timer_id](error_code cancelled) {
      if (!cancelled && timer_id == timer_id_) {
        onTimeout();
      }
    }));
  }

  void onTimeout() {
    if (!request_written_) {
      fail(ExchangeStatus::not_written);
      return;
    }
    // The response may be in the socket, unread while this process was busy. So the read under way is
    // cancelled, and its handler reads what is there. It may have completed and be about to read on,
    // uncancelled: hence again.
    time_is_up_ = true;
    error_code ignored;
    socket_.cancel(ignored);
    setTimer(kCancelRetryInterval);
  }

  // ---- Connecting and writing

  void onConnected(error_code error) {
    if (error) {
      fail(ExchangeStatus::not_written);
      return;
    }
    open_ = true;
    if (progress_.on_connected) {
      progress_.on_connected();
    }
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    setTimer(deadline_.remaining(monotonicNow()));
    write();
  }

  void write() {
    const Micros remaining = deadline_.remaining(monotonicNow());
    if (remaining <= 0) {  // the response could not arrive in time
      fail(ExchangeStatus::not_written);
      return;
    }
    if (reused_ && !nothingToRead()) {
      failOnStaleConnection();
      return;
    }
    if (!remaining_time_field_.empty()) {
      request_.set(remaining_time_field_, std::to_string(remaining / kMicrosPerMillisecond));
    }
    request_bytes_ = serialize(request_);
    bytes_written_ = 0;
    continueWriting();
  }

  // Written by hand rather than by asio::async_write, so that request_written_ is true from the moment at
  // which the kernel has the last byte. A call that is cancelled or times out between that and a handler
  // would otherwise count as one that cannot have run.
  void continueWriting() {
    error_code error;
    socket_.non_blocking(true, error);
    while (!error && bytes_written_ < request_bytes_.size()) {
      bytes_written_ += socket_.write_some(asio::buffer(request_bytes_) + bytes_written_, error);
    }
    if (error == asio::error::would_block) {
      waitUntilWritable();
      return;
    }
    if (error) {
      fail(ExchangeStatus::not_written);
      return;
    }
    request_written_ = true;
    std::string().swap(request_bytes_);  // its memory is not needed while the response is awaited
    readHead();
  }

  void waitUntilWritable() {
    socket_.async_wait(tcp::socket::wait_write, forThisExchange([this](error_code error) {
                         if (error) {
                           fail(ExchangeStatus::not_written);
                         } else {
                           continueWriting();
                         }
                       }));
  }

  // ---- Reading

  void readHead() {
    http::async_read_header(socket_, read_buffer_, *parser_,
                            forThisExchange([this](error_code error, std::size_t) { onHead(error); }));
  }

  void onHead(error_code error) {
    const bool response_still_to_come = !error && skipInformationalHead();
    if (response_still_to_come) {
      if (time_is_up_) {
        readAvailable();
      } else {
        readHead();
      }
      return;
    }
    head_received_ = !error;  // from here on the status is known, whatever becomes of the body
    if (time_is_up_ && (!error || error == asio::error::operation_aborted)) {
      readAvailable();
      return;
    }
    if (error) {
      if (statusLineSaysOk()) {
        respond(false);
      } else {
        fail(ExchangeStatus::broken);
      }
      return;
    }
    const std::uint64_t id = exchange_id_;
    if (!bodyIsBuffered() && progress_.on_head) {
      progress_.on_head(responseSoFar());
    }
    if (id == exchange_id_) {  // the callback may have ended the exchange
      readBody();
    }
  }

  // A head with a status of 1xx announces that the response is still to come. It is skipped, but for a peer
  // that sends nothing else.
  bool skipInformationalHead() {
    const unsigned status = parser_->get().result_int();
    if (status < 100 || status > 199 || status == kStatusSwitchingProtocols) {
      return false;
    }
    ++informational_heads_;
    if (informational_heads_ > kMaxInformationalHeads) {
      return false;
    }
    expectResponse();
    return true;
  }

  void readBody() {
    http::async_read(socket_, read_buffer_, *parser_, forThisExchange([this](error_code error, std::size_t) {
                       if (error == asio::error::operation_aborted) {
                         readAvailable();
                       } else {
                         respond(!error);
                       }
                     }));
  }

  // The time is up: reads what is in the socket without waiting, and ends the exchange.
  void readAvailable() {
    error_code error;
    socket_.non_blocking(true, error);
    while (!error && !head_received_) {
      http::read_header(socket_, read_buffer_, *parser_, error);
      head_received_ = !error && !skipInformationalHead();
    }
    if (!error) {
      http::read(socket_, read_buffer_, *parser_, error);
    }
    if (head_received_ || statusLineSaysOk()) {
      respond(!error);
    } else if (error == asio::error::would_block) {
      fail(ExchangeStatus::timed_out);
    } else {
      fail(ExchangeStatus::broken);
    }
  }

  bool bodyIsBuffered() const {
    if (parser_->is_done()) {
      return true;
    }
    const auto& message = parser_->get();
    const auto length = message.find(http::field::content_length);
    if (length == message.end()) {
      return false;
    }
    return read_buffer_.size() >= std::strtoull(std::string(length->value()).c_str(), nullptr, 10);
  }

  // A complete status line that says 200 counts as delivered, whatever follows it.
  bool statusLineSaysOk() const { return parser_->get().result_int() == kStatusOk; }

  bool nothingToRead() {
    error_code error;
    socket_.non_blocking(true, error);
    if (error) {
      return false;
    }
    char byte = 0;
    socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
  }

  // ---- The end of an exchange

  HttpResponse responseSoFar() const {
    const auto& message = parser_->get();
    HttpResponse response;
    response.completion = ExchangeStatus::answered;
    response.status = static_cast<int>(message.result_int());
    response.body = message.body();
    for (const auto& field : message) {
      response.fields.emplace_back(toLowerCase(std::string(field.name_string())), std::string(field.value()));
    }
    return response;
  }

  void respond(bool body_complete) {
    keep_alive_ = body_complete && parser_->get().keep_alive() && read_buffer_.size() == 0;
    HttpResponse response = responseSoFar();
    response.body_complete = body_complete;
    finish(response);
  }

  void fail(ExchangeStatus completion) {
    HttpResponse response;
    response.completion = completion;
    finish(response);
  }

  void failOnStaleConnection() {
    HttpResponse response;
    response.completion = ExchangeStatus::not_written;
    response.stale_connection = true;
    finish(response);
  }

  void finish(const HttpResponse& response) {
    ++exchange_id_;
    timer_.cancel();
    if (!keep_alive_) {
      close();
    }
    progress_ = {};
    const Done done = std::exchange(done_, nullptr);
    if (done) {
      done(response);
    }
  }

  void close() {
    open_ = false;
    error_code ignored;
    socket_.close(ignored);
    read_buffer_.clear();
  }

  tcp::socket socket_;
  asio::steady_timer timer_;
  const tcp::endpoint peer_;
  const std::string host_;  // for the Host field
  const std::size_t max_body_bytes_;
  bool open_ = false;

  // The present exchange, or the last one.
  std::uint64_t exchange_id_ = 0;  // changes when an exchange begins and when it ends
  std::uint64_t timer_id_ = 0;     // changes when the timer is set
  Deadline deadline_;
  std::string remaining_time_field_;
  http::request<http::string_body> request_;
  std::string request_bytes_;
  std::size_t bytes_written_ = 0;  // of request_bytes_, taken by the kernel
  boost::beast::flat_buffer read_buffer_;
  std::optional<http::response_parser<http::string_body>> parser_;
  Done done_;
  ProgressCallbacks progress_;
  int informational_heads_ = 0;
  bool reused_ = false;  // the connection was open when the exchange began
  bool request_written_ = false;
  bool head_received_ = false;
  bool keep_alive_ = false;
  bool time_is_up_ = false;
};

HttpConnection::HttpConnection(asio::io_context& io, tcp::endpoint peer, std::string host,
                               std::size_t max_body_bytes)
    : impl_(std::make_shared<Impl>(io, std::move(peer), std::move(host), max_body_bytes)) {}

HttpConnection::~HttpConnection() {
  impl_->abort();
}

void HttpConnection::exchange(HttpRequest request, Micros connect_timeout, Deadline deadline, Done done,
                              ProgressCallbacks progress) {
  impl_->start(std::move(request), connect_timeout, deadline, std::move(done), std::move(progress));
}

void HttpConnection::abandon() {
  impl_->abandon();
}

bool HttpConnection::reusable() const {
  return impl_->reusable();
}

bool HttpConnection::requestWritten() const {
  return impl_->requestWritten();
}

}  // namespace delivery
