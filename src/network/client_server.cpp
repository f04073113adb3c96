// The server for clients; see client_server.h.
#include "network/client_server.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdlib>
#include <utility>
#include <vector>

#include "common/clocks.h"
#include "network/queue_age.h"
#include "protocol/resp.h"

namespace delivery {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t kDiscard = 1u << 20;  // of a malformed request's rest
constexpr std::chrono::milliseconds kLookForRoom{20};
constexpr int kLooks = 16;  // at once for one that has nothing unread: others wait meanwhile
constexpr std::int64_t kLongestMs = 24LL * 3600 * 1000;

bool wholeNumber(const std::string& s, std::int64_t& out) {
  if (s.empty() || s.size() > 18 || s.find_first_not_of("0123456789") != std::string::npos)
    return false;
  out = std::strtoll(s.c_str(), nullptr, 10);
  return true;
}

// "c=notice,d=8000,..."; answers what is wrong, or nothing.
const char* readFields(const std::string& list, AcceptedMessage& m) {
  bool timed = false, addressed = false;
  for (std::size_t at = 0; at < list.size();) {
    const std::size_t end = std::min(list.find(',', at), list.size());
    const std::string item = list.substr(at, end - at);
    at = end + 1;
    const auto equals = item.find('=');
    if (equals == std::string::npos)
      return "malformed list of values";
    const std::string name = item.substr(0, equals), value = item.substr(equals + 1);
    std::int64_t n = 0;
    if (name == "c") {
      m.message_class = value;
    } else if (name == "t") {
      m.tenant = value;
    } else if (name == "d") {
      if (!wholeNumber(value, n) || n == 0 || n > kLongestMs)
        return "malformed d";
      m.time_to_live = n * 1000;
      timed = true;
    } else if (name == "dest") {
      if (!wholeNumber(value, m.destination))
        return "malformed dest";
      addressed = true;
    } else if (name == "k") {
      m.idempotency_key = value;
    } else if (name == "r" || name == "again") {
      m.is_retry = m.is_retry || value == "1";
    }
  }
  if (m.message_class.empty())
    return "no class";
  if (!timed)
    return "no d";
  if (!addressed)
    return "no dest";
  return nullptr;
}

// Ids and keys go on as HTTP header values: guards against one that would end its header early.
bool plain(const std::string& s) {
  for (const char c : s)
    if (c <= ' ' || c == 127)
      return false;
  return true;
}

std::string upper(std::string s) {
  for (char& c : s)
    if (c >= 'a' && c <= 'z')
      c = static_cast<char>(c - 'a' + 'A');
  return s;
}

}  // namespace

struct ClientServer::Session : std::enable_shared_from_this<Session> {
  Session(ClientServer& c, tcp::socket s, ConnectionId i, Micros came_after)
      : clients(c), socket(std::move(s)), id(i), waiting(came_after) {}

  ClientServer& clients;
  tcp::socket socket;
  const ConnectionId id;
  std::string in, out;
  std::size_t discarded = 0;
  QueueAge waiting;  // what is unread in the socket
  Micros heard = 0,
         began = 0;  // sent: the last bytes; the first ones of the request that is read or buffered
  bool open = true, hangs_up = false;

