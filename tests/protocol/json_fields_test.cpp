// Tests the reading of single JSON fields that are missing, null or of the wrong type.
#include "protocol/json_fields.h"

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

namespace delivery {
namespace {

// Guards against a text whose nesting exhausts the stack when its value is copied or written.
TEST(JsonFields, TextsThatAreNestedTooDeeplyAreRejected) {
  const std::string open(kMaxJsonDepth, '[');
  const std::string close(kMaxJsonDepth, ']');
  EXPECT_TRUE(parseJson(open + close).is_array());
  std::string with_brackets_in_a_string = R"(["\")";
  with_brackets_in_a_string.append(open).append(open).append("\",").append(open.substr(1)).append(close);
  EXPECT_TRUE(parseJson(with_brackets_in_a_string).is_array());
  std::string too_deep = open;
  too_deep.append("{}").append(close);
  for (const std::string& text : {too_deep, std::string(1'000'000, '['), std::string("[1"), std::string()}) {
    EXPECT_THROW(parseJson(text), InvalidInput) << text.substr(0, 100);
  }
}

// Operators find these texts in the log and in the error output of the simulator adapter.
TEST(JsonFields, ErrorsNameTheFieldAndTheProblem) {
  const json object{{"name", "a"}, {"null", nullptr}, {"word", "unknown"}};
  const EnumName<bool> names[] = {{"yes", true}, {"no", false}};
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
      {[&] { enumFromName(readString(object, "word"), names, "word"); }, InputProblem::unknown_value, "word",
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

TEST(JsonFields, MissingAndNullFieldsHaveTheDefaultValue) {
  const json object{{"null", nullptr}, {"delay", 1.5}};
  EXPECT_EQ(7, readNumber(object, "count", 7));
  EXPECT_EQ("other", readString(object, "null", "other"));
  EXPECT_TRUE(readBoolean(object, "null", true));
  EXPECT_EQ(1500, readMilliseconds(object, "delay", 20));
  EXPECT_EQ(20, readMilliseconds(object, "null", 20));
  EXPECT_TRUE(readOptionalObject(object, "null").empty());
}

// Guards against a text that is small and takes much memory: the number of its values is limited before it is
// parsed. What looks like a value within a string is none.
TEST(JsonFields, ATextWithTooManyValuesIsRejected) {
  EXPECT_EQ(3u, parseJson("[1,2,3]", 4).size());
  EXPECT_THROW(parseJson("[1,2,3]", 3), InvalidInput);
  EXPECT_THROW(parseJson(R"({"a":{"b":[]}})", 3), InvalidInput);
  EXPECT_EQ(R"(,[",{)", parseJson(R"([",[\",{"])", 2)[0].get<std::string>());
}

}  // namespace
}  // namespace delivery
