#include "process/active_role.h"

#include "common/log.h"
#include "network/listener.h"
#include "network/socket_address.h"

namespace delivery {

namespace asio = boost::asio;

namespace {

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

Journal::Options journalOptions(const Configuration& configuration) {
  Journal::Options options;
  options.disk_budget_bytes = configuration.disk_bytes;
  options.durable = configuration.durable;
  options.message_records.max_attempts = configuration.settings.max_attempts;
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
