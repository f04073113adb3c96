// The open connections to endpoints that no call uses. Each is kept for a later call until its endpoint would
// close it or sends data without a request, and at most as many as the accounting allows.
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
#include "network/quiet_time_policy.h"

namespace delivery {

class IdleConnections {
 public:
  // `idle_timeout`: the time after which endpoints close an idle connection, in microseconds; 0: they do not.
  IdleConnections(boost::asio::io_context& io, Micros idle_timeout, EndpointConnectionAccounting& accounting);

  // Returns a connection to the endpoint for a call: the most recently used one that has been quiet, or else
  // the one that will be first. Returns nullptr if there is none, or none will be quiet before `deadline`.
  std::unique_ptr<HttpConnection> take(const std::string& endpoint, Deadline deadline);
  // Keeps the connection, which a call to the endpoint has used. Closes an idle connection to another
  // endpoint if that makes room. Returns false and leaves `connection` alone if it is closed or there is no
  // room.
  bool keep(const std::string& endpoint, std::unique_ptr<HttpConnection>& connection);

  // These close the idle connections to the endpoint, the one of them that is idle for longest, those to
  // all endpoints, or as many as exceed the accounting's budget.
  void close(const std::string& endpoint);
  void closeOldest(const std::string& endpoint);
  void closeAll();
  void closeExcess();

  // How long a connection to the endpoint must have been quiet before a request is written, in microseconds.
  Micros quietTime(const std::string& endpoint) const;
  // Logs and counts that the endpoint sent data without a request, `gap` microseconds after its last
  // response. To be called for connections in use; idle ones are watched.
  void onUnsolicitedData(const std::string& endpoint, Micros gap);

 private:
  struct IdleConnection {
    std::unique_ptr<HttpConnection> connection;
    Micros idle_since = 0;
  };

  bool makeRoomFor(const std::string& endpoint);
  void onIdleEnd(const std::string& endpoint, const HttpConnection* connection,
                 const HttpConnection::IdleEnd& end);
  void scheduleSweep();
  void closeExpired(Micros now);
  std::optional<Micros> nextExpiry() const;
  Micros maxIdleTime() const;

  const Micros idle_timeout_;
  EndpointConnectionAccounting& accounting_;
  QuietTimePolicy quiet_times_;
  std::map<std::string, std::deque<IdleConnection>> connections_;  // by endpoint, oldest first
  boost::asio::steady_timer sweep_timer_;
  bool sweep_scheduled_ = false;  // sweep_timer_ is set
};

}  // namespace delivery
