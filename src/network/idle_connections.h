// The open connections to endpoints that no call uses. Each is kept for a later call until its endpoint would
// close it, and at most as many as the accounting allows.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "common/clocks.h"
#include "network/endpoint_connection_accounting.h"
#include "network/http_connection.h"

namespace delivery {

class IdleConnections {
 public:
  // `idle_timeout`: the time after which endpoints close an idle connection, in microseconds; 0: they do not.
  IdleConnections(boost::asio::io_context& io, Micros idle_timeout, EndpointConnectionAccounting& accounting);

  // Returns the most recently used connection to the endpoint for a call; nullptr if there is none.
  std::unique_ptr<HttpConnection> take(const std::string& endpoint);
  // Keeps the connection, which a call to the endpoint has used. Closes an idle connection to another
  // endpoint if that makes room. Returns false and leaves `connection` alone if it can't be reused or there
  // is no room.
  bool keep(const std::string& endpoint, std::unique_ptr<HttpConnection>& connection);

  // These close the idle connections to the endpoint, the one of them that is idle for longest, those to
  // all endpoints, or as many as exceed the accounting's budget.
  void close(const std::string& endpoint);
  void closeOldest(const std::string& endpoint);
  void closeAll();
  void closeExcess();

 private:
  struct IdleConnection {
    std::unique_ptr<HttpConnection> connection;
    Micros idle_since = 0;
  };

  bool makeRoomFor(const std::string& endpoint);
  void scheduleSweep();
  void closeExpired(Micros now);
  std::optional<Micros> nextExpiry() const;
  Micros maxIdleTime() const;

  const Micros idle_timeout_;
  EndpointConnectionAccounting& accounting_;
  std::map<std::string, std::deque<IdleConnection>> connections_;  // by endpoint, oldest first
  boost::asio::steady_timer sweep_timer_;
  bool sweep_scheduled_ = false;  // sweep_timer_ is set
};

}  // namespace delivery
