#include "network/client_server.h"

#include <poll.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <utility>
#include <vector>

#include "common/clocks.h"
#include "protocol/message_request.h"
#include "protocol/resp.h"

namespace delivery {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// A peer that sends this many bytes after a malformed request is disconnected at once.
constexpr std::size_t kMaxDiscardedBytes = 1u << 20;
constexpr std::chrono::milliseconds kCapacityCheckInterval{20};
constexpr std::size_t kInputGrowthBytes = 8192;  // of the buffer for a request that arrives in pieces
// At most this many candidates in a row are examined to find one without unread input.
constexpr int kMaxEvictionAttempts = 16;
// When the server starts, connections may have waited in the accept queue for any length of time.
constexpr Micros kDistantPast = INT64_MIN / 4;

}  // namespace

// One connection of a client. It processes one request at a time: the next one is parsed once the current one
// is answered.
class ClientServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(ClientServer& server, tcp::socket socket, ConnectionId id, Micros connected_at)
      : server_(server), socket_(std::move(socket)), id_(id), input_age_(connected_at) {}

  // Waits until the socket is readable and only then reads, so that an idle connection holds no buffer.
  void waitForInput() {
    if (!hasUnreadInput()) {
      input_age_.onEmpty();
    }
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
      if (!self->is_open_) {
        return;
      }
      self->input_age_.onReadable(monotonicNow());
      if (error) {
        self->close();
      } else {
        self->readInput();
      }
    });
  }

  // Reads once, as far as the admission allows. With an allowance of 0 the connection is stalled until
  // resumeQueued() calls this again.
  void readInput() {
    const std::size_t allowance =
        std::min(server_.admission_.readAllowance(id_), sizeof server_.read_buffer_);
    if (allowance == 0) {
      server_.scheduleCapacityCheck();
      return;
    }
    error_code error;
    const std::size_t count = socket_.read_some(asio::buffer(server_.read_buffer_, allowance), error);
    if (error == asio::error::would_block) {
      waitForInput();
    } else if (error) {
      close();
    } else {
      onInput(count);
    }
  }

  // Processes the buffered request once the admission allows it. The bytes are parsed again, because no
  // parsed form is kept.
  void processQueuedRequest() {
    if (isReset()) {
      close();
      return;
    }
    const RespParseResult parsed = parseRespRequest(input_);
    if (const auto* request = std::get_if<RespRequest>(&parsed)) {
      processRequest(*request);
    }
  }

  bool hasUnreadInput() const {
    error_code ignored;
    return socket_.available(ignored) > 0;
  }

  void close() {
    if (!is_open_) {
      return;
    }
    is_open_ = false;
    server_.closing_connections_ -= is_closing_ ? 1 : 0;
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
    server_.onSessionClosed(id_);
  }

 private:
  // Takes `count` bytes from the server's read buffer.
  void onInput(std::size_t count) {
    const Micros now = monotonicNow();
    server_.admission_.onBytesReceived(id_, count, now);
    if (is_discarding_) {
      discard(count);
      return;
    }
    last_bytes_sent_at_ = input_age_.earliestArrival(now);
    input_age_.onAllRead(now);
    if (input_.empty()) {
      request_sent_at_ = last_bytes_sent_at_;
    }
    appendInput(count);
    parseInput();
  }

  // Grows the buffer in small steps: std::string would double it, beyond what the buffer pool counts.
  void appendInput(std::size_t count) {
    if (input_.size() + count > input_.capacity()) {
      std::string grown;
      grown.reserve(input_.size() + std::max(count, kInputGrowthBytes));
      grown.append(input_);
      input_.swap(grown);
    }
    input_.append(server_.read_buffer_, count);
  }

  // Counts input that arrived after a malformed request, or while closing.
  void discard(std::size_t count) {
    discarded_bytes_ += count;
    if (discarded_bytes_ >= kMaxDiscardedBytes && !is_closing_) {
      close();
    } else {
      waitForInput();
    }
  }

  // A client that has left hears of no message that is accepted from now on.
  void parseUnlessReset() {
    if (isReset()) {
      close();
    } else {
      parseInput();
    }
  }

  // Whether the client reset the connection, as it does when a reply reaches it after it has closed. The
  // input that was read before tells nothing of that.
  bool isReset() {
    pollfd status{socket_.native_handle(), 0, 0};
    return ::poll(&status, 1, 0) == 1 && (status.revents & (POLLERR | POLLHUP)) != 0;
  }

  void parseInput() {
    const RespParseResult parsed = parseRespRequest(input_);
    if (const auto* error = std::get_if<RespProtocolError>(&parsed)) {
      std::string().swap(input_);
      server_.admission_.onRequestMalformed(id_, monotonicNow());
      is_discarding_ = true;
      write("-ERR " + error->message);
    } else if (const auto* request = std::get_if<RespRequest>(&parsed)) {
      if (server_.admission_.onRequestComplete(id_, monotonicNow()) == RequestAdmission::process_now) {
        processRequest(*request);
      }
    } else if (!server_.admission_.mayReadNextRequest(id_, monotonicNow())) {
      endReading();
    } else {
      server_.admission_.onRequestPartial(id_, monotonicNow());
      server_.scheduleDeadlines();
      waitForInput();
    }
  }

  void processRequest(const RespRequest& resp_request) {
    // What is left in the buffer after this request arrived with the latest bytes.
    const Micros sent_at = std::exchange(request_sent_at_, last_bytes_sent_at_);
    consumeInput(resp_request.consumed_bytes);
    ClientRequest request = parseClientRequest(resp_request.arguments);
    if (const auto* error = std::get_if<RequestError>(&request)) {
      reply(errorReply(*error), false);
    } else if (auto* message = std::get_if<SubmittedMessage>(&request)) {
      submit(std::move(*message), sent_at);
    } else {
      reply(server_.admission_.isDraining() ? "-ERR draining" : "+PONG", false);
    }
  }

  void consumeInput(std::size_t consumed_bytes) {
    input_.erase(0, consumed_bytes);
    if (input_.empty()) {
      input_.shrink_to_fit();  // an idle connection keeps no buffer of its earlier requests
    }
    server_.admission_.onRequestConsumed(id_, input_.size());
  }

  void submit(SubmittedMessage message, Micros sent_at) {
    if (!server_.admission_.mayReadNextRequest(id_, monotonicNow())) {
      // One request is decided on in each round; there may be no time left for all that were read.
      reply(toRespLine({SubmitStatus::busy, 0}), false);
      return;
    }
    message.deadline = Deadline::after(sent_at, message.time_to_live);
    ++server_.unanswered_requests_;
    server_.on_submit_(std::move(message), [self = shared_from_this()](const SubmitReply& submit_reply) {
      --self->server_.unanswered_requests_;
      if (self->is_open_) {
        self->reply(toRespLine(submit_reply), isAcceptedOrBusy(submit_reply));
      }
    });
  }

  void reply(const std::string& line, bool has_submitted) {
    server_.admission_.onReplyStarted(id_, has_submitted, monotonicNow());
    write(line);
    server_.scheduleResume();
  }

  void write(const std::string& line) {
    output_ = line + "\r\n";
    server_.scheduleDeadlines();
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
    if (is_discarding_) {
      shutdownAndDiscard();
      return;
    }
    const bool has_more_input = !input_.empty() || hasUnreadInput();
    if (server_.admission_.onReplyWritten(id_, has_more_input, monotonicNow()) == AfterReply::close) {
      close();
      return;
    }
    if (!input_.empty()) {
      parseUnlessReset();
    } else if (!server_.admission_.mayReadNextRequest(id_, monotonicNow())) {
      endReading();
    } else {
      waitForInput();
    }
    server_.resumeQueued();
  }

  // All requests that were read are answered, and no more are read.
  void endReading() {
    std::string().swap(input_);
    is_discarding_ = true;
    is_closing_ = true;
    ++server_.closing_connections_;
    server_.admission_.onReadingEnded(id_, monotonicNow());
    server_.scheduleDeadlines();
    shutdownAndDiscard();
  }

  // Shuts down the sending side and goes on reading: closing a socket that has unread input resets the
  // connection, and the peer would lose the reply. The admission's deadline ends this.
  void shutdownAndDiscard() {
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    waitForInput();
  }

  ClientServer& server_;
  tcp::socket socket_;
  const ConnectionId id_;
  std::string input_;
  std::string output_;
  std::size_t discarded_bytes_ = 0;
  QueueAge input_age_;             // of the unread input in the socket
  Micros last_bytes_sent_at_ = 0;  // the earliest time at which the latest bytes can have been sent
  Micros request_sent_at_ = 0;     // the same for the first bytes of the buffered request
  bool is_open_ = true;
  bool is_discarding_ = false;  // after a malformed request, or while closing: further input is discarded
  bool is_closing_ = false;     // a drain has ended the reading
};

