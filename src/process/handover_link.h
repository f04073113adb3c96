// The connection between two processes of one sender during a handover: a Unix socket that carries text
// lines.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace delivery {

// One end of the connection. protocol/handover_messages.h describes the content of the lines.
class HandoverLink : public std::enable_shared_from_this<HandoverLink> {
 public:
  using Socket = boost::asio::local::stream_protocol::socket;
  // Called for each received line, without its line end. May throw InvalidInput; the error is then logged and
  // the link is closed.
  using OnLine = std::function<void(const std::string& line)>;
  using OnEnd = std::function<void()>;

  explicit HandoverLink(Socket socket) : socket_(std::move(socket)) {}

  // Starts reading. `on_end` is called once, when the other process has closed the connection or a line could
  // not be read. Neither callback is called after close().
  void start(OnLine on_line, OnEnd on_end);
  // Queues a line for sending. The line must not contain a line end.
  void send(const std::string& line);
  // True if every queued line has been written to the socket.
  bool allSent() const { return unsent_lines_.empty(); }
  void close();

 private:
  void readLine();
  bool handleLine(const std::string& line);
  void writeNextLine();
  void end();

  Socket socket_;
  std::string input_;                     // received, but not yet passed to on_line_
  std::deque<std::string> unsent_lines_;  // with their line ends; the first one is being written
  OnLine on_line_;
  OnEnd on_end_;
  bool open_ = true;
};

// Accepts connections from successors, on the socket `handover` in the scratch folder. A socket that an
// earlier process left behind is replaced, so only the holder of the ownership lock may listen. If listening
// fails, the error is logged and this process serves without a listener; a successor then has to wait until
// it exits.
class HandoverListener {
 public:
  using OnLink = std::function<void(std::shared_ptr<HandoverLink>)>;

  HandoverListener(boost::asio::io_context& io, const std::string& scratch_folder, OnLink on_link);
  void close();  // stops listening; the callback is not called any more

 private:
  void listen(const std::string& scratch_folder);
  void accept();

  boost::asio::local::stream_protocol::acceptor acceptor_;
  OnLink on_link_;
};

// Connects to the process that listens in `scratch_folder`. Returns null if none listens there.
std::shared_ptr<HandoverLink> connectToOwner(boost::asio::io_context& io, const std::string& scratch_folder);

}  // namespace delivery
