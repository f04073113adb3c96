// Tests the format of log lines.
#include "common/log.h"

#include <gtest/gtest.h>

namespace delivery {
namespace {

TEST(Log, LineHasLevelComponentEventAndFields) {
  EXPECT_EQ("level=info component=journal event=recovered messages=17 durable=1",
            logInfo("journal", "recovered").field("messages", 17).field("durable", true).text());
  EXPECT_EQ("level=warning component=handover event=hangs", logWarning("handover", "hangs").text());
  EXPECT_EQ("level=error component=journal event=failed", logError("journal", "failed").text());
}

TEST(Log, ValueWithSpecialCharactersIsQuotedAndEscaped) {
  struct Case {
    const char* value;
    const char* expected;
  };
  const Case cases[] = {
      {"plain-1.2:3", "value=plain-1.2:3"},
      {"", "value=\"\""},
      {"two words", "value=\"two words\""},
      {"a=b", "value=\"a=b\""},
      {R"(say "no" \)", R"(value="say \"no\" \\")"},
      {"line\nlevel=error", "value=\"line level=error\""},
      {"\x1b[2J", "value=\" [2J\""},
  };
  for (const Case& c : cases) {
    const std::string line = logInfo("test", "case").field("value", c.value).text();
    EXPECT_EQ(std::string("level=info component=test event=case ") + c.expected, line);
  }
}

TEST(Log, LineIsWrittenOnceWithALineEnd) {
  ::testing::internal::CaptureStderr();
  logInfo("process", "ready");
  EXPECT_EQ("level=info component=process event=ready\n", ::testing::internal::GetCapturedStderr());
}

}  // namespace
}  // namespace delivery
