// The connection between two processes of one sender: a Unix socket that carries lines.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace delivery {

// One end of the connection. What the lines mean is in protocol/handover_messages.h.
class HandoverLink : public std::enable_shared_from_this<HandoverLink> {
 public:
  using Socket = boost::asio::local::stream_protocol::socket;
  // One line without its end. May throw InvalidInput: the error is logged and the link ends.
  using OnLine = std::function<void(const std::string& line)>;
  using OnEnd = std::function<void()>;

  explicit HandoverLink(Socket socket) : socket_(std::move(socket)) {}

  // Starts to read. `on_end` is called once, when the other process is gone or a line could not be read;
  // neither callback is called after close().
  void start(OnLine on_line, OnEnd on_end);
  // Queues a line, which must not hold a line end.
  void send(const std::string& line);
  bool allSent() const { return unsent_lines_.empty(); }
  void close();

 private:
  void readLine();
  bool handleLine(const std::string& line);
  void writeFirst();
  void end();

  Socket socket_;
  std::string input_;
  std::deque<std::string> unsent_lines_;  // with their ends; the first one is being written
  OnLine on_line_;
  OnEnd on_end_;
  bool open_ = true;
};

// Where the owner of the journal is asked to hand over: the socket `handover` in the scratch folder. A socket
// left by a dead process is replaced, so only the holder of the ownership lock may listen. If listening
// fails, that is logged and nothing else: this process serves, and a later one has to wait until it ends.
class HandoverListener {
 public:
  using OnLink = std::function<void(std::shared_ptr<HandoverLink>)>;

  HandoverListener(boost::asio::io_context& io, const std::string& scratch_folder, OnLink on_link);
  void close();  // the callback is not called after it

 private:
  void listen(const std::string& scratch_folder);
  void accept();

  boost::asio::local::stream_protocol::acceptor acceptor_;
  OnLink on_link_;
};

// Connects to the process that listens in `scratch_folder`; null if there is none.
std::shared_ptr<HandoverLink> connectToOwner(boost::asio::io_context& io, const std::string& scratch_folder);

}  // namespace delivery
