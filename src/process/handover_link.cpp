#include "process/handover_link.h"

#include <fcntl.h>
#include <unistd.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "common/log.h"
#include "protocol/json_fields.h"

namespace delivery {

namespace asio = boost::asio;
using boost::system::error_code;
using Protocol = asio::local::stream_protocol;

namespace {

constexpr std::size_t kMaxLineBytes = 4U << 20U;
// Paths in Unix socket addresses hold 108 bytes on Linux. This limit is lower, as a safety margin.
constexpr std::size_t kMaxAddressBytes = 100;
constexpr char kLineEnd = '\n';

// The path of the handover socket in a folder. If that path is too long for a socket address, the path leads
// through a descriptor of the folder instead; it is valid as long as this object, which keeps the descriptor
// open.
class SocketPath {
 public:
  explicit SocketPath(const std::string& folder) : path_(folder + "/handover") {
    if (path_.size() <= kMaxAddressBytes) {
      return;
    }
    folder_descriptor_ = ::open(folder.c_str(), O_PATH | O_DIRECTORY | O_CLOEXEC);
    path_ = "/proc/self/fd/" + std::to_string(folder_descriptor_) + "/handover";
  }
  ~SocketPath() {
    if (folder_descriptor_ >= 0) {
      ::close(folder_descriptor_);
    }
  }
  SocketPath(const SocketPath&) = delete;
  SocketPath& operator=(const SocketPath&) = delete;

  const std::string& get() const { return path_; }

 private:
  std::string path_;
  int folder_descriptor_ = -1;  // -1: not open
};

}  // namespace

void HandoverLink::start(OnLine on_line, OnEnd on_end) {
  on_line_ = std::move(on_line);
  on_end_ = std::move(on_end);
  readLine();
}

void HandoverLink::readLine() {
  asio::async_read_until(socket_, asio::dynamic_buffer(input_, kMaxLineBytes), kLineEnd,
                         [self = shared_from_this()](error_code error, std::size_t length) {
                           if (!self->open_) {
                             return;
                           }
                           if (error) {
                             self->end();
                             return;
                           }
                           const std::string line = self->input_.substr(0, length - 1);
                           self->input_.erase(0, length);
                           if (!self->handleLine(line)) {
                             self->end();
                             return;
                           }
                           if (self->open_) {
                             self->readLine();
                           }
                         });
}

// Returns false if the line can't be read. A process that sends such a line is treated as if it had
// disconnected.
bool HandoverLink::handleLine(const std::string& line) {
  try {
    on_line_(line);
    return true;
  } catch (const InvalidInput& error) {
    logWarning("handover", "invalid_message").field("reason", error.what());
    return false;
  }
}

void HandoverLink::send(const std::string& line) {
  unsent_lines_.push_back(line + kLineEnd);
  if (open_ && unsent_lines_.size() == 1) {
    writeNextLine();
  }
}

void HandoverLink::writeNextLine() {
  asio::async_write(socket_, asio::buffer(unsent_lines_.front()),
                    [self = shared_from_this()](error_code error, std::size_t /*length*/) {
                      if (!self->open_ || error) {
                        return;  // the pending read reports that the connection has ended
                      }
                      self->unsent_lines_.pop_front();
                      if (!self->unsent_lines_.empty()) {
                        self->writeNextLine();
                      }
                    });
}

void HandoverLink::end() {
  if (!open_) {
    return;
  }
  const OnEnd on_end = std::move(on_end_);
  close();
  on_end();
}

void HandoverLink::close() {
  open_ = false;
  error_code ignored;
  socket_.close(ignored);
}

HandoverListener::HandoverListener(asio::io_context& io, const std::string& scratch_folder, OnLink on_link)
    : acceptor_(io), on_link_(std::move(on_link)) {
  try {
    listen(scratch_folder);
  } catch (const boost::system::system_error& error) {
    logError("handover", "listen_failed").field("reason", error.what());
  }
}

void HandoverListener::listen(const std::string& scratch_folder) {
  const SocketPath path(scratch_folder);
  ::unlink(path.get().c_str());
  acceptor_.open();
  acceptor_.bind(Protocol::endpoint(path.get()));
  acceptor_.listen();
  accept();
}

void HandoverListener::close() {
  error_code ignored;
  acceptor_.close(ignored);
}

void HandoverListener::accept() {
  acceptor_.async_accept([this](error_code error, HandoverLink::Socket socket) {
    if (error || !acceptor_.is_open()) {
      return;
    }
    on_link_(std::make_shared<HandoverLink>(std::move(socket)));
    if (acceptor_.is_open()) {
      accept();
    }
  });
}

std::shared_ptr<HandoverLink> connectToOwner(asio::io_context& io, const std::string& scratch_folder) {
  const SocketPath path(scratch_folder);
  HandoverLink::Socket socket(io);
  error_code error;
  socket.connect(Protocol::endpoint(path.get()), error);
  if (error) {
    return nullptr;
  }
  return std::make_shared<HandoverLink>(std::move(socket));
}

}  // namespace delivery
