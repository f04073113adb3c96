// Tests the parsing of client requests and the reply to each kind of error.
#include "protocol/message_request.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace delivery {
namespace {

const std::string kFields = "c=order,d=8000,dest=7";

ClientRequest parseMessageWith(const std::string& fields, const std::string& id = "m") {
  return parseClientRequest({"MSG.PUT", "0", id, fields, "body"});
}

// The reply to an invalid request; empty if the request is valid.
std::string errorOf(const ClientRequest& request) {
  const auto* error = std::get_if<RequestError>(&request);
  return error == nullptr ? "" : errorReply(*error);
}

TEST(MessageRequest, AllFieldsOfAMessageAreRead) {
  const ClientRequest request = parseClientRequest(
      {"msg.put", "00a0", "id-1", "c=order,t=shop,d=8000,dest=7,k=key,again=1,unknown=x", "any body"});
  const auto* message = std::get_if<SubmittedMessage>(&request);
  ASSERT_NE(nullptr, message);
  EXPECT_EQ("00a0", message->order_key);
  EXPECT_EQ("id-1", message->id);
  EXPECT_EQ("order", message->message_class);
  EXPECT_EQ("shop", message->tenant);
  EXPECT_EQ(8'000'000, message->time_to_live);
  EXPECT_EQ(7, message->destination);
  EXPECT_EQ("key", message->idempotency_key);
  EXPECT_TRUE(message->is_retry);
  EXPECT_EQ("any body", message->body);
}

TEST(MessageRequest, MessageWithoutOrderKeyAndRetryFlagIsUnorderedAndNoRetry) {
  for (const char* fields : {"c=order,d=1,dest=0", "c=order,d=1,dest=0,r=0"}) {
    const ClientRequest request = parseClientRequest({"MSG.PUT", "0000", "m", fields, ""});
    const auto* message = std::get_if<SubmittedMessage>(&request);
    ASSERT_NE(nullptr, message);
    EXPECT_EQ("", message->order_key);
    EXPECT_FALSE(message->is_retry);
  }
}

TEST(MessageRequest, EachErrorHasTheReplyOfTheProtocol) {
  EXPECT_EQ("", errorOf(parseMessageWith(kFields)));
  EXPECT_EQ("-ERR wrong number of arguments", errorOf(parseClientRequest({"MSG.PUT", "0", "m", kFields})));
  EXPECT_EQ("-ERR malformed id", errorOf(parseMessageWith(kFields, "")));
  EXPECT_EQ("-ERR malformed id", errorOf(parseMessageWith(kFields, "a b")));
  EXPECT_EQ("-ERR malformed list of values", errorOf(parseMessageWith(kFields + ",x")));
  EXPECT_EQ("-ERR malformed list of values", errorOf(parseMessageWith("c=order,,d=8000,dest=7")));
  for (const char* time_to_live : {"", "0", "-1", "8s", "86400001", "1234567890123456789"}) {
    EXPECT_EQ("-ERR malformed d", errorOf(parseMessageWith("c=order,dest=7,d=" + std::string(time_to_live))));
  }
  EXPECT_EQ("", errorOf(parseMessageWith("c=order,dest=7,d=86400000")));
  EXPECT_EQ("-ERR malformed dest", errorOf(parseMessageWith("c=order,d=8000,dest=x")));
  EXPECT_EQ("-ERR malformed k", errorOf(parseMessageWith(kFields + ",k=a\r\nb")));
  EXPECT_EQ("-ERR malformed k", errorOf(parseMessageWith(kFields + ",k=a\x7f")));
  EXPECT_EQ("-ERR no class", errorOf(parseMessageWith("d=8000,dest=7")));
  EXPECT_EQ("-ERR no d", errorOf(parseMessageWith("c=order,dest=7")));
  EXPECT_EQ("-ERR no dest", errorOf(parseMessageWith("c=order,d=8000")));
}

// Guards against ids and keys that an HTTP header field can't hold.
TEST(MessageRequest, IdsAndIdempotencyKeysHaveAMaximumLength) {
  const std::string longest(256, 'a');
  EXPECT_EQ("", errorOf(parseMessageWith(kFields + ",k=" + longest, longest)));
  EXPECT_EQ("-ERR malformed id", errorOf(parseMessageWith(kFields, longest + "a")));
  EXPECT_EQ("-ERR malformed k", errorOf(parseMessageWith(kFields + ",k=" + longest + "a")));
  EXPECT_EQ("-ERR malformed id", errorOf(parseMessageWith(kFields, "\xc3\xa9")));
}

TEST(MessageRequest, PingHasNoArgumentsAndOtherCommandsAreUnknown) {
  EXPECT_TRUE(std::holds_alternative<PingRequest>(parseClientRequest({"ping"})));
  EXPECT_EQ("-ERR wrong number of arguments", errorOf(parseClientRequest({"PING", "x"})));
  EXPECT_EQ("-ERR unknown command", errorOf(parseClientRequest({"GET", "x"})));
}

}  // namespace
}  // namespace delivery
