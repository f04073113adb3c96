// The lock and the link between two processes of one sender; see handover.h.
#include "process/handover.h"

#include <fcntl.h>
#include <unistd.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <cstring>
#include <iostream>
#include <stdexcept>

namespace delivery {

namespace asio = boost::asio;
using boost::system::error_code;
using Protocol = asio::local::stream_protocol;

namespace {

constexpr std::size_t kLongestMessage = 4u << 20;
constexpr std::size_t kLongestPath =
    100;  // what the address of a socket in the file system holds, and some room

struct flock wholeFile(short type) {
  struct flock f {};
  f.l_type = type;
  f.l_whence = SEEK_SET;
  return f;
}

// The socket's path, by way of a descriptor of its folder where the path is too long for an address.
class SocketPath {
 public:
  explicit SocketPath(const std::string& folder) : path_(folder + "/handover") {
    if (path_.size() <= kLongestPath)
      return;
    fd_ = ::open(folder.c_str(), O_PATH | O_DIRECTORY | O_CLOEXEC);
    path_ = "/proc/self/fd/" + std::to_string(fd_) + "/handover";
  }
  ~SocketPath() {
    if (fd_ >= 0)
      ::close(fd_);
  }
  SocketPath(const SocketPath&) = delete;
  SocketPath& operator=(const SocketPath&) = delete;
  const std::string& get() const { return path_; }

 private:
  std::string path_;
  int fd_ = -1;
};

}  // namespace

OwnershipLock::OwnershipLock(const std::string& folder) {
  const std::string path = folder + "/lock";
  fd_ = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
  if (fd_ < 0)
    throw std::runtime_error("lock: " + path + ": " + std::strerror(errno));
}

OwnershipLock::~OwnershipLock() {
  ::close(fd_);
}

bool OwnershipLock::tryAcquire() {
  struct flock f = wholeFile(F_WRLCK);
  return ::fcntl(fd_, F_SETLK, &f) == 0;
}

void OwnershipLock::release() {
  struct flock f = wholeFile(F_UNLCK);
  ::fcntl(fd_, F_SETLK, &f);
}

pid_t OwnershipLock::holder() const {
  struct flock f = wholeFile(F_WRLCK);
  return ::fcntl(fd_, F_GETLK, &f) == 0 && f.l_type != F_UNLCK && f.l_pid > 0 ? f.l_pid : 0;
}

void HandoverLink::start(OnMessage on_message, std::function<void()> on_end) {
  on_message_ = std::move(on_message);
  on_end_ = std::move(on_end);
  read();
}

void HandoverLink::read() {
  asio::async_read_until(socket_, asio::dynamic_buffer(in_, kLongestMessage), '\n',
                         [self = shared_from_this()](error_code e, std::size_t n) {
                           if (!self->open_)
                             return;
                           if (e)
                             return self->end();
                           const json message = json::parse(self->in_.substr(0, n), nullptr, false);
                           self->in_.erase(0, n);
                           try {
                             self->on_message_(message);
                           } catch (const InvalidInput& bad_message) {  // as good as none: it ends the link
                             std::cerr << "link: " << bad_message.what() << '\n';
                             return self->end();
                           }
                           if (self->open_)
                             self->read();
                         });
}

void HandoverLink::send(const json& message) {
  out_.push_back(message.dump(-1, ' ', false, json::error_handler_t::replace) + "\n");
  if (open_ && out_.size() == 1)
    write();
}

void HandoverLink::write() {
  asio::async_write(socket_, asio::buffer(out_.front()),
                    [self = shared_from_this()](error_code e, std::size_t) {
                      if (!self->open_ || e)
                        return;  // the end shows where it is read
                      self->out_.pop_front();
                      if (!self->out_.empty())
                        self->write();
                    });
}

void HandoverLink::end() {
  if (!open_)
    return;
  const auto on_end = std::move(on_end_);
  close();
  on_end();
}

void HandoverLink::close() {
  open_ = false;
  error_code ignored;
  socket_.close(ignored);
}

HandoverListener::HandoverListener(asio::io_context& io, const std::string& folder, OnLink on_link)
    : acceptor_(io), on_link_(std::move(on_link)) {
  const SocketPath path(folder);
  ::unlink(path.get().c_str());
  try {
    acceptor_.open();
    acceptor_.bind(Protocol::endpoint(path.get()));
    acceptor_.listen();
    accept();
  } catch (
      const boost::system::system_error& e) {  // this process serves all the same; the next one must wait
    std::cerr << "handover: can't listen for the next process: " << e.what() << '\n';
  }
}

void HandoverListener::close() {
  error_code ignored;
  acceptor_.close(ignored);
}

void HandoverListener::accept() {
  acceptor_.async_accept([this](error_code e, HandoverLink::Socket s) {
    if (e || !acceptor_.is_open())
      return;
    on_link_(std::make_shared<HandoverLink>(std::move(s)));
    if (acceptor_.is_open())
      accept();
  });
}

std::shared_ptr<HandoverLink> connectLink(asio::io_context& io, const std::string& folder) {
  const SocketPath path(folder);
  HandoverLink::Socket socket(io);
  error_code e;
  socket.connect(Protocol::endpoint(path.get()), e);
  return e ? nullptr : std::make_shared<HandoverLink>(std::move(socket));
}

}  // namespace delivery
