// Settings and single fields that are out of range, missing or of the wrong type.
#include "protocol/settings_reader.h"

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

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
    EXPECT_EQ(InputProblem::out_of_range, e.problem());
    EXPECT_EQ("slots", e.field());
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

// Operators find these texts in the log and in replies of the simulator's adapter.
TEST(JsonFields, ErrorsNameTheFieldAndTheProblem) {
  const json object{{"name", "a"}, {"null", nullptr}, {"word", "unknown"}};
  const EnumWord<bool> words[] = {{"yes", true}, {"no", false}};
  struct Case {
    std::function<void()> read;
    InputProblem problem;
    const char* field;
    const char* message;
  };
  const std::vector<Case> cases{
      {[&] { readNumber(object, "count"); }, InputProblem::missing, "count", "missing field count"},
      {[&] { readNumber(object, "name"); }, InputProblem::wrong_type, "name", "not a number: name"},
      {[&] { readInteger(object, "name"); }, InputProblem::wrong_type, "name", "not a whole number: name"},
      {[&] { readString(object, "null"); }, InputProblem::wrong_type, "null", "not a text: null"},
      {[&] { readBoolean(object, "name"); }, InputProblem::wrong_type, "name", "not true or false: name"},
      {[&] { readArray(object, "name"); }, InputProblem::wrong_type, "name", "not an array: name"},
      {[&] { readObject(object, "name"); }, InputProblem::wrong_type, "name", "not an object: name"},
      {[&] { enumFromWord(readString(object, "word"), words, "word"); }, InputProblem::unknown_value, "word",
       "unknown value of word: unknown"},
  };
  for (const Case& c : cases) {
    try {
      c.read();
      ADD_FAILURE() << c.message;
    } catch (const InvalidInput& error) {
      EXPECT_EQ(c.problem, error.problem()) << c.message;
      EXPECT_EQ(c.field, error.field()) << c.message;
      EXPECT_STREQ(c.message, error.what());
    }
  }
}

TEST(JsonFields, MissingAndNullFieldsGiveTheDefault) {
  const json object{{"null", nullptr}, {"delay", 1.5}};
  EXPECT_EQ(7, readNumber(object, "count", 7));
  EXPECT_EQ("other", readString(object, "null", "other"));
  EXPECT_TRUE(readBoolean(object, "null", true));
  EXPECT_EQ(1500, readMilliseconds(object, "delay", 20));
  EXPECT_EQ(20, readMilliseconds(object, "null", 20));
  EXPECT_TRUE(readOptionalObject(object, "null").empty());
}

}  // namespace
