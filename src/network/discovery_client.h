// Discovery: the watch that brings the list of endpoints, and the notices that tell the platform
// how messages ended.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>

#include "network/http_connection.h"
#include "protocol/json_fields.h"
#include "storage/accepted_message.h"

namespace delivery {

struct ListedEndpoint {
  EndpointInfo endpoint;
  std::string address;
};

// The list as discovery last told it, in discovery's form.
class EndpointList {
 public:
  struct EndpointListUpdate {
    EndpointUpdateKind kind = EndpointUpdateKind::delta;
    std::vector<ListedEndpoint> endpoints;
  };
  EndpointListUpdate apply(
      const json& answer);  // throws InvalidInput when it can't be read; then nothing has changed
  json toJson() const;
  std::int64_t index() const { return index_; }
  bool empty() const { return entries_.empty(); }
  bool contains(const std::string& endpoint) const { return entries_.count(endpoint) > 0; }

 private:
  std::int64_t index_ = -1;
  std::map<std::string, json> entries_;
};

// The agent on this machine: one connection, made anew when the old one is no longer good.
class DiscoveryClient {
 public:
  DiscoveryClient(boost::asio::io_context& io, tcp::endpoint peer, std::string host);
  void ask(HttpRequest request, Micros limit, HttpConnection::Done done);
  void later(Micros pause, std::function<void()> then);  // drops the connection, goes on after the pause
  void moveTo(tcp::endpoint peer, std::string host);     // what is under way is called off and never answered
  void stop();                                           // the same, and nothing is asked any more

 private:
  boost::asio::io_context& io_;
  tcp::endpoint peer_;
  std::string host_;
  std::unique_ptr<HttpConnection> connection_;
  boost::asio::steady_timer timer_;
  bool stopped_ = false;
};

class EndpointWatch {
 public:
  using OnAnswer = std::function<std::int64_t(const json&)>;  // answers the version from which to go on
  EndpointWatch(DiscoveryClient agent, std::uint64_t seed, OnAnswer on_answer)
      : agent_(std::move(agent)), on_answer_(std::move(on_answer)), random_(seed) {}
  void start(std::int64_t from);
  void changeServer(tcp::endpoint peer, std::string host);  // asks there for the whole list, then watches
  void stop() { agent_.stop(); }

 private:
  void ask();
  void askLater();

  DiscoveryClient agent_;
  OnAnswer on_answer_;
  std::mt19937_64 random_;
  std::int64_t from_ = -1;
  int failures_ = 0;  // in a row
};

// Sends notices until each has been answered, however often that takes.
class CompletionNotifier {
 public:
  using OnTold = std::function<void(const std::string& id)>;
  CompletionNotifier(DiscoveryClient agent, OnTold on_told)
      : agent_(std::move(agent)), on_told_(std::move(on_told)) {}
  void enqueue(const std::string& id, const CompletionNotice& notice);
  void changeServer(tcp::endpoint peer, std::string host);
  void stop() { agent_.stop(); }
  std::size_t pending() const { return owed_.size(); }

 private:
  void send();

  DiscoveryClient agent_;
  OnTold on_told_;
  std::deque<std::pair<std::string, CompletionNotice>> owed_;
  std::size_t out_ = 0;    // the first so many are being told
  std::size_t most_ = 64;  // at once; one by one after a batch that could not be read
  bool waiting_ = false;
};

}  // namespace delivery
