// Strict reading of single fields of a JSON object. All readers of JSON in this program use it, so that an
// error always names the field. Header only: the simulator's adapter uses it without linking the sender's
// library.
#pragma once

#include <cmath>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <utility>

#include "common/deadline.h"

namespace delivery {

using nlohmann::json;

enum class InputProblem {
  missing,        // a required field is not there
  wrong_type,     // the field holds another type of JSON value than is wanted
  unknown_value,  // the type is right, but the value is none of those allowed
  out_of_range,   // a figure is too small, too large or contradicts another one
  malformed,      // the input as a whole can't be read
};

// Input that can't be used: configuration, settings, discovery's lists and messages of the handover link.
// what() is the whole message for the log or the caller.
class InvalidInput : public std::runtime_error {
 public:
  InvalidInput(InputProblem problem, std::string field, const std::string& message)
      : std::runtime_error(message), problem_(problem), field_(std::move(field)) {}

  InputProblem problem() const { return problem_; }
  // The name of the field, with its parents' names where they are known; empty if no field is at fault.
  const std::string& field() const { return field_; }

 private:
  InputProblem problem_;
  std::string field_;
};

// Every reader below throws InvalidInput if the field is missing or of another type. Those with a default
// give it back if the field is missing or null.

inline const json& requireField(const json& object, const char* name) {
  const auto found = object.find(name);
  if (found == object.end()) {
    throw InvalidInput(InputProblem::missing, name, std::string("missing field ") + name);
  }
  return *found;
}

// Missing or null. `object` may be any JSON value: one that is not an object has no fields.
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

// An empty object if the field is missing or null.
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

// A time span or a point in time that the input gives in milliseconds, with fractions, as microseconds.
inline Micros readMilliseconds(const json& object, const char* name) {
  return microsFromMilliseconds(readNumber(object, name));
}

inline Micros readMilliseconds(const json& object, const char* name, Micros default_value) {
  return isAbsent(object, name) ? default_value : readMilliseconds(object, name);
}

// A word of the input and the value of an enumeration that it stands for. Each enumeration that is read has
// one table of these, next to its reader.
template <class Enum>
struct EnumWord {
  const char* word;
  Enum value;
};

// The value that `word` stands for; throws InvalidInput that names the field and the word if it is none of
// them.
template <class Enum, std::size_t Count>
Enum enumFromWord(const std::string& word, const EnumWord<Enum> (&words)[Count], const char* field_name) {
  for (const EnumWord<Enum>& entry : words) {
    if (word == entry.word) {
      return entry.value;
    }
  }
  throw InvalidInput(InputProblem::unknown_value, field_name,
                     std::string("unknown value of ") + field_name + ": " + word);
}

}  // namespace delivery
