// Strict reading of single fields of a JSON object. All code of this program that reads JSON uses these
// functions, so that an error always names the field. Header only: the simulator adapter uses it without
// linking the sender's library.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

#include "common/deadline.h"

namespace delivery {

using nlohmann::json;

enum class InputProblem {
  missing,        // a required field does not exist
  wrong_type,     // the value of the field has another JSON type than expected
  unknown_value,  // the type is correct, but the value is not one of the allowed values
  out_of_range,   // a number is too small, too large or contradicts another one
  malformed,      // the input as a whole can't be parsed
};

// Thrown for input that can't be used: configuration, settings, endpoint lists of the discovery service,
// messages on the handover link and lines of the simulator. what() is the complete message for the log or the
// caller.
class InvalidInput : public std::runtime_error {
 public:
  InvalidInput(InputProblem problem, std::string field, const std::string& message)
      : std::runtime_error(message), problem_(problem), field_(std::move(field)) {}

  InputProblem problem() const { return problem_; }
  // The name of the field, preceded by the names of its parents where they are known; empty if the error does
  // not belong to a field.
  const std::string& field() const { return field_; }

 private:
  InputProblem problem_;
  std::string field_;
};

// How many arrays and objects of a JSON text may be open at once. Copying and writing a value takes stack
// space for each level.
constexpr std::size_t kMaxJsonDepth = 64;

// The size of a JSON text, which says how much memory its value takes. Each of them is at most the given one.
struct JsonSize {
  std::size_t depth = 0;   // how many arrays and objects are open at once
  std::size_t values = 1;  // numbers, strings, arrays and so on
};

// Measures a text without parsing it. The text need not be valid JSON.
inline JsonSize measureJson(std::string_view text) {
  JsonSize size;
  std::size_t depth = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (c == '"') {
      in_string = !in_string;
    } else if (in_string) {
      i += c == '\\' ? 1 : 0;  // the escaped character may be a quotation mark
    } else if (c == '[' || c == '{') {
      size.depth = std::max(size.depth, ++depth);
      ++size.values;
    } else if (c == ',') {
      ++size.values;
    } else if ((c == ']' || c == '}') && depth > 0) {
      --depth;
    }
  }
  return size;
}

constexpr std::size_t kUnlimitedJsonValues = SIZE_MAX;

// Parses a JSON text. Throws InvalidInput if it is malformed, nested too deeply or has more values than
// `max_values`.
inline json parseJson(std::string_view text, std::size_t max_values = kUnlimitedJsonValues) {
  const JsonSize size = measureJson(text);
  if (size.depth > kMaxJsonDepth) {
    throw InvalidInput(InputProblem::malformed, "", "JSON is nested too deeply");
  }
  if (size.values > max_values) {
    throw InvalidInput(InputProblem::out_of_range, "", "JSON has too many values");
  }
  json value = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (value.is_discarded()) {
    throw InvalidInput(InputProblem::malformed, "", "not JSON");
  }
  return value;
}

// The functions below throw InvalidInput if the field is missing or has another type. The functions with a
// default value return it if the field is missing or null.

inline const json& requireField(const json& object, const char* name) {
  const auto found = object.find(name);
  if (found == object.end()) {
    throw InvalidInput(InputProblem::missing, name, std::string("missing field ") + name);
  }
  return *found;
}

// Whether the field is missing or null. `object` may be any JSON value: a value that is not an object has no
// fields.
inline bool isAbsent(const json& object, const char* name) {
  const auto found = object.find(name);
  return found == object.end() || found->is_null();
}

inline InvalidInput wrongType(const char* name, const char* expected) {
  return InvalidInput(InputProblem::wrong_type, name, std::string("not ") + expected + ": " + name);
}

inline double readNumber(const json& object, const char* name) {
  const json& value = requireField(object, name);
  if (!value.is_number()) {
    throw wrongType(name, "a number");
  }
  return value.get<double>();
}

inline double readNumber(const json& object, const char* name, double default_value) {
  return isAbsent(object, name) ? default_value : readNumber(object, name);
}

inline std::int64_t readInteger(const json& object, const char* name) {
  const json& value = requireField(object, name);
  if (!value.is_number_integer()) {
    throw wrongType(name, "a whole number");
  }
  return value.get<std::int64_t>();
}

inline std::string readString(const json& object, const char* name) {
  const json& value = requireField(object, name);
  if (!value.is_string()) {
    throw wrongType(name, "a text");
  }
  return value.get<std::string>();
}

inline std::string readString(const json& object, const char* name, const char* default_value) {
  return isAbsent(object, name) ? default_value : readString(object, name);
}

inline bool readBoolean(const json& object, const char* name) {
  const json& value = requireField(object, name);
  if (!value.is_boolean()) {
    throw wrongType(name, "true or false");
  }
  return value.get<bool>();
}

inline bool readBoolean(const json& object, const char* name, bool default_value) {
  return isAbsent(object, name) ? default_value : readBoolean(object, name);
}

inline const json& readArray(const json& object, const char* name) {
  const json& value = requireField(object, name);
  if (!value.is_array()) {
    throw wrongType(name, "an array");
  }
  return value;
}

inline const json& readObject(const json& object, const char* name) {
  const json& value = requireField(object, name);
  if (!value.is_object()) {
    throw wrongType(name, "an object");
  }
  return value;
}

// Returns an empty object if the field is missing or null.
inline const json& readOptionalObject(const json& object, const char* name) {
  static const json empty_object = json::object();
  return isAbsent(object, name) ? empty_object : readObject(object, name);
}

inline Micros microsFromMilliseconds(double milliseconds) {
  return static_cast<Micros>(std::llround(milliseconds * static_cast<double>(kMicrosPerMillisecond)));
}

inline double millisecondsFromMicros(Micros micros) {
  return static_cast<double>(micros) / static_cast<double>(kMicrosPerMillisecond);
}

// Reads a time span or a point in time. The input is in milliseconds, possibly with fractions; the result is
// in microseconds.
inline Micros readMilliseconds(const json& object, const char* name) {
  return microsFromMilliseconds(readNumber(object, name));
}

inline Micros readMilliseconds(const json& object, const char* name, Micros default_value) {
  return isAbsent(object, name) ? default_value : readMilliseconds(object, name);
}

// The name of an enumeration value in the input. Each enumeration that is read from the input has one table
// of these, next to the function that reads it.
template <class Enum>
struct EnumName {
  const char* name;
  Enum value;
};

// Returns the enumeration value called `name`. If there is none, throws an InvalidInput with the name of the
// field and `name`.
template <class Enum, std::size_t Count>
Enum enumFromName(const std::string& name, const EnumName<Enum> (&names)[Count], const char* field_name) {
  for (const EnumName<Enum>& entry : names) {
    if (name == entry.name) {
      return entry.value;
    }
  }
  throw InvalidInput(InputProblem::unknown_value, field_name,
                     std::string("unknown value of ") + field_name + ": " + name);
}

}  // namespace delivery
