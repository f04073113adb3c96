// The host of the decision module: hands it events in turns, carries out its actions, and has the
// journal written before what it promises. It owns no policy.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "network/client_server.h"
#include "network/discovery_client.h"
#include "network/endpoint_pool.h"
#include "storage/journal.h"

namespace delivery {

class DecisionDriver {
 public:
  using CancelElsewhere = std::function<void(const CallId&)>;  // a call that another process has out
  DecisionDriver(boost::asio::io_context& io, Settings settings, std::uint64_t seed, Journal& journal,
                 EndpointPool& endpoints, CompletionNotifier& notices, CancelElsewhere cancel_elsewhere);

  // Takes over what the journal and the configuration know: before clients are served. `out`: calls that are
  // still out, here or from another process; each gets its outcome(). `began`: when reading the journal did.
  // `waits_hold`: waits told before do; a restart ends them. Outcomes that are handed in at once after this
  // are heard in the same turn.
  void recover(const json& known, const std::set<CallId>& out, Micros began, bool waits_hold);
  void stepDown();  // decides what is pending and writes it down; from then on another host decides
  std::int64_t onEndpointList(const json& answer);  // discovery's answer; gives the version to go on from
  std::int64_t endpointListIndex() const { return list_.index(); }
  void submit(AcceptedMessage message, ClientServer::Reply reply);
  void onOutcome(AttemptOutcome o);
  void onNoticeAcknowledged(const std::string& id);  // a notice was answered
  void scheduleShutdown(Micros at);                  // the process ends then, on the monotonic clock
  bool hasEndpointList() const { return !destinations_.empty(); }
  bool idle() const { return events_.empty() && held_.empty(); }

 private:
  struct Held {  // taken on and not over
    AcceptedMessage message;
    std::vector<std::string> attempts;  // the endpoint of each
    ClientServer::Reply reply;          // not answered yet
  };
  void add(Event e);
  void turn();
  void carryOut(const std::vector<Action>& actions);
  void end(const std::string& id, bool handed_back, Micros pause);
  void wake();
  void takeList(const EndpointList::EndpointListUpdate& news);

  boost::asio::io_context& io_;
  Settings settings_;
  DeliveryScheduler sender_;
  Journal& journal_;
  EndpointPool& endpoints_;
  CompletionNotifier& notices_;
  CancelElsewhere cancel_elsewhere_;
  EndpointList list_;
  std::map<std::string, Held> held_;
  std::set<std::string> fresh_;  // arrived since the last turn
  std::set<std::int64_t> destinations_;
  std::vector<Event> events_;
  std::multiset<Micros> wakes_;
  boost::asio::steady_timer turn_timer_, wake_timer_;
  Micros last_turn_ = INT64_MIN / 4;
  bool turn_due_ = false, retired_ = false;
};

}  // namespace delivery
