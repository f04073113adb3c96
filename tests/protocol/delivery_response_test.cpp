// What is read from an endpoint's answer. The table of results is tested on sockets, in endpoint_pool_test.
#include "protocol/delivery_response.h"

#include <gtest/gtest.h>

#include <string>

namespace delivery {
namespace {

HttpResponse answerWith(int status, const std::string& field = "", const std::string& value = "") {
  HttpResponse answer;
  answer.completion = ExchangeStatus::answered;
  answer.status = status;
  answer.body_complete = true;
  if (!field.empty()) {
    answer.fields.emplace_back(field, value);
  }
  return answer;
}

TEST(DeliveryResponse, RetryAfterIsReadFromAnswersThatThrottle) {
  for (const int status : {429, 503}) {
    EXPECT_EQ(250'000, retryAfterOf(answerWith(status, "retry-after", "0.25")));
    EXPECT_EQ(1, retryAfterOf(answerWith(status, "retry-after", "0.0000001"))) << "rounded up";
    EXPECT_EQ(86'400'000'000, retryAfterOf(answerWith(status, "retry-after", "1e9"))) << "a day at most";
    for (const char* malformed : {"", "soon", "-1", "0", "inf", "nan"}) {
      EXPECT_EQ(0, retryAfterOf(answerWith(status, "retry-after", malformed))) << malformed;
    }
    EXPECT_EQ(0, retryAfterOf(answerWith(status)));
  }
  EXPECT_EQ(0, retryAfterOf(answerWith(500, "retry-after", "0.25")));
}

TEST(DeliveryResponse, ALoadReportHasTheValuesThatAreListed) {
  EXPECT_FALSE(loadReportOf(answerWith(200)));
  const auto both = loadReportOf(answerWith(200, "x-pressure", "x0=0.4,x1=25"));
  ASSERT_TRUE(both);
  EXPECT_DOUBLE_EQ(0.4, both->remaining_share);
  EXPECT_DOUBLE_EQ(25, both->limit_per_second);
  const auto other = loadReportOf(answerWith(200, "x-pressure", "xx0=3,x1=many"));
  ASSERT_TRUE(other);
  EXPECT_DOUBLE_EQ(0, other->remaining_share);
  EXPECT_DOUBLE_EQ(0, other->limit_per_second);
}

TEST(DeliveryResponse, OnlyDeliveredAndGoneFinishAMessage) {
  for (const int status : {200, 410}) {
    EXPECT_TRUE(isMessageFinished(answerWith(status)));
    HttpResponse lost = answerWith(status);
    lost.completion = ExchangeStatus::timed_out;
    EXPECT_FALSE(isMessageFinished(lost));
  }
  for (const int status : {201, 418, 429, 500, 503, 504}) {
    EXPECT_FALSE(isMessageFinished(answerWith(status)));
  }
}

}  // namespace
}  // namespace delivery
