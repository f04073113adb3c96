// Tests the lines on the handover link. Processes of earlier versions write and read the same bytes.
#include "protocol/handover_messages.h"

#include <gtest/gtest.h>

#include <fstream>
#include <nlohmann/json.hpp>

#include "protocol/json_fields.h"

namespace delivery {
namespace {

std::vector<PredecessorMessage> decodePredecessor(const std::string& line) {
  std::vector<PredecessorMessage> messages;
  decodePredecessorLine(line, [&](const PredecessorMessage& message) { messages.push_back(message); });
  return messages;
}

std::vector<SuccessorMessage> decodeSuccessor(const std::string& line) {
  std::vector<SuccessorMessage> messages;
  decodeSuccessorLine(line, [&](const SuccessorMessage& message) { messages.push_back(message); });
  return messages;
}

AttemptOutcome sampleOutcome(AttemptResult result) {
  AttemptOutcome outcome;
  outcome.id = "m";
  outcome.attempt = 2;
  outcome.result = result;
  outcome.retry_after = 1'500'000;
  outcome.round_trip_time = 35'239;
  return outcome;
}

TEST(HandoverMessages, PredecessorMessagesAreEncodedInTheFixedFormat) {
  EXPECT_EQ(R"({"release":[]})", encodeHandoverMessage(PredecessorMessage{OwnershipReleased{}}));
  EXPECT_EQ(R"({"release":[["a",0],["b",3]]})",
            encodeHandoverMessage(PredecessorMessage{OwnershipReleased{{{"a", 0}, {"b", 3}}}}));
  AttemptOutcome outcome = sampleOutcome(AttemptResult::throttled);
  EXPECT_EQ(
      R"({"outcome":{"attempt":2,"finished":false,"id":"m","result":2,"rtt":35239,"still_out":false,"wait":1500000}})",
      encodeHandoverMessage(PredecessorMessage{outcome}));
  outcome.finished = true;
  outcome.still_in_flight = true;
  outcome.load_report = LoadReport{0.9, 5};
  EXPECT_EQ(
      R"({"outcome":{"attempt":2,"finished":true,"id":"m","report":[0.9,5.0],"result":2,"rtt":35239,"still_out":true,"wait":1500000}})",
      encodeHandoverMessage(PredecessorMessage{outcome}));
}

TEST(HandoverMessages, SuccessorMessagesAreEncodedInTheFixedFormat) {
  EXPECT_EQ(R"({"serving":true})", encodeHandoverMessage(SuccessorMessage{SuccessorServing{}}));
  EXPECT_EQ(R"({"cancel":["m",1]})", encodeHandoverMessage(SuccessorMessage{CancelCall{{"m", 1}}}));
  EXPECT_EQ(R"({"held":"e1"})", encodeHandoverMessage(SuccessorMessage{EndpointDrainingNotice{"e1"}}));
  EXPECT_EQ(R"({"destination":7,"held":"e1"})",
            encodeHandoverMessage(SuccessorMessage{RetryAfterNotice{"e1", 7}}));
}

// Guards against an attempt number that is used as an index without a check.
TEST(HandoverMessages, AttemptNumbersOutOfRangeAreRejected) {
  for (const char* number : {"-1", "2147483648", "18446744073709551615"}) {
    const std::string call = std::string("[\"m\",") + number + "]";
    EXPECT_THROW(decodePredecessor("{\"release\":[" + call + "]}"), InvalidInput) << number;
    EXPECT_THROW(decodeSuccessor("{\"cancel\":" + call + "}"), InvalidInput) << number;
    EXPECT_THROW(decodePredecessor(std::string("{\"outcome\":{\"id\":\"m\",\"attempt\":") + number +
                                   ",\"result\":0,\"finished\":true,\"wait\":0,\"rtt\":1}}"),
                 InvalidInput)
        << number;
  }
}

// A client may submit a message whose id is not UTF-8.
TEST(HandoverMessages, InvalidUtf8IsReplaced) {
  EXPECT_EQ("{\"cancel\":[\"\xEF\xBF\xBD\",0]}",
            encodeHandoverMessage(SuccessorMessage{CancelCall{{"\xFF", 0}}}));
}

TEST(HandoverMessages, ResultCodesAreFixed) {
  const std::vector<std::pair<AttemptResult, int>> codes{
      {AttemptResult::ok, 0},        {AttemptResult::error, 1},          {AttemptResult::throttled, 2},
      {AttemptResult::timeout, 3},   {AttemptResult::connect_failed, 4}, {AttemptResult::reset, 5},
      {AttemptResult::cancelled, 6}, {AttemptResult::not_sent, 7}};
  for (const auto& [result, code] : codes) {
    const std::string line = encodeHandoverMessage(PredecessorMessage{sampleOutcome(result)});
    EXPECT_NE(std::string::npos, line.find("\"result\":" + std::to_string(code) + ",")) << line;
    const auto messages = decodePredecessor(line);
    ASSERT_EQ(1U, messages.size());
    EXPECT_EQ(result, std::get<AttemptOutcome>(messages[0]).result);
  }
}

// The recording holds the exchange of two processes of an earlier version, see tests/data/README.md.
TEST(HandoverMessages, RecordedLinesAreEncodedToTheSameBytesAfterDecoding) {
  std::ifstream recording(std::string(TEST_DATA_DIR) + "/handover/exchange.jsonl");
  ASSERT_TRUE(recording);
  int lines = 0;
  for (std::string record; std::getline(recording, record); ++lines) {
    const json recorded = json::parse(record);
    const std::string line = recorded.at("line");
    if (recorded.at("from") == "older") {
      const auto messages = decodePredecessor(line);
      ASSERT_EQ(1U, messages.size()) << line;
      EXPECT_EQ(line, encodeHandoverMessage(messages[0]));
    } else {
      const auto messages = decodeSuccessor(line);
      ASSERT_EQ(1U, messages.size()) << line;
      EXPECT_EQ(line, encodeHandoverMessage(messages[0]));
    }
  }
  EXPECT_GT(lines, 20);
}

TEST(HandoverMessages, AllFieldsOfAnOutcomeAreDecoded) {
  const auto messages = decodePredecessor(
      R"({"outcome":{"attempt":1,"finished":true,"id":"m","report":[0.5,20],"result":5,"rtt":7,"still_out":true,"wait":9}})");
  ASSERT_EQ(1U, messages.size());
  const auto& outcome = std::get<AttemptOutcome>(messages[0]);
  EXPECT_EQ("m", outcome.id);
  EXPECT_EQ(1, outcome.attempt);
  EXPECT_EQ(AttemptResult::reset, outcome.result);
  EXPECT_TRUE(outcome.finished);
  EXPECT_TRUE(outcome.still_in_flight);
  EXPECT_EQ(9, outcome.retry_after);
  EXPECT_EQ(7, outcome.round_trip_time);
  ASSERT_TRUE(outcome.load_report);
  EXPECT_EQ(0.5, outcome.load_report->remaining_share);
  EXPECT_EQ(20, outcome.load_report->limit_per_second);
}

// Versions that are older than the field `still_out` do not send it.
TEST(HandoverMessages, OptionalFieldsOfAnOutcomeMayBeMissing) {
  const auto messages =
      decodePredecessor(R"({"outcome":{"attempt":1,"finished":false,"id":"m","result":0,"rtt":7,"wait":9}})");
  ASSERT_EQ(1U, messages.size());
  EXPECT_FALSE(std::get<AttemptOutcome>(messages[0]).still_in_flight);
  EXPECT_FALSE(std::get<AttemptOutcome>(messages[0]).load_report);
}

TEST(HandoverMessages, UnknownKeysAndLinesThatAreNotObjectsAreIgnored) {
  for (const char* line : {"", "nonsense", "7", "[1]", "{}", R"({"later":1})", R"({"release":null})",
                           R"({"serving":null,"held":null,"cancel":null})"}) {
    EXPECT_TRUE(decodePredecessor(line).empty()) << line;
    EXPECT_TRUE(decodeSuccessor(line).empty()) << line;
  }
  EXPECT_EQ(1U, decodeSuccessor(R"({"later":1,"serving":true})").size());
  EXPECT_TRUE(decodePredecessor(R"({"serving":true})").empty());  // a message of the successor
  EXPECT_TRUE(decodeSuccessor(R"({"release":[]})").empty());
}

TEST(HandoverMessages, SeveralKeysInOneLineAreDecodedAsMessagesInAFixedOrder) {
  const auto successor = decodeSuccessor(R"({"cancel":["m",0],"destination":7,"held":"e1","serving":true})");
  ASSERT_EQ(3U, successor.size());
  EXPECT_TRUE(std::holds_alternative<SuccessorServing>(successor[0]));
  EXPECT_EQ(7, std::get<RetryAfterNotice>(successor[1]).destination);
  EXPECT_EQ((CallId{"m", 0}), std::get<CancelCall>(successor[2]).call);
  const auto predecessor = decodePredecessor(
      R"({"outcome":{"attempt":0,"finished":false,"id":"m","result":0,"rtt":0,"wait":0},"release":[["m",0]]})");
  ASSERT_EQ(2U, predecessor.size());
  EXPECT_EQ(1U, std::get<OwnershipReleased>(predecessor[0]).calls_in_flight.size());
  EXPECT_TRUE(std::holds_alternative<AttemptOutcome>(predecessor[1]));
}

// The messages of a line that precede the unreadable one are handled before the error is thrown.
TEST(HandoverMessages, MessagesBeforeAnUnreadableOneAreHandled) {
  int messages = 0;
  EXPECT_THROW(decodeSuccessorLine(R"({"cancel":7,"serving":true})",
                                   [&](const SuccessorMessage& /*message*/) { ++messages; }),
               InvalidInput);
  EXPECT_EQ(1, messages);
}

TEST(HandoverMessages, ErrorsForUnreadableMessagesNameTheField) {
  struct Case {
    const char* line;
    const char* field;
    const char* message;
  };
  const std::vector<Case> from_predecessor{
      {R"({"release":7})", "release", "not an array: release"},
      {R"({"release":[["m"]]})", "", "call is not [message id, attempt number]"},
      {R"({"release":[["m",0.5]]})", "", "call is not [message id, attempt number]"},
      {R"({"outcome":{}})", "id", "missing field id"},
      {R"({"outcome":{"attempt":0,"finished":false,"id":"m","result":8,"rtt":0,"wait":0}})", "result",
       "unknown result code"},
      {R"({"outcome":{"attempt":0,"finished":false,"id":"m","result":-1,"rtt":0,"wait":0}})", "result",
       "unknown result code"},
      {R"({"outcome":{"attempt":0,"finished":false,"id":"m","report":[1],"result":0,"rtt":0,"wait":0}})",
       "report", "load report is not [remaining share, limit per second]"},
  };
  for (const Case& c : from_predecessor) {
    try {
      decodePredecessor(c.line);
      ADD_FAILURE() << c.line;
    } catch (const InvalidInput& error) {
      EXPECT_EQ(c.field, error.field()) << c.line;
      EXPECT_STREQ(c.message, error.what()) << c.line;
    }
  }
  for (const char* line :
       {R"({"cancel":7})", R"({"cancel":[0,"m"]})", R"({"held":7})", R"({"destination":"x","held":"e1"})"}) {
    EXPECT_THROW(decodeSuccessor(line), InvalidInput) << line;
  }
}

}  // namespace
}  // namespace delivery
