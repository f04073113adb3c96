#include "network/http_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

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
#include <stdexcept>
#include <string_view>
#include <utility>

#include "common/log.h"

namespace delivery {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t kMaxHeadBytes = 16384;
// The limit of what is read and not parsed yet, such as a chunk header or the trailer behind the last chunk.
// Beast throws for a longer header field.
constexpr std::size_t kMaxReadBufferBytes = kMaxFieldValueBytes;
// How many bytes a response may have behind its head, for each byte that its body may have: a chunk adds its
// size, and may add extensions and fields, which have no meaning here.
constexpr std::size_t kMaxTransferredPerBodyByte = 4;
constexpr int kMaxInformationalHeads = 16;     // how many heads with status 1xx are skipped in one exchange
constexpr Micros kCancelRetryInterval = 1000;  // until the read in progress is cancelled again
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

// Handlers of an earlier exchange may still be queued when the next one begins or when the connection is
// destroyed. Therefore each handler belongs to an exchange (see forThisExchange) and does nothing once that
// exchange has ended.
class HttpConnection::Impl : public std::enable_shared_from_this<Impl> {
  // Wraps a handler so that it does nothing once the current exchange has ended.
  template <class Handler>
  auto forThisExchange(Handler handler) {
    return [self = shared_from_this(), id = exchange_id_, handler](auto... arguments) {
      if (id == self->exchange_id_) {
        handler(arguments...);
      }
    };
  }

 public:
  Impl(asio::io_context& io, tcp::endpoint peer, std::string host, BodyLimits body_limits)
      : socket_(io), timer_(io), peer_(std::move(peer)), host_(std::move(host)), body_limits_(body_limits) {}

  void start(HttpRequest request, const Timing& timing, OnResponse on_response, ProgressCallbacks progress) {
    beginExchange(timing.deadline, std::move(on_response), std::move(progress));
    if (!prepareRequest(std::move(request))) {
      asio::post(socket_.get_executor(),
                 forThisExchange([this] { finishWithFailure(ExchangeStatus::invalid_request); }));
      return;
    }
    if (is_open_) {
      writeOnceQuiet(timing.quiet_time);
      return;
    }
    setTimer(std::min(timing.connect_timeout, deadline_.remaining(monotonicNow())));
    socket_.async_connect(peer_, forThisExchange([this](error_code error) { onConnected(error); }));
  }

  // Ends the exchange from the event loop, as at its deadline.
  void expire() { setTimer(0); }

  // Ends the exchange without calling its callbacks.
  void cancel() {
    ++exchange_id_;
    on_response_ = nullptr;
    on_idle_end_ = nullptr;
    progress_ = {};
    timer_.cancel();
    close();
  }

  void watchIdle(OnIdleEnd on_idle_end) {
    on_idle_end_ = std::move(on_idle_end);
    watchInput();
  }

  bool isIdle() const { return is_open_ && !on_response_; }

  // An idle connection that has something to read was closed by the peer, or the peer sent data without a
  // request. A request written to it would end with a reset, and it would be unknown whether it ran.
  bool isReusable() { return isIdle() && pendingInput() == PendingInput::none; }

  bool requestWritten() const { return request_written_; }

  std::size_t bufferedBytes() const {
    const std::size_t request_bytes = request_ ? request_->body().size() : request_bytes_.size();
    const std::size_t response_bytes = parser_ ? parser_->get().body().text.size() : 0;
    return request_bytes + read_buffer_.capacity() + response_bytes;
  }

 private:
  void beginExchange(Deadline deadline, OnResponse on_response, ProgressCallbacks progress) {
    ++exchange_id_;
    expectResponse();
    deadline_ = deadline;
    on_response_ = std::move(on_response);
    on_idle_end_ = nullptr;
    progress_ = std::move(progress);
    informational_heads_ = 0;
    transferred_bytes_ = 0;
    request_written_ = false;
    head_received_ = false;
    keep_alive_ = false;
    is_expired_ = false;
    is_reused_ = is_open_;
  }

  // Returns false if HTTP can't carry the request: Beast throws for a field that is too long.
  bool prepareRequest(HttpRequest request) {
    remaining_time_field_ = std::move(request.remaining_time_field);
    try {
      request_ = toBeastRequest(std::move(request), host_);
      return true;
    } catch (const std::length_error& error) {
      logError("http", "invalid_request").field("reason", error.what());
      return false;
    }
  }

  // Prepares the parser for the next response head.
  void expectResponse() {
    parser_.emplace();
    parser_->get().result(0u);  // no status is known yet; Beast's default is 200
    parser_->get().body().use = body_limits_.use;
    parser_->body_limit(body_limits_.max_bytes);
    parser_->header_limit(kMaxHeadBytes);
  }

