// Translates between the JSON events and commands of the simulator and the events and actions of the decision
// module. The names in the JSON are the simulator's; the comments below give them in quotes. The only state
// is the number of the last timer.
//
// The parsing functions throw an InvalidInput that names the field.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "common/actions.h"
#include "common/events.h"
#include "common/settings.h"
#include "protocol/json_fields.h"

namespace delivery {

using SimulatedSenderId = std::int64_t;  // "Who": identifies one of the senders in the adapter's process

// The columns of the load report's values in the array "Gauge", counted from 0.
struct LoadReportColumns {
  static constexpr int kAbsent = -1;  // the array does not hold the value
  int remaining_share = kAbsent;      // the column called "x0" in "Options"
  int limit_per_second = kAbsent;     // the column called "x1" in "Options"
};

// Event "Attach": a sender starts.
struct SenderStart {
  std::uint64_t seed = 0;
  LoadReportColumns load_report_columns;
  Settings settings;
};
SenderStart parseSenderStart(const json& fields);

// Event "Roster": an endpoint list. "Members" events refer to it by its number.
struct NumberedEndpointList {
  std::int64_t number = 0;  // "Sheet"
  std::vector<EndpointInfo> endpoints;
};
NumberedEndpointList parseEndpointList(const json& fields);

// Event "Members": an update of the endpoint list of one sender.
struct NumberedListUpdate {
  EndpointUpdateKind kind = EndpointUpdateKind::full;
  // "Sheet": number of the NumberedEndpointList; std::nullopt if the request for the list failed.
  std::optional<std::int64_t> list_number;
};
NumberedListUpdate parseListUpdate(const json& fields);

// Event "Call": a client submits a message.
Arrival parseArrival(const json& fields);

// Event "Left": the client no longer waits for its message.
Abandoned parseAbandoned(const json& fields);

// Event "TimeoutFired": a timer has expired.
TimerFired parseTimerFired(const json& fields);

// Event "Reply": an attempt has ended.
AttemptOutcome parseAttemptOutcome(const json& fields, const LoadReportColumns& columns);

// The decision module does not use the following events. They are validated like the others.

// Event "CheckResult": the result of a health check. The module makes no health checks.
void validateHealthCheckResult(const json& fields);

// Event "Established": a streamed response has started. No message class has streamed responses.
void validateStreamEstablished(const json& fields);

// Writes the commands of one sender.
class SimulatorCommandWriter {
 public:
  explicit SimulatorCommandWriter(SimulatedSenderId sender) : sender_(sender) {}

  // Returns std::nullopt for an action that has no command of the simulator.
  std::optional<json> write(const Action& action);

 private:
  SimulatedSenderId sender_;
  std::int64_t last_timer_label_ = 0;
};

// Command "Fatal": the decision module of a sender threw an exception with the text `error`.
json fatalCommand(SimulatedSenderId sender, const std::string& error);

}  // namespace delivery
