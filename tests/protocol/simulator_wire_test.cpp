// Tests the JSON of the simulator: the command of each action, and events with and without optional fields.
#include "protocol/simulator_wire.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>

namespace delivery {
namespace {

std::string writeCommand(SimulatorCommandWriter& writer, const Action& action) {
  const auto command = writer.write(action);
  return command ? command->dump() : "";
}

TEST(SimulatorWire, EachActionIsWrittenAsACommand) {
  SimulatorCommandWriter writer(4);
  EXPECT_EQ(R"({"SubmitTo":{"Endpoint":"e","OpId":"m","Who":4,"WithinMs":1.5}})",
            writeCommand(writer, SendAttempt{"m", "e", 1500}));
  EXPECT_EQ(R"({"StopAttempt":{"Attempt":2,"OpId":"m","Who":4}})",
            writeCommand(writer, CancelAttempt{"m", 2}));
  EXPECT_EQ(R"({"Decline":{"CoolDownMs":250.0,"OpId":"m","Who":4}})",
            writeCommand(writer, Reject{"m", 250'000}));
  EXPECT_EQ(R"({"FinishError":{"OpId":"m","Who":4}})", writeCommand(writer, Fail{"m"}));
  EXPECT_EQ(R"({"Watch":{"Active":true,"Who":4}})", writeCommand(writer, SubscribeEndpoints{}));
  EXPECT_EQ(R"({"Disconnect":{"Endpoint":"e","Who":4}})", writeCommand(writer, CloseIdleConnections{"e"}));
  EXPECT_EQ("", writeCommand(writer, HealthRecord{}));
  EXPECT_EQ(R"({"Fatal":{"Who":4,"Words":"fault"}})", fatalCommand(4, "fault").dump());
}

TEST(SimulatorWire, TimersOfASenderAreNumberedFromOne) {
  SimulatorCommandWriter writer(4);
  EXPECT_EQ(R"({"NotifyMe":{"Label":1,"SpanMs":5.0,"Who":4}})", writeCommand(writer, SetTimer{5000}));
  EXPECT_EQ(R"({"NotifyMe":{"Label":2,"SpanMs":0.0,"Who":4}})", writeCommand(writer, SetTimer{0}));
}

TEST(SimulatorWire, EachAttemptResultHasAName) {
  const std::pair<const char*, AttemptResult> results[] = {
      {"success", AttemptResult::ok},           {"failure", AttemptResult::error},
      {"overloaded", AttemptResult::throttled}, {"timed_out", AttemptResult::timeout},
      {"broken", AttemptResult::reset},         {"unreachable", AttemptResult::connect_failed},
      {"withdrawn", AttemptResult::cancelled},  {"void", AttemptResult::not_sent}};
  for (const auto& [name, result] : results) {
    const json reply{{"OpId", "m"}, {"Attempt", 1}, {"How", name}, {"Detail", 3.0}};
    const AttemptOutcome outcome = parseAttemptOutcome(reply, {});
    EXPECT_EQ(result, outcome.result) << name;
    EXPECT_EQ(result == AttemptResult::throttled ? 3000 : 0, outcome.retry_after) << name;
  }
  EXPECT_THROW(parseAttemptOutcome({{"OpId", "m"}, {"Attempt", 1}, {"How", "lost"}}, {}), InvalidInput);
}

TEST(SimulatorWire, LoadReportIsReadFromTheColumnsOfTheAttachEvent) {
  json reply{{"OpId", "m"}, {"Attempt", 0}, {"How", "success"}, {"Gauge", {0.25, "none", 40}}};
  LoadReportColumns columns;
  EXPECT_FALSE(parseAttemptOutcome(reply, columns).load_report);
  columns.remaining_share = 0;
  columns.limit_per_second = 2;
  const auto report = parseAttemptOutcome(reply, columns).load_report;
  ASSERT_TRUE(report);
  EXPECT_EQ(0.25, report->remaining_share);
  EXPECT_EQ(40, report->limit_per_second);
  columns.limit_per_second = 1;  // not a number
  EXPECT_EQ(0, parseAttemptOutcome(reply, columns).load_report->limit_per_second);
  reply.erase("Gauge");
  EXPECT_FALSE(parseAttemptOutcome(reply, columns).load_report);
}

}  // namespace
}  // namespace delivery
