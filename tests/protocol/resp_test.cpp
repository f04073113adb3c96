// Tests the parser of RESP2 requests: input in parts of any size, the size limits, and malformed input.
#include "protocol/resp.h"

#include <gtest/gtest.h>

namespace delivery {
namespace {

enum class ParseStatus { complete, incomplete, malformed };

// Parses `input` and returns the kind of result. Stores a complete request in `request`, and an empty one for
// incomplete or malformed input. Checks that an error has a text.
ParseStatus parse(const std::string& input, RespRequest& request) {
  const RespParseResult result = parseRespRequest(input);
  request = {};
  if (const auto* error = std::get_if<RespProtocolError>(&result)) {
    EXPECT_FALSE(error->message.empty());
    return ParseStatus::malformed;
  }
  if (std::holds_alternative<RespIncomplete>(result)) {
    return ParseStatus::incomplete;
  }
  request = std::get<RespRequest>(result);
  return ParseStatus::complete;
}

std::string errorOf(const std::string& input) {
  const RespParseResult result = parseRespRequest(input);
  const auto* error = std::get_if<RespProtocolError>(&result);
  return error != nullptr ? error->message : "";
}

TEST(Resp, CompleteRequestIsParsedAndEachPrefixIsIncomplete) {
  const std::string input = std::string("*2\r\n$4\r\nPING\r\n$3\r\n\0\r\n", 21) + "\r\n";
  RespRequest request;
  ASSERT_EQ(ParseStatus::complete, parse(input + "*1", request));
  EXPECT_EQ(input.size(), request.consumed_bytes);
  ASSERT_EQ(2u, request.arguments.size());
  EXPECT_EQ("PING", request.arguments[0]);
  EXPECT_EQ(std::string("\0\r\n", 3), request.arguments[1]);
  for (std::size_t size = 0; size < input.size(); ++size) {
    EXPECT_EQ(ParseStatus::incomplete, parse(input.substr(0, size), request)) << size;
  }
}

TEST(Resp, MalformedOrTooLongInputIsRejectedEarly) {
  const std::string too_long = std::to_string(kMaxRespArgumentBytes + 1);
  RespRequest request;
  for (const std::string& input :
       {std::string("GET / HTTP/1.1\r\n"), std::string("*0\r\n"), std::string("*-1\r\n"),
        std::string("*x\r\n"), std::string("*1\r\n+PING\r\n"), std::string("*1\r\n$-1\r\n"),
        std::string("*99\r\n"), std::string("*999999999999999999999"), std::string("*1\r\n$4\r\nPINGxx"),
        "*1\r\n$" + too_long + "\r\n", std::string("*1\n"), std::string("*1\rx")}) {
    EXPECT_EQ(ParseStatus::malformed, parse(input, request)) << input;
  }
}

TEST(Resp, ErrorTextsNameTheProblem) {
  EXPECT_EQ("Protocol error: expected '*'", errorOf("GET / HTTP/1.1\r\n"));
  EXPECT_EQ("Protocol error: expected '$'", errorOf("*1\r\n+PING\r\n"));
  EXPECT_EQ("Protocol error: empty request", errorOf("*0\r\n"));
  EXPECT_EQ("Protocol error: invalid length", errorOf("*-1\r\n"));
  EXPECT_EQ("Protocol error: invalid length", errorOf("*1\rx"));
  EXPECT_EQ("Protocol error: too long", errorOf("*99"));
  EXPECT_EQ("Protocol error: invalid length", errorOf("*999999999"));
  EXPECT_EQ("Protocol error: a string without its end", errorOf("*1\r\n$4\r\nPINGxx"));
}

TEST(Resp, ArgumentsOfMaximumTotalSizeAreParsedAndOneMoreByteIsRejected) {
  const std::string longest_argument =
      "$" + std::to_string(kMaxRespArgumentBytes) + "\r\n" + std::string(kMaxRespArgumentBytes, 'x') + "\r\n";
  RespRequest request;
  EXPECT_EQ(ParseStatus::complete, parse("*2\r\n" + longest_argument + longest_argument, request));
  EXPECT_EQ("Protocol error: too long", errorOf("*3\r\n" + longest_argument + longest_argument + "$1\r\n"));
}

TEST(Resp, ArgumentOfMaximumSizeIsParsed) {
  const std::string input = "*1\r\n$" + std::to_string(kMaxRespArgumentBytes) + "\r\n" +
                            std::string(kMaxRespArgumentBytes, 'x') + "\r\n";
  RespRequest request;
  EXPECT_EQ(ParseStatus::complete, parse(input, request));
  EXPECT_LE(input.size(), kMaxRespRequestBytes);
}

}  // namespace
}  // namespace delivery
