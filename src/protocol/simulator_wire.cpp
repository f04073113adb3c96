#include "protocol/simulator_wire.h"

#include <string>
#include <utility>

#include "protocol/settings_reader.h"

namespace delivery {

namespace {

constexpr EnumName<AttemptResult> kAttemptResultNames[] = {
    {"success", AttemptResult::ok},
    {"failure", AttemptResult::error},
    {"overloaded", AttemptResult::throttled},
    {"timed_out", AttemptResult::timeout},
    {"unreachable", AttemptResult::connect_failed},
    {"broken", AttemptResult::reset},
    {"withdrawn", AttemptResult::cancelled},
    {"void", AttemptResult::not_sent},
};

AttemptResult parseAttemptResult(const json& fields) {
  return enumFromName(readString(fields, "How"), kAttemptResultNames, "How");
}

LoadReportColumns parseLoadReportColumns(const json& options) {
  LoadReportColumns columns;
  const json& stats = readOptionalObject(options, "Stats");
  if (isAbsent(stats, "Fields")) {
    return columns;
  }
  int column = 0;
  for (const json& name : readArray(stats, "Fields")) {
    if (name == "x0") {
      columns.remaining_share = column;
    }
    if (name == "x1") {
      columns.limit_per_second = column;
    }
    ++column;
  }
  return columns;
}

EndpointState parseEndpointState(const json& member) {
  switch (readInteger(member, "Mode")) {
    case 1:
      return EndpointState::removed;
    case 2:
      return EndpointState::draining;
    case 3:
      return EndpointState::ready;
    default:
      throw InvalidInput(InputProblem::unknown_value, "Mode", "unknown value of Mode");
  }
}

EndpointUpdateKind parseEndpointUpdateKind(const json& fields) {
  switch (readInteger(fields, "Kind")) {
    case 0:
      return EndpointUpdateKind::delta;
    case 1:
      return EndpointUpdateKind::full;
    case 2:
      return EndpointUpdateKind::cached;
    case 3:
      return EndpointUpdateKind::failed;
    default:
      throw InvalidInput(InputProblem::unknown_value, "Kind", "unknown value of Kind");
  }
}

EndpointInfo parseEndpoint(const json& member) {
  EndpointInfo endpoint;
  endpoint.id = readString(member, "Endpoint");
  endpoint.zone = readString(member, "Hall", "");
  endpoint.kind = readString(member, "Hw", "");
  endpoint.destination = readInteger(member, "Cell");
  endpoint.state = parseEndpointState(member);
  endpoint.weight = readNumber(member, "Share", 0);
  return endpoint;
}

// Returns 0 if `values` has no such column or its value is not a number.
double numberAt(const json& values, int column) {
  if (column < 0 || column >= static_cast<int>(values.size())) {
    return 0;
  }
  const json& value = values[static_cast<std::size_t>(column)];
  return value.is_number() ? value.get<double>() : 0;
}

std::optional<LoadReport> parseLoadReport(const json& fields, const LoadReportColumns& columns) {
  if (isAbsent(fields, "Gauge")) {
    return std::nullopt;
  }
  const json& values = readArray(fields, "Gauge");
  if (columns.remaining_share == LoadReportColumns::kAbsent &&
      columns.limit_per_second == LoadReportColumns::kAbsent) {
    return std::nullopt;
  }
  return LoadReport{numberAt(values, columns.remaining_share), numberAt(values, columns.limit_per_second)};
}

}  // namespace

// ---- Events

SenderStart parseSenderStart(const json& fields) {
  SenderStart start;
  start.seed = static_cast<std::uint64_t>(readInteger(fields, "RandomSeed"));
  const json& options = readObject(fields, "Options");
  start.load_report_columns = parseLoadReportColumns(options);
  start.settings = readSettings(options);
  return start;
}

NumberedEndpointList parseEndpointList(const json& fields) {
  NumberedEndpointList list;
  for (const json& member : readArray(fields, "Members")) {
    list.endpoints.push_back(parseEndpoint(member));
  }
  list.number = readInteger(fields, "Sheet");
  return list;
}

NumberedListUpdate parseListUpdate(const json& fields) {
  NumberedListUpdate update;
  update.kind = parseEndpointUpdateKind(fields);
  if (update.kind != EndpointUpdateKind::failed) {
    update.list_number = readInteger(fields, "Sheet");
  }
  return update;
}

Arrival parseArrival(const json& fields) {
  Arrival arrival;
  arrival.id = readString(fields, "OpId");
  arrival.message_class = readString(fields, "TierClass");
  const bool has_tenant = !isAbsent(fields, "Billing") && fields["Billing"].is_string();
  if (has_tenant) {
    arrival.tenant = readString(fields, "Billing");
  }
  arrival.order_key = readString(fields, "RouteKey", "");
  arrival.destination = static_cast<std::int64_t>(readNumber(fields, "FarEnd"));
  arrival.deadline = Deadline(readMilliseconds(fields, "GiveUpAtMs"));
  arrival.work_estimate = readMilliseconds(fields, "EstimateMs", 0);
  arrival.is_retry = readBoolean(fields, "Retry", false) || readBoolean(fields, "Reconnect", false);
  return arrival;
}

Abandoned parseAbandoned(const json& fields) {
  return {readString(fields, "OpId")};
}

TimerFired parseTimerFired(const json& fields) {
  readInteger(fields, "Label");  // validated only: the module does not distinguish its timers
  return {};
}

AttemptOutcome parseAttemptOutcome(const json& fields, const LoadReportColumns& columns) {
  AttemptOutcome outcome;
  outcome.id = readString(fields, "OpId");
  outcome.attempt = static_cast<int>(readInteger(fields, "Attempt"));
  outcome.result = parseAttemptResult(fields);
  outcome.finished = readBoolean(fields, "Finished", false);
  if (outcome.result == AttemptResult::throttled) {
    outcome.retry_after = readMilliseconds(fields, "Detail", 0);
  }
  outcome.round_trip_time = readMilliseconds(fields, "RttMs", 0);
  outcome.load_report = parseLoadReport(fields, columns);
  return outcome;
}

void validateHealthCheckResult(const json& fields) {
  parseAttemptResult(fields);
}

void validateStreamEstablished(const json& fields) {
  readInteger(fields, "Attempt");
}

// ---- Commands

std::optional<json> SimulatorCommandWriter::write(const Action& action) {
  if (const auto* send = std::get_if<SendAttempt>(&action)) {
    return json{{"SubmitTo",
                 {{"Who", sender_},
                  {"OpId", send->id},
                  {"Endpoint", send->endpoint},
                  {"WithinMs", millisecondsFromMicros(send->timeout)}}}};
  }
  if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
    return json{{"StopAttempt", {{"Who", sender_}, {"OpId", cancel->id}, {"Attempt", cancel->attempt}}}};
  }
  if (const auto* reject = std::get_if<Reject>(&action)) {
    return json{{"Decline",
                 {{"Who", sender_},
                  {"OpId", reject->id},
                  {"CoolDownMs", millisecondsFromMicros(reject->retry_after)}}}};
  }
  if (const auto* fail = std::get_if<Fail>(&action)) {
    return json{{"FinishError", {{"Who", sender_}, {"OpId", fail->id}}}};
  }
  if (std::holds_alternative<SubscribeEndpoints>(action)) {
    return json{{"Watch", {{"Who", sender_}, {"Active", true}}}};
  }
  if (const auto* close = std::get_if<CloseIdleConnections>(&action)) {
    return json{{"Disconnect", {{"Who", sender_}, {"Endpoint", close->endpoint}}}};
  }
  if (const auto* timer = std::get_if<SetTimer>(&action)) {
    ++last_timer_label_;
    return json{
        {"NotifyMe",
         {{"Who", sender_}, {"Label", last_timer_label_}, {"SpanMs", millisecondsFromMicros(timer->delay)}}}};
  }
  return std::nullopt;  // HealthRecord: a simulated process persists nothing
}

json fatalCommand(SimulatedSenderId sender, const std::string& error) {
  return {{"Fatal", {{"Who", sender}, {"Words", error}}}};
}

}  // namespace delivery
