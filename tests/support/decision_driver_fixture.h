// A decision driver in the test's own process, with a journal on a simulated disk, one endpoint "e1" of
// destination 7 and a discovery server.
#pragma once

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <string>

#include "network/connection_admission.h"
#include "network/endpoint_pool.h"
#include "network/socket_address.h"
#include "process/decision_driver.h"
#include "protocol/settings_reader.h"
#include "storage/simulated_disk.h"
#include "support/sender_program.h"

namespace delivery {

// The disk and the servers outlive a driver, as they outlive a process.
struct DriverSurroundings {
  explicit DriverSurroundings(loopback::HttpServer::Handler respond) : endpoint(std::move(respond)) {}

  void failWrites() {
    disk.fail_errno = ENOSPC;
    disk.fail_count = 1'000'000'000;
  }
  void repairWrites() { disk.fail_errno = 0; }

  SimulatedDisk disk;
  loopback::HttpServer endpoint;
  loopback::DiscoveryServer discovery;
};

class DriverProcess {
 public:
  static constexpr std::uint64_t kDiskBytes = 3'000'000;

  // Remembers the messages of the classes that are not idempotent.
  static Journal::Options journalOptions() {
    Journal::Options options;
    options.disk_budget_bytes = kDiskBytes;
    options.completed_messages = {{{"order", 28'000'000}, {"payment", 28'000'000}}, 1000, kDiskBytes / 4};
    return options;
  }

  explicit DriverProcess(DriverSurroundings& surroundings, const json& settings = loopback::testSettings(),
                         const Journal::Options& options = journalOptions())
      : settings_(readSettings(settings)),
        journal_("d", options, readClocks(), surroundings.disk),
        connections_(computeDescriptorBudget({1024, 192'000'000, settings_.call_slots}, false)),
        endpoints_(io_, {1'000'000, 5'000'000}, connections_.endpoints,
                   [this](AttemptOutcome outcome) { driver_.onOutcome(std::move(outcome)); }),
        notifier_(io_, parseAddress(surroundings.discovery.address()), surroundings.discovery.address(),
                  [this](const std::string& id) { driver_.onNoticeAcknowledged(id); }),
        driver_(io_, settings_, 1, journal_, endpoints_, notifier_, [](const CallId&) {}) {
    const json list{{"index", 1},
                    {"snapshot", true},
                    {"endpoints", {loopback::endpointEntry("e1", surroundings.endpoint.address(), 7)}}};
    driver_.recover(list.dump(), {}, monotonicNow(), false);
  }

  // Runs the event loop until the condition is true. Returns false if it is not within the limit.
  bool runUntil(const std::function<bool()>& condition) {
    const auto deadline = std::chrono::steady_clock::now() + loopback::kWaitLimit;
    while (!condition()) {
      if (std::chrono::steady_clock::now() > deadline) {
        return false;
      }
      io_.restart();
      io_.run_one_for(std::chrono::milliseconds(5));
    }
    return true;
  }

  // Submits a message for destination 7 and returns the status of the reply.
  SubmitStatus submit(const std::string& id, const std::string& message_class,
                      Micros time_to_live = 28'000'000, const std::string& body = "body") {
    SubmittedMessage message;
    message.id = id;
    message.message_class = message_class;
    message.idempotency_key = "k" + id;
    message.body = body;
    message.destination = 7;
    message.time_to_live = time_to_live;
    message.deadline = Deadline::after(monotonicNow(), time_to_live);
    std::optional<SubmitStatus> status;
    driver_.submit(std::move(message), [&](const SubmitReply& reply) { status = reply.status; });
    EXPECT_TRUE(runUntil([&] { return status.has_value(); })) << id;
    return status.value_or(SubmitStatus::failed);
  }

  DecisionDriver& driver() { return driver_; }
  Journal& journal() { return journal_; }

 private:
  boost::asio::io_context io_;
  Settings settings_;
  Journal journal_;
  ConnectionAdmission connections_;
  EndpointPool endpoints_;
  CompletionNotifier notifier_;
  DecisionDriver driver_;
};

}  // namespace delivery
