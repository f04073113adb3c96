#include "protocol/simulator_wire.h"

#include <string>
#include <utility>

#include "protocol/settings_reader.h"

namespace delivery {

namespace {

constexpr EnumWord<AttemptResult> kAttemptResultWords[] = {
    {"success", AttemptResult::ok},
    {"failure", AttemptResult::error},
    {"overloaded", AttemptResult::throttled},
    {"timed_out", AttemptResult::timeout},
    {"unreachable", AttemptResult::connect_failed},
    {"broken", AttemptResult::reset},
    {"withdrawn", AttemptResult::cancelled},
    {"void", AttemptResult::not_sent},
};

AttemptResult parseResult(const json& fields) {
  return enumFromWord(readString(fields, "How"), kAttemptResultWords, "How");
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

EndpointState parseMode(const json& member) {
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

EndpointUpdateKind parseKind(const json& fields) {
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

EndpointInfo parseMember(const json& member) {
  EndpointInfo endpoint;
  endpoint.id = readString(member, "Endpoint");
  endpoint.zone = readString(member, "Hall", "");
  endpoint.kind = readString(member, "Hw", "");
  endpoint.destination = readInteger(member, "Cell");
  endpoint.state = parseMode(member);
  endpoint.weight = readNumber(member, "Share", 0);
  return endpoint;
}

// What is missing from the row, or not a number, counts as 0.
double valueAt(const json& row, int column) {
  if (column < 0 || column >= static_cast<int>(row.size())) {
    return 0;
  }
  const json& value = row[static_cast<std::size_t>(column)];
  return value.is_number() ? value.get<double>() : 0;
}

std::optional<LoadReport> parseGauge(const json& fields, const LoadReportColumns& columns) {
  if (isAbsent(fields, "Gauge")) {
    return std::nullopt;
  }
  const json& row = readArray(fields, "Gauge");
  if (columns.remaining_share == LoadReportColumns::kAbsent &&
      columns.limit_per_second == LoadReportColumns::kAbsent) {
    return std::nullopt;
  }
  return LoadReport{valueAt(row, columns.remaining_share), valueAt(row, columns.limit_per_second)};
}

}  // namespace

// ---- Events

SenderStart parseAttach(const json& fields) {
  SenderStart start;
  start.seed = static_cast<std::uint64_t>(readInteger(fields, "RandomSeed"));
  const json& options = readObject(fields, "Options");
  start.load_report_columns = parseLoadReportColumns(options);
  start.settings = readSettings(options);
  return start;
}

EndpointSheet parseRoster(const json& fields) {
  EndpointSheet sheet;
  for (const json& member : readArray(fields, "Members")) {
    sheet.endpoints.push_back(parseMember(member));
  }
  sheet.number = readInteger(fields, "Sheet");
  return sheet;
}

MembershipChange parseMembers(const json& fields) {
  MembershipChange change;
  change.kind = parseKind(fields);
  if (change.kind != EndpointUpdateKind::failed) {
    change.sheet_number = readInteger(fields, "Sheet");
  }
  return change;
}

Arrival parseCall(const json& fields) {
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

Abandoned parseLeft(const json& fields) {
  return {readString(fields, "OpId")};
}

TimerFired parseTimeoutFired(const json& fields) {
  readInteger(fields, "Label");  // the module does not tell its timers apart
  return {};
}

AttemptOutcome parseReply(const json& fields, const LoadReportColumns& columns) {
  AttemptOutcome outcome;
  outcome.id = readString(fields, "OpId");
  outcome.attempt = static_cast<int>(readInteger(fields, "Attempt"));
  outcome.result = parseResult(fields);
  outcome.finished = readBoolean(fields, "Finished", false);
  if (outcome.result == AttemptResult::throttled) {
    outcome.retry_after = readMilliseconds(fields, "Detail", 0);
  }
  outcome.round_trip_time = readMilliseconds(fields, "RttMs", 0);
  outcome.load_report = parseGauge(fields, columns);
  return outcome;
}

void checkCheckResult(const json& fields) {
  parseResult(fields);
}

void checkEstablished(const json& fields) {
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
  return std::nullopt;  // HealthRecord: nothing outlasts a simulated process
}

json fatalCommand(SimulatedSenderId sender, const std::string& error) {
  return {{"Fatal", {{"Who", sender}, {"Words", error}}}};
}

}  // namespace delivery