ClientServer::ClientServer(asio::io_context& io, tcp::acceptor acceptor, ClientAdmission& admission,
                           OnSubmit on_submit)
    : acceptor_(std::move(acceptor)),
      capacity_timer_(io),
      deadline_timer_(io),
      resume_timer_(io),
      admission_(admission),
      on_submit_(std::move(on_submit)),
      accept_queue_(kDistantPast) {
  acceptor_.non_blocking(true);
  if (acceptPending()) {
    accept();
  }
}

ClientServer::~ClientServer() {
  stop();
}

void ClientServer::stop() {
  is_paused_ = true;
  error_code ignored;
  acceptor_.close(ignored);
  capacity_timer_.cancel();
  const auto sessions = sessions_;
  for (const auto& [id, session] : sessions) {
    session->close();
  }
  deadline_timer_.cancel();
  resume_timer_.cancel();
}

void ClientServer::pauseAccepting() {
  is_paused_ = true;
  error_code ignored;
  acceptor_.cancel(ignored);
}

void ClientServer::resumeAccepting() {
  is_paused_ = false;
  accept();
}

// Accepts no more connections than there is capacity for. The others wait in the kernel's accept queue, so
// that descriptors are left for the calls to endpoints.
void ClientServer::accept() {
  if (is_accepting_ || is_paused_) {
    return;
  }
  is_accepting_ = true;
  acceptor_.async_wait(tcp::acceptor::wait_read, [this](error_code error) {
    is_accepting_ = false;
    if (error || is_paused_) {
      accept();  // accepting may have been paused and resumed in the meantime
      return;
    }
    accept_queue_.onReadable(monotonicNow());
    if (!admission_.hasCapacity() && !evictForConnection()) {
      scheduleCapacityCheck();
      return;
    }
    if (acceptPending()) {
      accept();
    }
  });
}

