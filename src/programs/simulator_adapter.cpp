// The program between the simulator and the decision module: reads one batch of events as a line of JSON from
// standard input and answers with one line of commands, until the input ends. It keeps many isolated senders
// and decides nothing.
//
// Exit code: 0 at the end of the input, 2 after a line that can't be read (named on standard error).
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

// One simulated sender: its decision module, and its events of the batch that is being read.
struct SimulatedSender {
  SimulatedSender(SimulatedSenderId id, const SenderStart& start)
      : scheduler(start.settings, start.seed), load_report_columns(start.load_report_columns), commands(id) {}

  DeliveryScheduler scheduler;
  const LoadReportColumns load_report_columns;
  SimulatorCommandWriter commands;
  std::vector<Event> events;
};

class SimulatorAdapter {
 public:
  // Takes a batch of events and returns the commands of all senders that have events in it. Throws
  // InvalidInput.
  std::string processBatch(const std::string& line) {
    const json batch = json::parse(line, nullptr, false);
    if (batch.is_discarded()) {
      throw InvalidInput(InputProblem::malformed, "", "not JSON");
    }
    if (!batch.is_object()) {
      throw InvalidInput(InputProblem::wrong_type, "", "not an object");
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
      throw InvalidInput(InputProblem::wrong_type, "", "an event is an object of one key");
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
      throw InvalidInput(InputProblem::wrong_type, "", "not an object");
    }
    if (name == "Roster") {
      EndpointSheet sheet = parseRoster(fields);
      endpoint_sheets_[sheet.number] = std::move(sheet.endpoints);
      return;
    }
    const SimulatedSenderId id = readInteger(fields, "Who");
    if (name == "Attach") {
      startSender(id, parseAttach(fields));
      return;
    }
    const auto it = senders_.find(id);
    if (it == senders_.end()) {
      throw InvalidInput(InputProblem::unknown_value, "Who",
                         "instance never attached: " + std::to_string(id));
    }
    if (name == "PowerOff") {
      senders_.erase(it);
      return;
    }
    if (std::find(senders_in_batch_.begin(), senders_in_batch_.end(), id) == senders_in_batch_.end()) {
      senders_in_batch_.push_back(id);
    }
    SimulatedSender& sender = it->second;
    if (auto event = toModuleEvent(name, fields, sender.load_report_columns)) {
      sender.events.push_back(std::move(*event));
    }
  }

  // Attaching a sender that runs already is a restart of it.
  void startSender(SimulatedSenderId id, const SenderStart& start) {
    senders_.erase(id);
    senders_.try_emplace(id, id, start);
  }

  // None for an event that does not matter to the module.
  std::optional<Event> toModuleEvent(const std::string& name, const json& fields,
                                     const LoadReportColumns& columns) const {
    if (name == "Members") {
      return toEndpointsChanged(parseMembers(fields));
    }
    if (name == "Call") {
      return parseCall(fields);
    }
    if (name == "TimeoutFired") {
      return parseTimeoutFired(fields);
    }
    if (name == "Left") {
      return parseLeft(fields);
    }
    if (name == "Reply") {
      return parseReply(fields, columns);
    }
    if (name == "CheckResult") {
      checkCheckResult(fields);
    } else if (name == "Established") {
      checkEstablished(fields);
    } else if (name != "Whisper") {
      throw InvalidInput(InputProblem::unknown_value, "", "unknown event");
    }
    return std::nullopt;
  }

  EndpointsChanged toEndpointsChanged(const MembershipChange& change) const {
    if (!change.sheet_number) {
      return {change.kind, {}};
    }
    const auto sheet = endpoint_sheets_.find(*change.sheet_number);
    if (sheet == endpoint_sheets_.end()) {
      throw InvalidInput(InputProblem::unknown_value, "Sheet",
                         "list number never given: " + std::to_string(*change.sheet_number));
    }
    return {change.kind, sheet->second};
  }

  // The commands of all senders of the batch, and after them the faults.
  json decide(Micros now) {
    json commands = json::array();
    json faults = json::array();
    for (const SimulatedSenderId id : senders_in_batch_) {
      const auto it = senders_.find(id);
      if (it == senders_.end()) {  // powered off later in the batch
        continue;
      }
      try {
        decide(it->second, now, commands);
      } catch (const std::exception& error) {
        faults.push_back(fatalCommand(id, error.what()));
      }
    }
    commands.insert(commands.end(), faults.begin(), faults.end());
    return commands;
  }

  static void decide(SimulatedSender& sender, Micros now, json& commands) {
    std::vector<Event> events;
    events.swap(sender.events);
    if (events.empty()) {
      return;
    }
    for (const Action& action : sender.scheduler.decide(now, events)) {
      if (auto command = sender.commands.write(action)) {
        commands.push_back(std::move(*command));
      }
    }
  }

  std::map<SimulatedSenderId, SimulatedSender> senders_;
  std::map<std::int64_t, std::vector<EndpointInfo>> endpoint_sheets_;  // by their number
  std::vector<SimulatedSenderId> senders_in_batch_;                    // in the order of their first event
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
