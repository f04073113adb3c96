// Settings that cannot be.
#include "protocol/settings_reader.h"

#include <algorithm>

#include "support/scheduler_fixture.h"

using namespace delivery;

namespace {

TEST(Settings, RejectedWithTheFieldsName) {
  Settings s = makeSettings();
  s.call_slots = 0;
  try {
    validateSettings(s);
    FAIL();
  } catch (const InvalidInput& e) {
    EXPECT_NE(std::string(e.what()).find("slots"), std::string::npos);
  }
  s = makeSettings();
  s.classes.clear();
  EXPECT_THROW(validateSettings(s), InvalidInput);
  s = makeSettings();
  s.tick = -1;
  EXPECT_THROW(validateSettings(s), InvalidInput);
}

TEST(Settings, ReadingThemChecksThem) {
  const json category{{"Name", "a"}, {"AimMs", 0}, {"DeadlineMs", 1}, {"Idempotency", "idempotent"}};
  EXPECT_THROW(readSettings({{"Categories", {category}}}), InvalidInput);
}

}  // namespace