  // Waits first, so that a connection that rests holds no buffer.
  void read() {
    error_code none;
    if (socket.available(none) == 0)
      waiting.seenEmpty();
    socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code e) {
      if (!self->open)
        return;
      self->waiting.seenFull(monotonicNow());
      e ? self->close() : self->take();
    });
  }

  void take() {
    const std::size_t most = std::min(clients.admission_.readAllowance(id), sizeof clients.piece_);
    if (most == 0)
      return clients.lookLater();
    error_code e;
    const std::size_t n = socket.read_some(asio::buffer(clients.piece_, most), e);
    if (e == asio::error::would_block)
      return read();
    if (e)
      return close();
    const Micros now = monotonicNow();
    clients.admission_.onBytesReceived(id, n, now);
    if (hangs_up) {
      discarded += n;
      return discarded >= kDiscard ? close() : read();
    }
    heard = waiting.from(now);
    waiting.taken(now);
    if (in.empty())
      began = heard;
    in.append(clients.piece_, n);
    next();
  }

  // One request at a time; the next is read once this one is answered.
  void next() {
    std::vector<std::string> words;
    std::size_t used = 0;
    std::string error;
    const Parsed parsed = parseRequest(in, words, used, error);
    if (parsed == Parsed::partial) {
      clients.admission_.onRequestPartial(id, monotonicNow());
      clients.watchDeadlines();
      return read();
    }
    if (parsed == Parsed::malformed) {
      std::string().swap(in);
      clients.admission_.onRequestMalformed(id, monotonicNow());
      hangs_up = true;
      return write("-ERR " + error);
    }
    if (clients.admission_.onRequestComplete(id, monotonicNow()) == RequestTurn::now)
      carryOut(words, used);
  }

  // Its turn has come: what was buffered is read once more.
  void turn() {
    std::vector<std::string> words;
    std::size_t used = 0;
    std::string error;
    if (parseRequest(in, words, used, error) == Parsed::whole)
      carryOut(words, used);
  }

  void carryOut(const std::vector<std::string>& words, std::size_t used) {
    const Micros first_byte = std::exchange(began, heard);  // what is left came with the last bytes
    in.erase(0, used);
    if (in.empty())
      in.shrink_to_fit();  // what rests holds no memory of what it once sent
    clients.admission_.onRequestConsumed(id, in.size());
    const std::string command = upper(words[0]);
    if (command == "PING" && words.size() > 1)
      return answer("-ERR wrong number of arguments");
    if (command == "PING")
      return answer(clients.admission_.isDraining() ? "-ERR draining" : "+PONG");
    if (command != "MSG.PUT")
      return answer("-ERR unknown command");
    if (words.size() != 5)
      return answer("-ERR wrong number of arguments");
    AcceptedMessage m;
    if (words[1].find_first_not_of('0') != std::string::npos)
      m.order_key = words[1];
    m.id = words[2];
    m.body = words[4];
    if (m.id.empty() || !plain(m.id))
      return answer("-ERR malformed id");
    if (const char* wrong = readFields(words[3], m))
      return answer(std::string("-ERR ") + wrong);
    if (!plain(m.idempotency_key))
      return answer("-ERR malformed k");
    m.deadline = Deadline::after(first_byte, m.time_to_live);
    ++clients.unanswered_;
    clients.on_put_(std::move(m), [self = shared_from_this()](const std::string& reply) {
      --self->clients.unanswered_;
      if (self->open)
        self->answer(reply, reply[0] == '+' || reply.rfind("-BUSY", 0) == 0);
    });
  }

  void answer(const std::string& reply, bool useful = false) {
    clients.admission_.onReplyStarted(id, useful, monotonicNow());
    write(reply);
  }

  void write(const std::string& reply) {
    out = reply + "\r\n";
    clients.watchDeadlines();
    asio::async_write(socket, asio::buffer(out), [self = shared_from_this()](error_code e, std::size_t) {
      if (!self->open)
        return;
      if (e)
        return self->close();
      if (self->hangs_up)
        return self->hangUp();
      const bool more = !self->in.empty() || self->socket.available(e) > 0;
      if (self->clients.admission_.onReplyWritten(self->id, more, monotonicNow()) == AfterReply::close)
        return self->close();
      self->in.empty() ? self->read() : self->next();
      self->clients.serveWaiting();
    });
  }

  // Sends the end and reads on for a while: a close with input unread would take the reply with it.
  void hangUp() {
    error_code ignored;
    socket.shutdown(tcp::socket::shutdown_send, ignored);
    read();
  }

  void close() {
    if (!open)
      return;
    open = false;
    error_code ignored;
    socket.shutdown(tcp::socket::shutdown_both, ignored);
    socket.close(ignored);
    clients.ended(id);
  }
};

ClientServer::ClientServer(asio::io_context& io, tcp::acceptor acceptor, ClientAdmission& admission,
                           OnPut on_put)
    : acceptor_(std::move(acceptor)),
      look_(io),
      deadline_(io),
      admission_(admission),
      on_put_(std::move(on_put)) {
  acceptor_.non_blocking(true);
  if (acceptPending())
    accept();
}

ClientServer::~ClientServer() {
  stop();
}

void ClientServer::stop() {
  paused_ = true;
  error_code ignored;
  acceptor_.close(ignored);
  look_.cancel();
  const auto all = sessions_;
  for (const auto& [id, s] : all)
    s->close();
  deadline_.cancel();
}

void ClientServer::pauseAccepting() {
  paused_ = true;
  error_code ignored;
  acceptor_.cancel(ignored);
}

void ClientServer::resumeAccepting() {
  paused_ = false;
  accept();
}

// No more connections than there is room for: the others wait in the kernel's queue. Guards against running
// out of descriptors, which the calls to endpoints need too.
void ClientServer::accept() {
  if (accepting_ || paused_)
    return;
  accepting_ = true;
  acceptor_.async_wait(tcp::acceptor::wait_read, [this](error_code e) {
    accepting_ = false;
    if (e || paused_)
      return accept();  // one that was paused went on meanwhile
    queue_.seenFull(monotonicNow());
    if (!admission_.hasCapacity() && !makeRoom(false))
      return lookLater();
    if (acceptPending())
      accept();
  });
}

