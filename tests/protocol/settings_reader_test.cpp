// Tests the validation of the settings.
#include "protocol/settings_reader.h"

#include <string>

#include "support/scheduler_fixture.h"

using namespace delivery;

namespace {

TEST(SettingsReader, ErrorsNameTheSettingThatIsOutOfRange) {
  Settings settings = makeSettings();
  settings.call_slots = 0;
  try {
    validateSettings(settings);
    FAIL();
  } catch (const InvalidInput& e) {
    EXPECT_NE(std::string(e.what()).find("slots"), std::string::npos);
    EXPECT_EQ(InputProblem::out_of_range, e.problem());
    EXPECT_EQ("slots", e.field());
  }
  settings = makeSettings();
  settings.classes.clear();
  EXPECT_THROW(validateSettings(settings), InvalidInput);
  settings = makeSettings();
  settings.tick = -1;
  EXPECT_THROW(validateSettings(settings), InvalidInput);
}

TEST(SettingsReader, SettingsAreValidatedWhenRead) {
  const json category{{"Name", "a"}, {"AimMs", 0}, {"DeadlineMs", 1}, {"Idempotency", "idempotent"}};
  EXPECT_THROW(readSettings({{"Categories", {category}}}), InvalidInput);
}

}  // namespace
