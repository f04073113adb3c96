// One process of a sender, from start to end: it waits for the journal, serves, and hands over to
// the process that replaces it. Wires the parts together; decides nothing about messages.
//
// Lines over the link, from the process that owned the journal: {"release":[[id,attempt],...]}, the calls it
// still has out, the lock being free; {"outcome":{...}} for each as it ends. From the next: {"serving":true},
// {"cancel":[id,attempt]}, and {"held":endpoint} for a drain or {"held":endpoint,"destination":7} for a wait
// that it was told: what the older one has not written yet heeds them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "network/control_server.h"
#include "process/decision_driver.h"
#include "process/handover.h"

namespace delivery {

struct Config {
  std::string listen, discovery;
  std::string state, scratch;  // the folder that lasts, and the one that both processes see
  std::string control;         // empty where operators have no address
  int passed_socket = -1;      // the clients' listening socket, where the platform holds it
  std::uint64_t seed = 0, disk_bytes = 0;
  std::int64_t sockets = 0, memory_bytes = 0;
  bool durable = false;  // what is taken on outlasts the machine, too
  json known;
  Settings settings;
};

class SenderProcess {
 public:
  // `on_over`: this process has nothing left to do. Throws when the configuration can't be served.
  SenderProcess(boost::asio::io_context& io, Config config, std::function<void()> on_over);
  ~SenderProcess();
  SenderProcess(const SenderProcess&) = delete;
  SenderProcess& operator=(const SenderProcess&) = delete;

  void stop();                                       // SIGTERM: over once all is done, in 3.4 s at most
  void followDiscovery(const std::string& address);  // throws std::invalid_argument
  const std::string& discovery() const { return config_.discovery; }
  // New limits: throws InvalidInput when they can't hold what is set aside; then the old ones stay.
  void limit(std::int64_t sockets, std::int64_t memory_bytes);

 private:
  struct ActiveRole;
  using CallId = EndpointPool::CallId;

  void look();
  void waitForJournal();
  void own();
  bool done() const;
  std::string operate(const std::string& call);
  std::string notReady() const;  // why, or nothing
  void outcome(AttemptOutcome o);

  // As the older of two processes
  void yieldTo(std::shared_ptr<HandoverLink> newer);
  void release();
  void onNewerEnd();
  // As the newer of two
  void onOlderMessage(const json& message);
  void onOlderEnd();

  Budget budget() const;
  void changeBudget(const Budget& b);

  boost::asio::io_context& io_;
  Config config_;
  std::function<void()> on_over_;
  OwnershipLock lock_;
  Connections connections_;
  EndpointPool endpoints_;
  std::optional<ControlServer> control_;
  boost::asio::steady_timer look_timer_;
  std::unique_ptr<ActiveRole> serving_;               // while this process owns the journal
  std::vector<std::unique_ptr<ActiveRole>> retired_;  // what may still have a handler queued, until the end
  Micros stop_from_ = 0;
  Micros waiting_from_ = 0;  // for the journal
  bool operators_drain_ = false, looking_ = false, over_ = false;

  std::shared_ptr<HandoverLink> older_;
  bool older_released_ = false, replaces_ = false;  // replaces_: an older process served, or this one has
  std::set<CallId> elsewhere_;                      // calls that the older process has out
  std::vector<AttemptOutcome> early_;  // of those that ended before this process owned the journal

  std::shared_ptr<HandoverLink> newer_;
  bool newer_serves_ = false, handed_over_ = false;
  Micros yield_from_ = 0, released_at_ = 0;
  std::vector<AttemptOutcome> told_;  // to the newer process: if it dies, it may not have written them down
};

}  // namespace delivery