// Those that wait in the queue, as far as there is room. False: what came instead is to be tried again later.
bool ClientServer::acceptPending() {
  while (admission_.hasCapacity()) {
    tcp::socket s(acceptor_.get_executor());
    error_code e;
    acceptor_.accept(s, e);
    if (e == asio::error::would_block) {
      queue_.seenEmpty();
      return true;
    }
    if (!e)
      accepted(std::move(s));
    if (!e || e == asio::error::connection_aborted)
      continue;  // its peer gave up
    // The machine may have fewer descriptors than were configured: as if the table were full.
    const bool none_left =
        e == asio::error::no_descriptors || e == boost::system::errc::too_many_files_open_in_system;
    if (none_left && makeRoom(false))
      return true;
    lookLater();  // rather than spin
    return false;
  }
  return true;
}

void ClientServer::accepted(tcp::socket s) {
  error_code e;
  const tcp::endpoint peer = s.remote_endpoint(e);
  if (e)
    return;  // gone already
  s.set_option(tcp::no_delay(true), e);
  s.non_blocking(true, e);
  const Micros now = monotonicNow();
  const ConnectionId id = admission_.onAccepted(peer.address().to_string(), now);
  const auto session = std::make_shared<Session>(*this, std::move(s), id, queue_.from(now));
  sessions_.emplace(id, session);
  watchDeadlines();
  session->read();
}

// Looks again soon for what has no event: somebody who has been silent for long enough to go.
void ClientServer::lookLater() {
  if (looking_)
    return;
  looking_ = true;
  look_.expires_after(kLookForRoom);
  look_.async_wait([this](error_code stopped) {
    looking_ = false;
    if (stopped)
      return;
    if (admission_.hasStalledReaders())
      makeRoom(true);
    while (admission_.isOverCapacity() && makeRoom(false)) {
    }
    serveWaiting();
    if (const auto event = admission_.pollPressure(monotonicNow()))
      logPressureEvent(*event);
    if (admission_.hasStalledReaders() || admission_.isOverCapacity() || admission_.isUnderPressure())
      lookLater();
    accept();
  });
}

// Guards against peers that fill the table, or the room for what is read, while clients wait.
bool ClientServer::makeRoom(bool for_bytes) {
  for (int i = 0; i < kLooks; ++i) {
    const Micros now = monotonicNow();
    const auto id = for_bytes ? admission_.bufferEvictionCandidate(now) : admission_.evictionCandidate(now);
    if (!id)
      break;
    if (unread(*id))
      continue;
    admission_.onEvicted(*id, now);
    lookLater();
    sessions_.at(*id)->close();
    return true;
  }
  return false;
}

// It has sent something that was not read yet: it does not go now.
bool ClientServer::unread(ConnectionId id) {
  error_code e;
  if (sessions_.at(id)->socket.available(e) == 0)
    return false;
  admission_.onUnreadInput(id);
  return true;
}

void ClientServer::ended(ConnectionId id) {
  sessions_.erase(id);
  admission_.onClosed(id);
  serveWaiting();
  accept();
}

void ClientServer::serveWaiting() {
  if (serving_)
    return;
  serving_ = true;
  while (const auto id = admission_.nextQueuedRequest())
    sessions_.at(*id)->turn();
  while (const auto id = admission_.nextResumedReader())
    sessions_.at(*id)->take();
  serving_ = false;
}

void ClientServer::watchDeadlines() {
  const Micros next = admission_.nextDeadline();
  if (next >= watched_)
    return;  // the timer looks earlier
  watched_ = next;
  deadline_.expires_after(std::chrono::microseconds(std::max<Micros>(0, next - monotonicNow())));
  deadline_.async_wait([this](error_code stopped) {
    if (stopped)
      return;
    watched_ = kNoDeadline;
    const Micros now = monotonicNow();
    for (const ConnectionId id : admission_.overdue(now)) {
      const auto it = sessions_.find(id);
      if (it == sessions_.end())
        continue;
      error_code none;
      if (admission_.mayCloseOverdue(id, it->second->socket.available(none) > 0, now))
        it->second->close();
    }
    watchDeadlines();
  });
}

void ClientServer::applyBudget() {
  if (admission_.isOverCapacity())
    lookLater();
  serveWaiting();
  accept();
}

void ClientServer::startDraining() {
  for (const ConnectionId id : admission_.startDraining(monotonicNow()))
    if (!unread(id))
      sessions_.at(id)->close();
  watchDeadlines();
}

}  // namespace delivery