// Accepts connections from the kernel's accept queue while there is capacity. Returns false if accepting
// failed; the next capacity check tries again.
bool ClientServer::acceptPending() {
  while (admission_.hasCapacity()) {
    tcp::socket socket(acceptor_.get_executor());
    error_code error;
    acceptor_.accept(socket, error);
    if (error == asio::error::would_block) {
      accept_queue_.onEmpty();
      return true;
    }
    if (!error) {
      onAccepted(std::move(socket));
      continue;
    }
    if (error == asio::error::connection_aborted) {
      continue;  // the peer has closed it
    }
    // The machine may allow fewer descriptors than are configured. This is handled like a full table.
    const bool out_of_descriptors =
        error == asio::error::no_descriptors || error == boost::system::errc::too_many_files_open_in_system;
    if (out_of_descriptors && evictForConnection()) {
      return true;
    }
    scheduleCapacityCheck();
    return false;
  }
  return true;
}

void ClientServer::onAccepted(tcp::socket socket) {
  error_code error;
  const tcp::endpoint peer = socket.remote_endpoint(error);
  if (error) {
    return;  // the peer has closed it
  }
  socket.set_option(tcp::no_delay(true), error);
  socket.non_blocking(true, error);
  const Micros now = monotonicNow();
  const ConnectionId id = admission_.onAccepted(peer.address().to_string(), now);
  const auto session =
      std::make_shared<Session>(*this, std::move(socket), id, accept_queue_.earliestArrival(now));
  sessions_.emplace(id, session);
  scheduleDeadlines();
  session->waitForInput();
}

// Polls, because no event tells when a connection has been inactive for long enough to be evicted.
void ClientServer::scheduleCapacityCheck() {
  if (capacity_check_scheduled_) {
    return;
  }
  capacity_check_scheduled_ = true;
  capacity_timer_.expires_after(kCapacityCheckInterval);
  capacity_timer_.async_wait([this](error_code cancelled) {
    capacity_check_scheduled_ = false;
    if (!cancelled) {
      checkCapacity();
    }
  });
}

