// Runs the decision module: passes it the events that have arrived, one batch for each decision round, and
// executes the actions that it returns. An action that promises something to a client or sends a message is
// recorded in the journal before it is executed. The driver has no policy of its own; the rules are in
// src/decision.
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
#include "process/unrecorded_notices.h"
#include "protocol/endpoint_list.h"
#include "protocol/submit_reply.h"
#include "storage/journal.h"

namespace delivery {

// Owns the endpoint list and the messages that were submitted and are not completed. All member functions
// must be called on the event loop's thread. The journal, the pool and the notifier must outlive the driver.
class DecisionDriver {
 public:
  // Cancels a call that is in flight in another process of this sender.
  using CancelInOtherProcess = std::function<void(const CallId&)>;

  DecisionDriver(boost::asio::io_context& io, Settings settings, std::uint64_t seed, Journal& journal,
                 EndpointPool& endpoints, CompletionNotifier& notifier,
                 CancelInOtherProcess cancel_in_other_process);

  // Restores the state from the journal and the configuration. To be called once, before clients are served.
  //
  // `calls_in_flight`: the calls of this process or another one whose outcomes are still to be reported with
  // onOutcome(). Outcomes that are reported right after recover() reach the decision module in the same round
  // as the recovered messages.
  // `started_at`: the time on the monotonic clock at which reading the journal began, for the log.
  // `after_handover`: the predecessor handed over in an orderly way, so the pauses (Retry-After) that its
  // endpoints asked for still apply. A restart ends them.
  // `configured_endpoints`: the endpoint list of the configuration as JSON text; empty if there is none.
  void recover(const std::string& configured_endpoints, const std::set<CallId>& calls_in_flight,
               Micros started_at, bool after_handover);

  // Runs a last round if events are queued, then flushes and closes the journal. Another driver decides from
  // then on, and this one ignores later events.
  void stepDown();

  // Applies discovery's answer and returns the index from which to continue watching. Throws InvalidInput and
  // changes nothing if the answer can't be read.
  std::int64_t onEndpointList(const json& answer);
  std::int64_t endpointListIndex() const { return endpoint_list_.index(); }
  bool hasEndpointList() const { return !known_destinations_.empty(); }

  // Submits a message. `reply` is called once: before submit() returns if the message needs no decision,
  // otherwise after the decision module has decided.
  void submit(SubmittedMessage message, ClientServer::ReplyCallback reply);
  void onOutcome(AttemptOutcome outcome);
  void onNoticeAcknowledged(const std::string& message_id);
  // Announces that the process ends at `at`, a point on the monotonic clock.
  void scheduleShutdown(Micros at);

  // True if no event is queued, no message is pending and no notice waits for its record.
  bool idle() const { return events_.empty() && pending_messages_.empty() && unrecorded_notices_.empty(); }

 private:
  // The value of last_round_at_ before the first round: far in the past, but no sum or difference with a span
  // or a point in time overflows.
  static constexpr Micros kNoRoundYet = INT64_MIN / 4;

  // A message that was submitted and is not completed.
  struct PendingMessage {
    SubmittedMessage message;
    std::vector<std::string> attempt_endpoints;  // the endpoint of each attempt, by attempt number
    ClientServer::ReplyCallback reply;           // empty once the client has been answered
  };
  // The attempt number of each SendAttempt action that was recorded in the journal. Actions for messages that
  // are no longer pending are not recorded and have no entry.
  using AttemptNumbers = std::map<const SendAttempt*, int>;

  void recoverEndpointList(const std::string& configured_list, const std::string& journaled_list);
  void recoverHealth(const std::vector<HealthRecord>& records, bool after_handover);
  void recoverMessage(const JournaledMessage& entry, const std::set<CallId>& calls_in_flight,
                      bool after_handover);
  void abandonUndeliverable(const SubmittedMessage& message);
  void addUnlistedEndpoint(const std::string& endpoint, std::int64_t destination);

  void applyEndpointUpdate(const EndpointListUpdate& update);
  void withdrawUnlistedEndpoints();
  void updateEndpoint(const ListedEndpoint& listed);
  bool hasIndependentRoutes(const std::string& destination_kind) const;

  std::optional<SubmitReply> replyWithoutDecision(const SubmittedMessage& message) const;
  SubmitReply replyAfter(MessageEnd end) const;
  void recordOutcome(const AttemptOutcome& outcome);

  // Queues an event for the next round. The event is constructed in place because GCC 12 reports a moved
  // temporary variant as uninitialized.
  template <class EventType>
  void addEvent(EventType event) {
    if (stepped_down_) {
      return;
    }
    events_.emplace_back(std::in_place_type<EventType>, std::move(event));
    if (!round_scheduled_) {
      scheduleRound();
    }
  }
  void scheduleRound();
  void runRound();

  void executeActions(const std::vector<Action>& actions);
  bool flushJournal();
  void sendNotices(bool recorded);
  void retryFlushLater();
  void endMessagesAndRecordHealth(const std::vector<Action>& actions);
  void endMessage(const std::string& id, const SubmitReply& reply, const CompletionNotice& notice);
  void recordAcceptedMessages();
  AttemptNumbers recordAttempts(const std::vector<Action>& actions);
  void acknowledgeAcceptedMessages(bool persisted);
  void executeNetworkAndTimerActions(const std::vector<Action>& actions,
                                     const AttemptNumbers& attempt_numbers, bool persisted);
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
  CancelInOtherProcess cancel_in_other_process_;
  EndpointList endpoint_list_;
  std::set<std::int64_t> known_destinations_;               // every destination that was ever listed
  std::map<std::string, PendingMessage> pending_messages_;  // by message id
  std::set<std::string> new_message_ids_;                   // messages submitted since the last round
  std::vector<Event> events_;                               // queued for the next round
  std::multiset<Micros> wakeup_times_;  // requested by the decision module, on the monotonic clock
  boost::asio::steady_timer round_timer_;
  boost::asio::steady_timer wakeup_timer_;
  boost::asio::steady_timer flush_retry_timer_;
  UnrecordedNotices unrecorded_notices_;
  Micros last_round_at_ = kNoRoundYet;  // on the monotonic clock
  bool round_scheduled_ = false;
  bool stepped_down_ = false;
  bool journal_is_writable_ = true;      // the latest flush succeeded
  bool lacks_optional_records_ = false;  // as logged
};

}  // namespace delivery
