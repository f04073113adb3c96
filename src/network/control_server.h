// The server at the control address, for operators. Each connection carries one command line, which is
// answered by one line that begins with OK or ERR. ControlAdmission decides how many connections there may be
// and for how long.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "network/control_admission.h"

namespace delivery {

class ControlServer {
 public:
  // Executes a command line and returns the reply line. Both are without line ends.
  using OnCommand = std::function<std::string(const std::string& line)>;

  // Throws boost::system::system_error if listening at the address fails. `admission` must outlive this
  // object.
  ControlServer(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
                ControlAdmission& admission, OnCommand on_command);
  ~ControlServer();
  ControlServer(const ControlServer&) = delete;
  ControlServer& operator=(const ControlServer&) = delete;

 private:
  class Session;

  void accept();
  void scheduleAcceptRetry();
  void onAccepted(boost::asio::ip::tcp::socket socket);
  void scheduleDeadlines();
  void closeOverdue();

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_;
  boost::asio::steady_timer deadline_timer_;
  ControlAdmission& admission_;
  OnCommand on_command_;
  std::map<ConnectionId, std::shared_ptr<Session>> sessions_;
  bool deadlines_scheduled_ = false;
};

}  // namespace delivery