  // ---- Time limit

  // Sets the time limit: ends the exchange after `delay`. Replaces an earlier time limit.
  void setTimer(Micros delay) {
    setTimer(delay, [this] { onTimeout(); });
  }

  // Calls `on_elapsed` after `delay`, unless the exchange ends or the timer is set again before.
  template <class Handler>
  void setTimer(Micros delay, Handler on_elapsed) {
    const std::uint64_t timer_id = ++timer_id_;  // the handler of an earlier time limit may be queued
    timer_.expires_after(std::chrono::microseconds(std::max<Micros>(0, delay)));
    timer_.async_wait(forThisExchange([this, timer_id, on_elapsed](error_code cancelled) {
      if (!cancelled && timer_id == timer_id_) {
        on_elapsed();
      }
    }));
  }

  void onTimeout() {
    if (!request_written_) {
      finishWithFailure(ExchangeStatus::not_written);
      return;
    }
    // The response may be in the socket, which this process may have been too busy to read. Therefore the
    // read in progress is cancelled, and its handler reads what is available. If that read has just
    // completed, its handler starts another one, which is not cancelled. Therefore the timer is set to cancel
    // again.
    is_expired_ = true;
    error_code ignored;
    socket_.cancel(ignored);
    setTimer(kCancelRetryInterval);
  }

  // ---- Connecting and writing

  void onConnected(error_code error) {
    if (error) {
      finishWithFailure(ExchangeStatus::not_written);
      return;
    }
    is_open_ = true;
    if (progress_.on_connected) {
      progress_.on_connected();
    }
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    setTimer(deadline_.remaining(monotonicNow()));
    write();
  }

  // Writes the request once the open connection has been quiet for `quiet_time` since its last response. If
  // there is input before that, the exchange ends.
  void writeOnceQuiet(Micros quiet_time) {
    const Micros now = monotonicNow();
    const Micros wait = std::min(responded_at_ + quiet_time - now, deadline_.remaining(now));
    if (wait <= 0) {
      setTimer(deadline_.remaining(now));
      asio::post(socket_.get_executor(), forThisExchange([this] { write(); }));
      return;
    }
    if (!is_watching_) {
      watchInput();
    }
    setTimer(wait, [this] {
      setTimer(deadline_.remaining(monotonicNow()));
      write();
    });
  }

  void write() {
    stopWatchingInput();
    const Micros remaining = deadline_.remaining(monotonicNow());
    if (remaining <= 0) {  // no time is left for a response
      finishWithFailure(ExchangeStatus::not_written);
      return;
    }
    if (!remaining_time_field_.empty()) {
      request_->set(remaining_time_field_, std::to_string(remaining / kMicrosPerMillisecond));
    }
    request_bytes_ = serialize(*request_);
    request_.reset();
    bytes_written_ = 0;
    continueWriting();
  }

  // Writes directly to the socket instead of using asio::async_write, so that request_written_ is true from
  // the moment at which the kernel has accepted the last byte. Otherwise a call that is cancelled or times
  // out between that moment and the completion handler would be reported as one that cannot have run.
  void continueWriting() {
    // A response comes only after the last byte of its request.
    const PendingInput input = is_reused_ ? pendingInput() : PendingInput::none;
    if (input != PendingInput::none) {
      finishAsStale(input);
      return;
    }
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
      finishWithFailure(ExchangeStatus::not_written);
      return;
    }
    request_written_ = true;
    std::string().swap(request_bytes_);  // frees the memory, which is not needed for the response
    readHead();
  }

