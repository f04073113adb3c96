// Drives the decision module: passes it events in turns and carries out the actions that it returns. What an
// action promises is in the journal before the action is done. No policy of its own; the rules are the
// module's (src/decision).
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "common/call_id.h"
#include "decision/scheduler.h"
#include "network/client_server.h"
#include "network/completion_notifier.h"
#include "network/endpoint_pool.h"
#include "protocol/endpoint_list.h"
#include "protocol/submit_reply.h"
#include "storage/journal.h"

namespace delivery {

// Owns the messages that were submitted and not completed, and the endpoint list. All calls come from the
// event loop's thread. The journal, the pool and the notifier must outlive it.
class DecisionDriver {
 public:
  // Cancels a call that is in flight from another process of this sender.
  using CancelElsewhere = std::function<void(const CallId&)>;

  DecisionDriver(boost::asio::io_context& io, Settings settings, std::uint64_t seed, Journal& journal,
                 EndpointPool& endpoints, CompletionNotifier& notifier, CancelElsewhere cancel_elsewhere);

  // Restores what the journal and the configuration know; to be called once, before clients are served.
  // `calls_in_flight`: calls of this process or another one in flight; onOutcome() follows for each,
  // and the module sees those that are reported right after recover() in the same turn as the recovered
  // messages. `started_at`: when reading the journal began, for the log. `after_handover`: the process before
  // handed over in order, so the pauses (Retry-After) that its endpoints asked for still hold; a restart ends
  // them.
  void recover(const json& configured_endpoints, const std::set<CallId>& calls_in_flight, Micros started_at,
               bool after_handover);

  // Decides on the events so far, writes the journal and closes it. Another driver decides from then on:
  // later events are ignored.
  void stepDown();

  // Applies discovery's answer and returns the index from which to watch on. Throws InvalidInput when the
  // answer can't be read; then nothing has changed.
  std::int64_t onEndpointList(const json& answer);
  std::int64_t endpointListIndex() const { return endpoint_list_.index(); }
  bool hasEndpointList() const { return !known_destinations_.empty(); }

  // Calls `reply` once: at once if the message needs no decision, else when the module has decided.
  void submit(SubmittedMessage message, ClientServer::ReplyCallback reply);
  void onOutcome(AttemptOutcome outcome);
  void onNoticeAcknowledged(const std::string& message_id);
  void scheduleShutdown(Micros at);  // on the monotonic clock

  bool idle() const { return events_.empty() && pending_messages_.empty(); }

 private:
  struct PendingMessage {  // submitted and not completed
    SubmittedMessage message;
    std::vector<std::string> attempt_endpoints;  // by attempt number
    ClientServer::ReplyCallback reply;           // empty once the client has its answer
  };
  // The number of each attempt that the journal has recorded. An action whose message is no longer pending
  // has none.
  using AttemptNumbers = std::map<const SendAttempt*, int>;

  void recoverEndpointList(const json& configured_endpoints, const std::string& journaled_list);
  void recoverHealth(const std::vector<HealthRecord>& records, bool after_handover);
  void recoverMessage(const JournaledMessage& entry, const std::set<CallId>& calls_in_flight,
                      bool after_handover);
  void addUnlistedEndpoint(const std::string& endpoint, std::int64_t destination);

  void applyEndpointUpdate(const EndpointListUpdate& update);
  void withdrawUnlistedEndpoints();
  void updateEndpoint(const ListedEndpoint& listed);
  bool hasIndependentRoutes(const std::string& destination_kind) const;

  std::optional<SubmitReply> replyWithoutDecision(const SubmittedMessage& message) const;
  void recordOutcome(const AttemptOutcome& outcome);

  // Constructs the event in place: GCC 12 takes a moved temporary variant for one that is uninitialized.
  template <class EventType>
  void addEvent(EventType event) {
    if (stepped_down_) {
      return;
    }
    events_.emplace_back(std::in_place_type<EventType>, std::move(event));
    if (!turn_scheduled_) {
      scheduleTurn();
    }
  }
  void scheduleTurn();
  void runTurn();

  void carryOut(const std::vector<Action>& actions);
  void endMessagesAndRecordHealth(const std::vector<Action>& actions);
  void endMessage(const std::string& id, const SubmitReply& reply, const CompletionNotice& notice);
  void recordAcceptedMessages();
  AttemptNumbers recordAttempts(const std::vector<Action>& actions);
  void acknowledgeAcceptedMessages(bool persisted);
  void useNetworkAndTimers(const std::vector<Action>& actions, const AttemptNumbers& attempts,
                           bool persisted);
  void startAttempt(const SendAttempt& send, int attempt, bool persisted);
  void cancelAttempt(const CancelAttempt& cancel);

  void armWakeupTimer();
  void onWakeupTimer();

  boost::asio::io_context& io_;
  const Settings settings_;
  DeliveryScheduler scheduler_;
  Journal& journal_;
  EndpointPool& endpoints_;
  CompletionNotifier& notifier_;
  CancelElsewhere cancel_elsewhere_;
  EndpointList endpoint_list_;
  std::set<std::int64_t> known_destinations_;               // those ever listed
  std::map<std::string, PendingMessage> pending_messages_;  // by message id
  std::set<std::string> new_message_ids_;                   // submitted since the last turn
  std::vector<Event> events_;                               // for the next turn
  std::multiset<Micros> wakeup_times_;                      // that the module asked for, monotonic
  boost::asio::steady_timer turn_timer_;
  boost::asio::steady_timer wakeup_timer_;
  Micros last_turn_ = INT64_MIN / 4;
  bool turn_scheduled_ = false;
  bool stepped_down_ = false;
};

}  // namespace delivery
