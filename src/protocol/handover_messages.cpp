#include "protocol/handover_messages.h"

#include <limits>

#include "protocol/json_fields.h"

namespace delivery {
namespace {

constexpr int kSingleLine = -1;  // as the indentation: json::dump() writes no line breaks

// The result of an attempt as a number on the link. The numbers do not depend on the order of AttemptResult.
enum class ResultCode : std::int64_t {
  ok = 0,
  error = 1,
  throttled = 2,
  timeout = 3,
  connect_failed = 4,
  reset = 5,
  cancelled = 6,
  not_sent = 7,
};

struct ResultCodeMapping {
  AttemptResult result;
  ResultCode code;
};

constexpr ResultCodeMapping kResultCodes[] = {
    {AttemptResult::ok, ResultCode::ok},
    {AttemptResult::error, ResultCode::error},
    {AttemptResult::throttled, ResultCode::throttled},
    {AttemptResult::timeout, ResultCode::timeout},
    {AttemptResult::connect_failed, ResultCode::connect_failed},
    {AttemptResult::reset, ResultCode::reset},
    {AttemptResult::cancelled, ResultCode::cancelled},
    {AttemptResult::not_sent, ResultCode::not_sent},
};

std::int64_t resultCode(AttemptResult result) {
  for (const ResultCodeMapping& mapping : kResultCodes) {
    if (mapping.result == result) {
      return static_cast<std::int64_t>(mapping.code);
    }
  }
  throw std::logic_error("attempt result has no code on the handover link");
}

AttemptResult resultFromCode(std::int64_t code) {
  for (const ResultCodeMapping& mapping : kResultCodes) {
    if (static_cast<std::int64_t>(mapping.code) == code) {
      return mapping.result;
    }
  }
  throw InvalidInput(InputProblem::unknown_value, "result", "unknown result code");
}

int attemptNumber(std::int64_t number) {
  if (number < 0 || number > std::numeric_limits<int>::max()) {
    throw InvalidInput(InputProblem::out_of_range, "attempt", "attempt number out of range");
  }
  return static_cast<int>(number);
}

json callToJson(const CallId& call) {
  return json::array({call.message_id, call.attempt});
}

CallId callFromJson(const json& value) {
  if (!value.is_array() || value.size() != 2 || !value[0].is_string() || !value[1].is_number_integer()) {
    throw InvalidInput(InputProblem::wrong_type, "", "call is not [message id, attempt number]");
  }
  return {value[0].get<std::string>(), attemptNumber(value[1].get<std::int64_t>())};
}

json outcomeToJson(const AttemptOutcome& outcome) {
  json object{{"id", outcome.id},
              {"attempt", outcome.attempt},
              {"result", resultCode(outcome.result)},
              {"finished", outcome.finished},
              {"still_out", outcome.still_in_flight},
              {"wait", outcome.retry_after},
              {"rtt", outcome.round_trip_time}};
  if (outcome.load_report) {
    object["report"] = {outcome.load_report->remaining_share, outcome.load_report->limit_per_second};
  }
  return object;
}

LoadReport loadReportFromJson(const json& value) {
  if (value.size() != 2 || !value[0].is_number() || !value[1].is_number()) {
    throw InvalidInput(InputProblem::wrong_type, "report",
                       "load report is not [remaining share, limit per second]");
  }
  LoadReport report;
  report.remaining_share = value[0].get<double>();
  report.limit_per_second = value[1].get<double>();
  return report;
}

AttemptOutcome outcomeFromJson(const json& object) {
  AttemptOutcome outcome;
  outcome.id = readString(object, "id");
  outcome.attempt = attemptNumber(readInteger(object, "attempt"));
  outcome.result = resultFromCode(readInteger(object, "result"));
  outcome.finished = readBoolean(object, "finished");
  outcome.still_in_flight = readBoolean(object, "still_out", false);
  outcome.retry_after = readInteger(object, "wait");
  outcome.round_trip_time = readInteger(object, "rtt");
  if (!isAbsent(object, "report")) {
    outcome.load_report = loadReportFromJson(readArray(object, "report"));
  }
  return outcome;
}

json toJson(const OwnershipReleased& message) {
  json calls = json::array();
  for (const CallId& call : message.calls_in_flight) {
    calls.push_back(callToJson(call));
  }
  return {{"release", std::move(calls)}};
}

json toJson(const AttemptOutcome& outcome) {
  return {{"outcome", outcomeToJson(outcome)}};
}

json toJson(const SuccessorServing& /*message*/) {
  return {{"serving", true}};
}

json toJson(const EndpointDrainingNotice& message) {
  return {{"held", message.endpoint}};
}

json toJson(const RetryAfterNotice& message) {
  return {{"held", message.endpoint}, {"destination", message.destination}};
}

json toJson(const CancelCall& message) {
  return {{"cancel", callToJson(message.call)}};
}

template <class Message>
std::string encodeVariant(const Message& message) {
  const json object = std::visit([](const auto& alternative) { return toJson(alternative); }, message);
  return object.dump(kSingleLine, ' ', false, json::error_handler_t::replace);
}

json parseLine(const std::string& line) {
  return json::parse(line, nullptr, /*allow_exceptions=*/false);
}

SuccessorMessage endpointNoticeFromJson(const json& message) {
  std::string endpoint = readString(message, "held");
  if (isAbsent(message, "destination")) {
    return EndpointDrainingNotice{std::move(endpoint)};
  }
  return RetryAfterNotice{std::move(endpoint), readInteger(message, "destination")};
}

}  // namespace

std::string encodeHandoverMessage(const PredecessorMessage& message) {
  return encodeVariant(message);
}

std::string encodeHandoverMessage(const SuccessorMessage& message) {
  return encodeVariant(message);
}

void decodePredecessorLine(const std::string& line,
                           const std::function<void(const PredecessorMessage&)>& on_message) {
  const json object = parseLine(line);
  if (!isAbsent(object, "release")) {
    OwnershipReleased released;
    for (const json& call : readArray(object, "release")) {
      released.calls_in_flight.push_back(callFromJson(call));
    }
    on_message(released);
  }
  if (!isAbsent(object, "outcome")) {
    on_message(outcomeFromJson(requireField(object, "outcome")));
  }
}

void decodeSuccessorLine(const std::string& line,
                         const std::function<void(const SuccessorMessage&)>& on_message) {
  const json object = parseLine(line);
  if (!isAbsent(object, "serving")) {
    on_message(SuccessorServing{});
  }
  if (!isAbsent(object, "held")) {
    on_message(endpointNoticeFromJson(object));
  }
  if (!isAbsent(object, "cancel")) {
    on_message(CancelCall{callFromJson(requireField(object, "cancel"))});
  }
}

}  // namespace delivery