  void waitUntilWritable() {
    socket_.async_wait(tcp::socket::wait_write, forThisExchange([this](error_code error) {
                         if (error) {
                           finishWithFailure(ExchangeStatus::not_written);
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
      if (is_expired_) {
        readWithoutWaiting();
      } else {
        readHead();
      }
      return;
    }
    head_received_ = !error;  // the status is known now, even if the body fails
    if (is_expired_ && (!error || error == asio::error::operation_aborted)) {
      readWithoutWaiting();
      return;
    }
    if (error) {
      if (statusLineSaysOk()) {
        finishWithResponse(false);
      } else {
        finishWithFailure(ExchangeStatus::broken);
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

  // Skips a head with status 1xx: the response is still to come. Returns false if the head is not
  // informational, or if there were too many, as a peer may send nothing else.
  bool skipInformationalHead() {
    if (!isInformational() || status() == kStatusSwitchingProtocols) {
      return false;
    }
    ++informational_heads_;
    if (informational_heads_ > kMaxInformationalHeads) {
      return false;
    }
    expectResponse();
    return true;
  }

  bool isInformational() const { return status() >= 100 && status() <= 199; }

  void readBody() {
    if (!needsMoreBody()) {
      finishWithResponse(parser_->is_done());
      return;
    }
    http::async_read_some(socket_, read_buffer_, *parser_,
                          forThisExchange([this](error_code error, std::size_t bytes) {
                            transferred_bytes_ += bytes;
                            if (error == asio::error::operation_aborted) {
                              readWithoutWaiting();
                            } else if (error) {
                              finishWithResponse(false);
                            } else {
                              readBody();
                            }
                          }));
  }

  // False if the response is complete, or longer than any that has a meaning. The parser is not eager, so
  // that each read ends after one chunk at most.
  bool needsMoreBody() const {
    return !parser_->is_done() && transferred_bytes_ / kMaxTransferredPerBodyByte <= body_limits_.max_bytes;
  }

  // Used after the time limit: reads what is in the socket without waiting, and ends the exchange.
  void readWithoutWaiting() {
    error_code error;
    socket_.non_blocking(true, error);
    while (!error && !head_received_) {
      http::read_header(socket_, read_buffer_, *parser_, error);
      head_received_ = !error && !skipInformationalHead();
    }
    while (!error && needsMoreBody()) {
      transferred_bytes_ += http::read_some(socket_, read_buffer_, *parser_, error);
    }
    if (head_received_ || statusLineSaysOk()) {
      finishWithResponse(!error && parser_->is_done());
    } else if (error == asio::error::would_block) {
      finishWithFailure(ExchangeStatus::timed_out);
    } else {
      finishWithFailure(ExchangeStatus::broken);
    }
  }

  // Whether the complete body is already in read_buffer_ or parsed.
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

  // A complete status line with status 200 counts as a delivery, whatever follows it.
  bool statusLineSaysOk() const { return status() == kStatusOk; }

  // The status of the response; 0 if it is not known. Beast parses the status line of a response that arrives
  // in pieces only together with the rest of the head.
  unsigned status() const {
    const unsigned parsed = parser_->get().result_int();
    return parsed == 0 && bufferedStatusLineSaysOk() ? kStatusOk : parsed;
  }

  bool bufferedStatusLineSaysOk() const {
    const std::string_view input(static_cast<const char*>(read_buffer_.data().data()), read_buffer_.size());
    const std::string_view line = input.substr(0, input.find("\r\n"));
    const bool is_complete = line.size() < input.size();
    return is_complete && (line.rfind("HTTP/1.1 200 ", 0) == 0 || line.rfind("HTTP/1.0 200 ", 0) == 0);
  }

  // ---- Input without a request

  // What there is to read: nothing, data, or the end of the connection or an error.
  enum class PendingInput { none, data, end };

  PendingInput pendingInput() {
    error_code error;
    socket_.non_blocking(true, error);
    if (error) {
      return PendingInput::end;
    }
    char byte = 0;
    socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    if (error == asio::error::would_block) {
      return PendingInput::none;
    }
    return error ? PendingInput::end : PendingInput::data;
  }

  // Waits for input while no request is written, which ends the connection.
  void watchInput() {
    const std::uint64_t watch_id = ++watch_id_;
    is_watching_ = true;
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this(), watch_id](error_code /*cancelled*/) {
                         if (self->is_watching_ && watch_id == self->watch_id_) {
                           self->onWatchedInput();
                         }
                       });
  }

  void stopWatchingInput() {
    if (!is_watching_) {
      return;
    }
    is_watching_ = false;
    error_code ignored;
    socket_.cancel(ignored);
  }

  void onWatchedInput() {
    const PendingInput input = pendingInput();
    if (input == PendingInput::none) {
      watchInput();
      return;
    }
    if (on_response_) {
      finishAsStale(input);
      return;
    }
    close();
    const OnIdleEnd on_idle_end = std::exchange(on_idle_end_, nullptr);
    if (on_idle_end) {
      on_idle_end({unsolicitedDataGap(input)});
    }
  }

  // Acknowledges the response now instead of together with the next request. A peer whose writes are
  // coalesced (no TCP_NODELAY) holds back what it writes behind the response until then, and it would arrive
  // right behind that request.
  void acknowledgeInput() {
    const int enabled = 1;
    (void)::setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_QUICKACK, &enabled, sizeof enabled);
  }

  std::optional<Micros> unsolicitedDataGap(PendingInput input) const {
    if (input != PendingInput::data) {
      return std::nullopt;
    }
    return monotonicNow() - responded_at_;
  }

  // ---- The end of an exchange

  HttpResponse responseSoFar() const {
    const auto& message = parser_->get();
    HttpResponse response;
    response.completion = ExchangeStatus::answered;
    response.status = static_cast<int>(status());
    response.body = message.body().text;
    for (const auto& field : message) {
      response.fields.emplace_back(toLowerCase(std::string(field.name_string())), std::string(field.value()));
    }
    return response;
  }

  // A head with status 1xx is no response, and the connection can't be reused behind it.
  void finishWithResponse(bool read_completely) {
    const bool body_complete = read_completely && !isInformational();
    HttpResponse response = responseSoFar();
    response.body_complete = body_complete;
    if (body_complete && read_buffer_.size() > 0) {
      response.unsolicited_data_gap = 0;
    }
    keep_alive_ = body_complete && parser_->get().keep_alive() && !response.unsolicited_data_gap;
    if (keep_alive_) {
      acknowledgeInput();
    }
    responded_at_ = monotonicNow();
    finish(response);
  }

  void finishWithFailure(ExchangeStatus completion) {
    HttpResponse response;
    response.completion = completion;
    finish(response);
  }

  void finishAsStale(PendingInput input) {
    HttpResponse response;
    response.completion = ExchangeStatus::not_written;
    response.stale_connection = true;
    response.unsolicited_data_gap = unsolicitedDataGap(input);
    finish(response);
  }

  void finish(const HttpResponse& response) {
    ++exchange_id_;
    timer_.cancel();
    if (!keep_alive_) {
      close();
    }
    freeBuffers();
    progress_ = {};
    const OnResponse on_response = std::exchange(on_response_, nullptr);
    if (on_response) {
      on_response(response);
    }
  }

  // An idle connection holds nothing of its last exchange, as there may be many.
  void freeBuffers() {
    request_.reset();
    std::string().swap(request_bytes_);
    parser_.reset();
    read_buffer_.clear();
    read_buffer_.shrink_to_fit();
  }

  void close() {
    is_open_ = false;
    is_watching_ = false;
    error_code ignored;
    socket_.close(ignored);
    read_buffer_.clear();
  }

  tcp::socket socket_;
  asio::steady_timer timer_;
  const tcp::endpoint peer_;
  const std::string host_;  // for the Host field
  const BodyLimits body_limits_;
  bool is_open_ = false;
  Micros responded_at_ = 0;  // when the last response was complete

  // State of the watch for input while no request is written.
  std::uint64_t watch_id_ = 0;  // changes when a watch begins
  bool is_watching_ = false;
  OnIdleEnd on_idle_end_;

  // State of the current exchange, or of the last one if none is in progress.
  std::uint64_t exchange_id_ = 0;  // changes when an exchange begins and when it ends
  std::uint64_t timer_id_ = 0;     // changes when the timer is set
  Deadline deadline_;
  std::string remaining_time_field_;
  std::optional<http::request<http::string_body>> request_;  // empty once it is serialized
  std::string request_bytes_;
  std::size_t bytes_written_ = 0;  // how many of request_bytes_ the kernel has accepted
  boost::beast::flat_buffer read_buffer_{kMaxReadBufferBytes};
  std::optional<http::response_parser<ResponseBody>> parser_;
  OnResponse on_response_;
  ProgressCallbacks progress_;
  int informational_heads_ = 0;
  std::size_t transferred_bytes_ = 0;  // of the response, behind its head
  bool is_reused_ = false;             // the connection was open when the exchange began
  bool request_written_ = false;
  bool head_received_ = false;
  bool keep_alive_ = false;
  bool is_expired_ = false;  // the time limit has passed, and the request was written
};

HttpConnection::HttpConnection(asio::io_context& io, tcp::endpoint peer, std::string host,
                               BodyLimits body_limits)
    : impl_(std::make_shared<Impl>(io, std::move(peer), std::move(host), body_limits)) {}

HttpConnection::~HttpConnection() {
  impl_->cancel();
}

void HttpConnection::exchange(HttpRequest request, const Timing& timing, OnResponse on_response,
                              ProgressCallbacks progress) {
  impl_->start(std::move(request), timing, std::move(on_response), std::move(progress));
}

void HttpConnection::watchIdle(OnIdleEnd on_idle_end) {
  impl_->watchIdle(std::move(on_idle_end));
}

bool HttpConnection::isIdle() const {
  return impl_->isIdle();
}

void HttpConnection::expire() {
  impl_->expire();
}

bool HttpConnection::isReusable() const {
  return impl_->isReusable();
}

bool HttpConnection::requestWritten() const {
  return impl_->requestWritten();
}

std::size_t HttpConnection::bufferedBytes() const {
  return impl_->bufferedBytes();
}

}  // namespace delivery
