// The server for operators: one line a connection, one reply line that begins with OK or ERR. Who
// is accepted and for how long is decided by ControlAdmission.
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
  using OnCall = std::function<std::string(const std::string& line)>;  // the reply, without its end

  ControlServer(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& listen,
                ControlAdmission& admission,
                OnCall on_call);  // throws when it can't listen
  ~ControlServer();
  ControlServer(const ControlServer&) = delete;
  ControlServer& operator=(const ControlServer&) = delete;

 private:
  struct Session;
  void accept();
  void watchDeadlines();

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_, deadline_;
  ControlAdmission& admission_;
  OnCall on_call_;
  std::map<ConnectionId, std::shared_ptr<Session>> sessions_;
  bool watching_ = false;
};

}  // namespace delivery
