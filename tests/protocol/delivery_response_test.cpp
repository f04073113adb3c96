// Tests the values that are read from the HTTP response of an endpoint. The table of attempt results is
// tested over sockets, in endpoint_pool_test.
#include "protocol/delivery_response.h"

#include <gtest/gtest.h>

#include <string>

namespace delivery {
namespace {

HttpResponse makeResponse(int status, const std::string& field = "", const std::string& value = "") {
  HttpResponse response;
  response.completion = ExchangeStatus::answered;
  response.status = status;
  response.body_complete = true;
  if (!field.empty()) {
    response.fields.emplace_back(field, value);
  }
  return response;
}

TEST(DeliveryResponse, RetryAfterIsReadFromThrottlingResponsesOnly) {
  for (const int status : {429, 503}) {
    EXPECT_EQ(250'000, retryAfterOf(makeResponse(status, "retry-after", "0.25")));
    EXPECT_EQ(1, retryAfterOf(makeResponse(status, "retry-after", "0.0000001")))
        << "a fraction of a microsecond is rounded up";
    EXPECT_EQ(86'400'000'000, retryAfterOf(makeResponse(status, "retry-after", "1e9")))
        << "the maximum is one day";
    for (const char* malformed : {"", "soon", "-1", "0", "inf", "nan"}) {
      EXPECT_EQ(0, retryAfterOf(makeResponse(status, "retry-after", malformed))) << malformed;
    }
    EXPECT_EQ(0, retryAfterOf(makeResponse(status)));
  }
  EXPECT_EQ(0, retryAfterOf(makeResponse(500, "retry-after", "0.25")));
}

TEST(DeliveryResponse, LoadReportHasListedValuesAndZeroForOthers) {
  EXPECT_FALSE(loadReportOf(makeResponse(200)));
  const auto report = loadReportOf(makeResponse(200, "x-pressure", "x0=0.4,x1=25"));
  ASSERT_TRUE(report);
  EXPECT_DOUBLE_EQ(0.4, report->remaining_share);
  EXPECT_DOUBLE_EQ(25, report->limit_per_second);
  const auto report_without_values = loadReportOf(makeResponse(200, "x-pressure", "xx0=3,x1=many"));
  ASSERT_TRUE(report_without_values);
  EXPECT_DOUBLE_EQ(0, report_without_values->remaining_share);
  EXPECT_DOUBLE_EQ(0, report_without_values->limit_per_second);
}

TEST(DeliveryResponse, OnlyStatusesOkAndGoneFinishAMessage) {
  for (const int status : {200, 410}) {
    EXPECT_TRUE(isMessageFinished(makeResponse(status)));
    HttpResponse timed_out = makeResponse(status);
    timed_out.completion = ExchangeStatus::timed_out;
    EXPECT_FALSE(isMessageFinished(timed_out));
  }
  for (const int status : {201, 418, 429, 500, 503, 504}) {
    EXPECT_FALSE(isMessageFinished(makeResponse(status)));
  }
}

}  // namespace
}  // namespace delivery
