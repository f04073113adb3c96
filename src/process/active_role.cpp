#include "process/active_role.h"

#include "common/log.h"
#include "network/listener.h"
#include "network/socket_address.h"

namespace delivery {

namespace asio = boost::asio;

namespace {

// Messages that have ended are remembered in up to 1/32 of the memory and 1/4 of the disk budget.
constexpr std::int64_t kCompletedMessagesMemoryDivisor = 32;
constexpr std::int64_t kMemoryPerCompletedMessage = 208;  // bytes, with an id of 16 bytes
constexpr std::uint64_t kCompletedMessagesDiskDivisor = 4;

// Listens on the socket that the platform holds open and passes to the process, so that no connection is
// refused during an upgrade. If no socket was passed or it can't be used, listens at the configured address.
tcp::acceptor listenForClients(asio::io_context& io, const Configuration& configuration) {
  if (configuration.passed_socket) {
    try {
      return listenOnInherited(io, *configuration.passed_socket);
    } catch (const boost::system::system_error& error) {
      logWarning("process", "passed_socket_unusable")
          .field("reason", error.what())
          .field("listening_at", configuration.listen);
    }
  }
  return listenAt(io, parseAddress(configuration.listen));
}

DiscoveryClient createDiscoveryClient(asio::io_context& io, const Configuration& configuration,
                                      const ClientAdmission& admission) {
  return DiscoveryClient(io, parseAddress(configuration.discovery), configuration.discovery,
                         admission.budget().max_endpoint_list_bytes);
}

// Idempotent messages may run again, so they need not be remembered.
CompletedMessageLimits completedMessageLimits(const Configuration& configuration) {
  CompletedMessageLimits limits;
  for (const MessageClass& message_class : configuration.settings.classes) {
    if (message_class.idempotency != Idempotency::idempotent) {
      limits.class_deadlines[message_class.name] = message_class.deadline;
    }
  }
  limits.max_count = static_cast<std::size_t>(configuration.memory_bytes / kMemoryPerCompletedMessage /
                                              kCompletedMessagesMemoryDivisor);
  limits.max_bytes = configuration.disk_bytes / kCompletedMessagesDiskDivisor;
  return limits;
}

Journal::Options journalOptions(const Configuration& configuration) {
  Journal::Options options;
  options.disk_budget_bytes = configuration.disk_bytes;
  options.durable = configuration.durable;
  options.message_records.max_attempts = configuration.settings.max_attempts;
  options.completed_messages = completedMessageLimits(configuration);
  return options;
}

}  // namespace

ActiveRole::ActiveRole(asio::io_context& io, const Configuration& configuration, EndpointPool& endpoints,
                       ClientAdmission& admission, const RecoveryOptions& recovery, Callbacks callbacks)
    : recovery_started_at_(monotonicNow()),
      journal_(configuration.state_folder, journalOptions(configuration)),
      notifier_(io, parseAddress(configuration.discovery), configuration.discovery,
                [this](const std::string& message_id) { driver_.onNoticeAcknowledged(message_id); }),
      driver_(io, configuration.settings, configuration.seed, journal_, endpoints, notifier_,
              std::move(callbacks.cancel_in_other_process)),
      endpoint_watch_(createDiscoveryClient(io, configuration, admission), configuration.seed,
                      admission.budget().max_endpoint_list_values,
                      [this](const json& answer) { return driver_.onEndpointList(answer); }),
      clients_(io, listenForClients(io, configuration), admission,
               [this](SubmittedMessage message, ClientServer::ReplyCallback reply) {
                 driver_.submit(std::move(message), std::move(reply));
               }),
      handover_listener_(io, configuration.scratch_folder, std::move(callbacks.on_successor)) {
  driver_.recover(configuration.known_endpoints, recovery.calls_in_flight, recovery_started_at_,
                  recovery.keep_retry_after);
  endpoint_watch_.start(driver_.endpointListIndex());
}

void ActiveRole::stepDown() {
  handover_listener_.close();
  clients_.stop();
  driver_.stepDown();
  endpoint_watch_.stop();
  notifier_.stop();
}

void ActiveRole::changeDiscovery(const tcp::endpoint& server, const std::string& host) {
  endpoint_watch_.changeServer(server, host);
  notifier_.changeServer(server, host);
}

bool ActiveRole::idle() const {
  return !hasUnansweredRequests() && !hasClosingClients() && notifier_.pendingCount() == 0 && driver_.idle();
}

}  // namespace delivery