void ClientServer::checkCapacity() {
  if (admission_.hasStalledReaders()) {
    evictForBuffers();
  }
  bool evicted = true;
  while (evicted && admission_.isOverCapacity()) {
    evicted = evictForConnection();
  }
  resumeQueued();
  if (const auto event = admission_.pollEvictionEvent(monotonicNow())) {
    logEvictionEvent(*event);
  }
  if (admission_.hasStalledReaders() || admission_.isOverCapacity() || admission_.isEvictionPeriodActive()) {
    scheduleCapacityCheck();
  }
  accept();
}

bool ClientServer::evictForConnection() {
  return evict([this](Micros now) { return admission_.evictionCandidate(now); });
}

bool ClientServer::evictForBuffers() {
  return evict([this](Micros now) { return admission_.bufferEvictionCandidate(now); });
}

// Closes one connection. Returns false if none may be closed now.
bool ClientServer::evict(const std::function<std::optional<ConnectionId>(Micros now)>& find_candidate) {
  for (int attempt = 0; attempt < kMaxEvictionAttempts; ++attempt) {
    const Micros now = monotonicNow();
    const std::optional<ConnectionId> candidate = find_candidate(now);
    if (!candidate) {
      return false;
    }
    if (markUnreadInput(*candidate)) {
      continue;
    }
    admission_.onEvicted(*candidate, now);
    scheduleCapacityCheck();
    sessions_.at(*candidate)->close();
    return true;
  }
  return false;
}

// Returns true if the connection has unread input, and records that, so that the connection is not evicted
// before the input is read.
bool ClientServer::markUnreadInput(ConnectionId id) {
  if (!sessions_.at(id)->hasUnreadInput()) {
    return false;
  }
  admission_.onUnreadInput(id);
  return true;
}

void ClientServer::onSessionClosed(ConnectionId id) {
  sessions_.erase(id);
  admission_.onClosed(id);
  resumeQueued();
  accept();
}

// Continues queued requests from the event loop: a reply may be sent from within a decision round. The client
// may never take that reply, so this does not wait until it is written.
void ClientServer::scheduleResume() {
  if (resume_scheduled_ || !admission_.hasQueuedRequests()) {
    return;
  }
  resume_scheduled_ = true;
  resume_timer_.expires_after(std::chrono::microseconds(0));
  resume_timer_.async_wait([this](error_code cancelled) {
    if (!cancelled) {
      resume_scheduled_ = false;
      resumeQueued();
    }
  });
}

// Continues queued requests and stalled readers, in their order, as far as the budget allows.
void ClientServer::resumeQueued() {
  if (is_resuming_) {
    return;
  }
  is_resuming_ = true;
  while (const auto id = admission_.nextQueuedRequest()) {
    sessions_.at(*id)->processQueuedRequest();
  }
  while (const auto id = admission_.nextResumedReader()) {
    sessions_.at(*id)->readInput();
  }
  is_resuming_ = false;
}

void ClientServer::scheduleDeadlines() {
  const Micros next = admission_.nextDeadline();
  if (next >= scheduled_deadline_) {
    return;  // the timer fires early enough
  }
  scheduled_deadline_ = next;
  deadline_timer_.expires_after(std::chrono::microseconds(std::max<Micros>(0, next - monotonicNow())));
  deadline_timer_.async_wait([this](error_code cancelled) {
    if (cancelled) {
      return;
    }
    scheduled_deadline_ = kNoDeadline;
    closeOverdue();
    scheduleDeadlines();
  });
}

void ClientServer::closeOverdue() {
  const Micros now = monotonicNow();
  for (const ConnectionId id : admission_.overdue(now)) {
    const auto entry = sessions_.find(id);
    if (entry == sessions_.end()) {
      continue;
    }
    const std::shared_ptr<Session> session = entry->second;
    if (admission_.mayCloseOverdue(id, session->hasUnreadInput(), now)) {
      session->close();
    }
  }
}

void ClientServer::applyBudget() {
  if (admission_.isOverCapacity()) {
    scheduleCapacityCheck();
  }
  resumeQueued();
  accept();
}

void ClientServer::startDraining(Micros reading_time) {
  for (const ConnectionId id : admission_.startDraining(monotonicNow(), reading_time)) {
    if (!markUnreadInput(id)) {
      sessions_.at(id)->close();
    }
  }
  scheduleDeadlines();
}

}  // namespace delivery
