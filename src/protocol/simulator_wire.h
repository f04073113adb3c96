// The simulator's wire: its events and commands as JSON, and what they are for the decision module. The names
// on the wire are the simulator's. Translation only: no state but the numbering of timers.
//
// Parsing throws InvalidInput naming the field.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "common/actions.h"
#include "common/events.h"
#include "common/settings.h"
#include "protocol/json_fields.h"

namespace delivery {

using SimulatedSenderId = std::int64_t;  // "Who": one of the senders that share the adapter's process

// Where the values of a load report stand in "Gauge".
struct LoadReportColumns {
  static constexpr int kAbsent = -1;
  int remaining_share = kAbsent;   // named "x0"
  int limit_per_second = kAbsent;  // named "x1"
};

// "Attach": a sender starts.
struct SenderStart {
  std::uint64_t seed = 0;
  LoadReportColumns load_report_columns;
  Settings settings;
};
SenderStart parseAttach(const json& fields);

// "Roster": a numbered endpoint list, which "Members" events refer to.
struct EndpointSheet {
  std::int64_t number = 0;
  std::vector<EndpointInfo> endpoints;
};
EndpointSheet parseRoster(const json& fields);

// "Members": a change of the endpoint list of one sender.
struct MembershipChange {
  EndpointUpdateKind kind = EndpointUpdateKind::full;
  std::optional<std::int64_t> sheet_number;  // of the EndpointSheet; none if asking for the list failed
};
MembershipChange parseMembers(const json& fields);

Arrival parseCall(const json& fields);             // "Call": a message is submitted
Abandoned parseLeft(const json& fields);           // "Left": nobody waits for a message any more
TimerFired parseTimeoutFired(const json& fields);  // "TimeoutFired"
AttemptOutcome parseReply(const json& fields,
                          const LoadReportColumns& columns);  // "Reply": an attempt has ended

// Events that the decision module has no use for; they are checked like the others.
void checkCheckResult(const json& fields);  // "CheckResult": the module makes no health checks
void checkEstablished(const json& fields);  // "Established": no message class has streamed answers

// Writes the commands of one sender.
class SimulatorCommandWriter {
 public:
  explicit SimulatorCommandWriter(SimulatedSenderId sender) : sender_(sender) {}

  // None for an action that the simulator does not need.
  std::optional<json> write(const Action& action);

 private:
  SimulatedSenderId sender_;
  std::int64_t last_timer_label_ = 0;
};

// "Fatal": a fault in the decision module of a sender.
json fatalCommand(SimulatedSenderId sender, const std::string& error);

}  // namespace delivery
