// The message sender: reads its configuration, runs one SenderProcess and handles signals.
//
// SIGTERM and SIGINT stop it gracefully. SIGHUP reloads the configuration file. Exit code: 0 after a stop or
// a handover, 2 if it can't start or continue.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "common/log.h"
#include "process/configuration.h"
#include "process/sender_process.h"

using delivery::ConfigurationFile;
using delivery::ConfigurationFileMonitor;
using delivery::SenderProcess;

namespace {

constexpr int kExitFailure = 2;

// Reloads the configuration file and applies its discovery address first and its limits second. An invalid
// value is logged and not applied, and neither are the values after it.
void reloadConfiguration(SenderProcess& process) {
  try {
    const ConfigurationFile file = ConfigurationFile::load();
    const std::string discovery = file.discovery();
    if (discovery != process.discovery()) {
      process.changeDiscovery(discovery);
      delivery::logInfo("configuration", "discovery_changed").field("address", discovery);
    }
    process.changeLimits(file.sockets(), file.memoryBytes());
  } catch (const std::exception& error) {
    delivery::logError("configuration", "reload_failed").field("reason", error.what());
  }
}

void waitForReloadSignal(boost::asio::signal_set& signals, SenderProcess& process) {
  signals.async_wait([&signals, &process](const boost::system::error_code& error, int /*signal*/) {
    if (error) {
      return;
    }
    waitForReloadSignal(signals, process);
    reloadConfiguration(process);
  });
}

void run() {
  boost::asio::io_context io(1);
  ConfigurationFileMonitor monitor;
  monitor.hasChanged();  // before the file is read, so that a later change is noticed
  SenderProcess* running = nullptr;
  SenderProcess process(io, ConfigurationFile::load().configuration(),
                        {[&io] { io.stop(); },
                         [&] {
                           if (running != nullptr && monitor.hasChanged()) {
                             reloadConfiguration(*running);
                           }
                         }});
  running = &process;
  boost::asio::signal_set stop_signals(io, SIGTERM, SIGINT);
  stop_signals.async_wait([&process](const boost::system::error_code& error, int /*signal*/) {
    if (!error) {
      process.stop();
    }
  });
  boost::asio::signal_set reload_signals(io, SIGHUP);
  waitForReloadSignal(reload_signals, process);
  io.run();
}

}  // namespace

int main() {
  try {
    run();
  } catch (const std::exception& error) {
    delivery::logError("process", "failed").field("reason", error.what());
    return kExitFailure;
  }
  return 0;
}
