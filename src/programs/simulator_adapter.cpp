// Connects the simulator to the decision module. Reads batches of events from standard input, one batch as
// JSON per line, and writes one line of commands to standard output for each batch, until the input ends. It
// hosts many isolated senders and makes no decisions of its own.
//
// Exit code: 0 at the end of the input; 2 after a line that can't be read, which is reported on standard
// error.
#include <algorithm>
#include <cstdint>
#include <exception>
#include <iostream>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "decision/scheduler.h"
#include "protocol/simulator_wire.h"

namespace delivery {
namespace {

constexpr int kExitInvalidInput = 2;

// One simulated sender: its decision module, and its events from the batch that is being processed.
struct SimulatedSender {
  SimulatedSender(SimulatedSenderId id, const SenderStart& start)
      : scheduler(start.settings, start.seed),
        load_report_columns(start.load_report_columns),
        command_writer(id) {}

  DeliveryScheduler scheduler;
  const LoadReportColumns load_report_columns;
  SimulatorCommandWriter command_writer;
  std::vector<Event> events;
};

class SimulatorAdapter {
 public:
  // Processes one batch of events and returns the commands of all senders that have events in it. Throws
  // InvalidInput.
  std::string processBatch(const std::string& line) {
    const json batch = json::parse(line, nullptr, false);
    if (batch.is_discarded()) {
      throw InvalidInput(InputProblem::malformed, "", "batch is not valid JSON");
    }
    if (!batch.is_object()) {
      throw InvalidInput(InputProblem::wrong_type, "", "batch is not a JSON object");
    }
    const Micros now = readMilliseconds(batch, "SimTimeMs");
    senders_in_batch_.clear();
    for (const json& event : readArray(batch, "arrivals")) {
      processEvent(event);
    }
    return json{{"cmds", decide(now)}}.dump();
  }

 private:
  void processEvent(const json& event) {
    if (!event.is_object() || event.size() != 1) {
      throw InvalidInput(InputProblem::wrong_type, "", "event is not a JSON object with exactly one key");
    }
    const std::string& name = event.begin().key();
    try {
      processEvent(name, event.begin().value());
    } catch (const InvalidInput& error) {
      throw InvalidInput(error.problem(), name + "." + error.field(), name + ": " + error.what());
    }
  }

  void processEvent(const std::string& name, const json& fields) {
    if (!fields.is_object()) {
      throw InvalidInput(InputProblem::wrong_type, "", "fields are not a JSON object");
    }
    if (name == "Roster") {
      NumberedEndpointList list = parseEndpointList(fields);
      endpoint_lists_[list.number] = std::move(list.endpoints);
      return;
    }
    const SimulatedSenderId id = readInteger(fields, "Who");
    if (name == "Attach") {
      startSender(id, parseSenderStart(fields));
      return;
    }
    const auto it = senders_.find(id);
    if (it == senders_.end()) {
      throw InvalidInput(InputProblem::unknown_value, "Who",
                         "sender was never attached: " + std::to_string(id));
    }
    if (name == "PowerOff") {
      senders_.erase(it);
      return;
    }
    if (std::find(senders_in_batch_.begin(), senders_in_batch_.end(), id) == senders_in_batch_.end()) {
      senders_in_batch_.push_back(id);
    }
    SimulatedSender& sender = it->second;
    if (auto event = toDecisionEvent(name, fields, sender.load_report_columns)) {
      sender.events.push_back(std::move(*event));
    }
  }

  // Starts a sender. A sender that is already running is restarted: its state is discarded.
  void startSender(SimulatedSenderId id, const SenderStart& start) {
    senders_.erase(id);
    senders_.try_emplace(id, id, start);
  }

  // Returns std::nullopt for an event that the decision module does not use.
  std::optional<Event> toDecisionEvent(const std::string& name, const json& fields,
                                       const LoadReportColumns& columns) const {
    if (name == "Members") {
      return toEndpointsChanged(parseListUpdate(fields));
    }
    if (name == "Call") {
      return parseArrival(fields);
    }
    if (name == "TimeoutFired") {
      return parseTimerFired(fields);
    }
    if (name == "Left") {
      return parseAbandoned(fields);
    }
    if (name == "Reply") {
      return parseAttemptOutcome(fields, columns);
    }
    if (name == "CheckResult") {
      validateHealthCheckResult(fields);
    } else if (name == "Established") {
      validateStreamEstablished(fields);
    } else if (name != "Whisper") {  // Whisper events are ignored
      throw InvalidInput(InputProblem::unknown_value, "", "unknown event");
    }
    return std::nullopt;
  }

  EndpointsChanged toEndpointsChanged(const NumberedListUpdate& update) const {
    if (!update.list_number) {
      return {update.kind, {}};
    }
    const auto list = endpoint_lists_.find(*update.list_number);
    if (list == endpoint_lists_.end()) {
      throw InvalidInput(InputProblem::unknown_value, "Sheet",
                         "endpoint list was never received: " + std::to_string(*update.list_number));
    }
    return {update.kind, list->second};
  }

  // Returns the commands of all senders that have events in the batch, followed by the Fatal commands of
  // those whose decision module threw an exception.
  json decide(Micros now) {
    json commands = json::array();
    json fatal_commands = json::array();
    for (const SimulatedSenderId id : senders_in_batch_) {
      const auto it = senders_.find(id);
      if (it == senders_.end()) {  // powered off by a later event of the batch
        continue;
      }
      try {
        decide(it->second, now, commands);
      } catch (const std::exception& error) {
        fatal_commands.push_back(fatalCommand(id, error.what()));
      }
    }
    commands.insert(commands.end(), fatal_commands.begin(), fatal_commands.end());
    return commands;
  }

  static void decide(SimulatedSender& sender, Micros now, json& commands) {
    std::vector<Event> events;
    events.swap(sender.events);
    if (events.empty()) {
      return;
    }
    for (const Action& action : sender.scheduler.decide(now, events)) {
      if (auto command = sender.command_writer.write(action)) {
        commands.push_back(std::move(*command));
      }
    }
  }

  std::map<SimulatedSenderId, SimulatedSender> senders_;
  std::map<std::int64_t, std::vector<EndpointInfo>> endpoint_lists_;  // by list number
  std::vector<SimulatedSenderId> senders_in_batch_;                   // in the order of their first events
};

int run() {
  SimulatorAdapter adapter;
  std::string line;
  for (std::int64_t line_number = 1; std::getline(std::cin, line); ++line_number) {
    try {
      std::cout << adapter.processBatch(line) << '\n' << std::flush;
    } catch (const std::exception& error) {
      std::cerr << "line " << line_number << ": " << error.what() << '\n';
      return kExitInvalidInput;
    }
  }
  return 0;
}

}  // namespace
}  // namespace delivery

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  return delivery::run();
}
