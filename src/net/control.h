// grademux: the server for operators: one line a connection, one reply line that begins with OK or ERR.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <memory>
#include <string>

namespace grademux {

class Control {
 public:
  static constexpr std::size_t kMostCallers = 8;  // descriptors to set aside, with one for the listener
  using OnCall = std::function<std::string(const std::string& line)>;  // the reply, without its end

  Control(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& listen,
          OnCall on_call);  // throws when it can't listen
  ~Control();
  Control(const Control&) = delete;
  Control& operator=(const Control&) = delete;

 private:
  struct Session;
  void accept();

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_;
  OnCall on_call_;
  std::list<std::shared_ptr<Session>> sessions_;  // the oldest first
};

}  // namespace grademux
