// Tests of responses that are malformed, truncated or too long: each ends its exchange in a typed result,
// within a limit on the memory that it takes.
#include <gtest/gtest.h>

#include <algorithm>
#include <ostream>
#include <string>
#include <vector>

#include "support/test_connection.h"

namespace delivery {
namespace {

using loopback::TestConnection;

// What is read and not parsed yet is limited to this; see http_connection.cpp.
constexpr std::size_t kMaxBufferedBytes = 65536;
// Longer responses are cut at some places only, and not sent byte by byte.
constexpr std::size_t kMaxBytesToCutEverywhere = 400;
constexpr std::size_t kCutsOfLongResponses = 16;

// The result of a response that arrives whole, after which the peer closes the connection.
struct ResponseCase {
  const char* name;
  std::string bytes;
  ExchangeStatus completion;
  int status = 0;
  bool body_complete = false;
  // NOLINTNEXTLINE(readability-identifier-naming): the name that GoogleTest looks for
  friend void PrintTo(const ResponseCase& test_case, std::ostream* out) { *out << test_case.name; }
};

std::string repeated(const std::string& text, std::size_t count) {
  std::string result;
  while (count-- > 0) {
    result += text;
  }
  return result;
}

std::vector<ResponseCase> responseCases() {
  const ExchangeStatus broken = ExchangeStatus::broken;
  const ExchangeStatus answered = ExchangeStatus::answered;
  const std::string line = "HTTP/1.1 500 Oops\r\n";
  const std::string chunked = line + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string last_chunk = "0\r\n\r\n";
  const std::string long_text(70'000, 'a');
  return {
      // Status lines.
      {"nothing", "", broken},
      {"no_http", "no http at all\r\n\r\n", broken},
      {"only_line_ends", repeated("\r\n", 20'000), broken},
      {"binary", std::string("\x16\x03\x01\x00\xff\x00\x80", 7) + "\r\n\r\n", broken},
      {"other_protocol", "ICY 200 OK\r\n\r\n", broken},
      {"version_alone", "HTTP/1.1", broken},
      {"unknown_version", "HTTP/9.9 500 Oops\r\n\r\n", broken},
      {"no_minor_version", "HTTP/2 500 Oops\r\n\r\n", broken},
      {"half_a_status", "HTTP/1.1 50", broken},
      {"status_without_an_end", "HTTP/1.1 500", broken},
      {"status_of_two_digits", "HTTP/1.1 50 Oops\r\n\r\n", broken},
      {"status_of_four_digits", "HTTP/1.1 5000 Oops\r\n\r\n", broken},
      {"negative_status", "HTTP/1.1 -50 Oops\r\n\r\n", broken},
      {"status_in_letters", "HTTP/1.1 abc Oops\r\n\r\n", broken},
      {"status_beside_the_reason", "HTTP/1.1 500Oops\r\n\r\n", broken},
      {"endless_reason", "HTTP/1.1 500 " + long_text, broken},
      {"status_line_alone", line, broken},
      {"status_line_alone_that_delivers", "HTTP/1.1 200 OK\r\n", answered, 200},
      // Header fields.
      {"field_without_a_colon", line + "no colon\r\n\r\n", broken},
      {"blank_before_the_colon", line + "Content-Length : 0\r\n\r\n", broken},
      {"field_without_a_name", line + ": 0\r\n\r\n", broken},
      {"control_character_in_a_name", line + "X\x01: 0\r\n\r\n", broken},
      {"control_character_in_a_value", line + "X: \x01\r\n\r\n", broken},
      {"endless_field_name", line + long_text, broken},
      {"endless_field_value", line + "X: " + long_text, broken},
      {"too_many_fields", line + repeated("X: 1\r\n", 4'000) + "\r\n", broken},
      {"head_without_an_end", line + "Content-Length: 0\r\n", broken},
      {"line_feeds_alone", "HTTP/1.1 500 Oops\nContent-Length: 0\n\n", broken},
      // Lengths.
      {"negative_length", line + "Content-Length: -1\r\n\r\n", broken},
      {"length_in_letters", line + "Content-Length: many\r\n\r\n", broken},
      {"length_beyond_64_bits", line + "Content-Length: 99999999999999999999\r\n\r\n", broken},
      {"two_lengths", line + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", broken},
      {"length_and_chunks", line + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n" + last_chunk,
       broken},
      {"body_above_the_limit", line + "Content-Length: 65537\r\n\r\n" + std::string(65'537, 'b'), broken},
      {"body_at_the_limit", line + "Content-Length: 65536\r\n\r\n" + std::string(65'536, 'b'), answered, 500,
       true},
      {"truncated_body", line + "Content-Length: 10\r\n\r\nhalf", answered, 500},
      {"truncated_delivery", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", answered, 200},
      {"body_up_to_the_close", "HTTP/1.0 500 Oops\r\n\r\nall of it", answered, 500, true},
      {"endless_body", line + "\r\n" + std::string(300'000, 'b'), answered, 500},
      // Chunks.
      {"chunk_size_in_letters", chunked + "zz\r\nab\r\n" + last_chunk, answered, 500},
      {"negative_chunk_size", chunked + "-1\r\nab\r\n" + last_chunk, answered, 500},
      {"chunk_size_beyond_64_bits", chunked + "fffffffffffffffff\r\nab\r\n" + last_chunk, answered, 500},
      {"chunk_without_an_end", chunked + "2\r\nabcd" + last_chunk, answered, 500},
      {"no_last_chunk", chunked + "2\r\nab\r\n", answered, 500},
      {"half_a_last_chunk", chunked + "2\r\nab\r\n0\r\n", answered, 500},
      {"overlong_chunk_line", chunked + "2;" + long_text + "\r\nab\r\n" + last_chunk, answered, 500},
      {"overlong_trailer", chunked + "0\r\nX: " + long_text + "\r\n\r\n", answered, 500},
      {"chunks_above_the_limit",
       chunked + repeated("400\r\n" + std::string(1024, 'b') + "\r\n", 65) + last_chunk, answered, 500},
      {"many_small_chunks", chunked + repeated("1\r\nb\r\n", 60'000) + last_chunk, answered, 500},
      {"trailer_with_a_field", chunked + "2\r\nab\r\n0\r\nX: 1\r\n\r\n", answered, 500, true},
      // Several heads.
      {"hint_and_no_response", "HTTP/1.1 103 Early Hints\r\n\r\n", broken},
      {"endless_hints", repeated("HTTP/1.1 103 Early Hints\r\n\r\n", 2'000), answered, 103},
      {"other_protocol_after_upgrade", "HTTP/1.1 101 Switching Protocols\r\n\r\n\x01\x02", answered, 101},
      {"noise_behind_the_response", line + "Content-Length: 2\r\n\r\nab\x01 noise", answered, 500, true},
  };
}

class MalformedResponse : public ::testing::TestWithParam<ResponseCase> {
 protected:
  // Makes an exchange with a peer that sends these bytes in the given number of pieces and closes the
  // connection.
  static HttpResponse exchange(const std::string& bytes, std::size_t piece_size) {
    TestConnection test(BodyUse::discard);
    test.startExchange(0);
    test.receiveAtPeer();
    for (std::size_t sent = 0; sent < bytes.size() && !test.response; sent += piece_size) {
      test.sendAsRead(bytes.substr(sent, piece_size));
      EXPECT_LE(test.connection.bufferedBytes(), kMaxBufferedBytes);
    }
    ::shutdown(test.peer, SHUT_WR);  // fails if the sender has closed the connection
    HttpResponse response = test.awaitResponse();
    EXPECT_EQ(0u, test.connection.bufferedBytes());
    EXPECT_FALSE(test.connection.isIdle() && !response.body_complete);
    return response;
  }
};

TEST_P(MalformedResponse, HasATypedResult) {
  const ResponseCase& test_case = GetParam();
  const bool is_long = test_case.bytes.size() > kMaxBytesToCutEverywhere;
  for (const std::size_t piece_size :
       {test_case.bytes.size() + 1, is_long ? std::size_t{1000} : std::size_t{1}}) {
    const HttpResponse response = exchange(test_case.bytes, piece_size);
    EXPECT_EQ(test_case.completion, response.completion);
    EXPECT_EQ(test_case.status, response.status);
    EXPECT_EQ(test_case.body_complete, response.body_complete);
  }
}

// A prefix of a response has no better result than the whole: it never has a status that the whole does not
// have, except for a delivery, which counts from its status line on.
TEST_P(MalformedResponse, HasATypedResultWhereverItIsCut) {
  const std::string& bytes = GetParam().bytes;
  const std::size_t step = bytes.size() > kMaxBytesToCutEverywhere ? bytes.size() / kCutsOfLongResponses : 1;
  for (std::size_t cut = 0; cut < bytes.size(); cut += step) {
    const HttpResponse response = exchange(bytes.substr(0, cut), bytes.size());
    if (response.completion == ExchangeStatus::answered) {
      EXPECT_TRUE(response.status >= 100 && response.status <= 999) << cut;
    } else {
      EXPECT_EQ(ExchangeStatus::broken, response.completion) << cut;
      EXPECT_EQ(0, response.status) << cut;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Table, MalformedResponse, ::testing::ValuesIn(responseCases()),
                         [](const auto& i) { return std::string(i.param.name); });

}  // namespace
}  // namespace delivery
