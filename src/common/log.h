// Log lines on standard error, one format for all: level, component, event and named fields, as key=value
// pairs.
//
//     level=info component=journal event=recovered messages=17 summary="212 records in 40960 bytes"
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

namespace delivery {

enum class LogLevel { info, warning, error };

// One line. It is written when the object ends, in one piece, so that a statement reads as one event:
//
//     logInfo("handover", "released").field("calls_in_flight", calls.size());
class LogLine {
 public:
  LogLine(LogLevel level, std::string_view component, std::string_view event);
  ~LogLine();
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;

  // A value with blanks, quotes or control characters is quoted and escaped.
  LogLine& field(std::string_view name, std::string_view value);

  template <class Integer, std::enable_if_t<std::is_integral_v<Integer>, int> = 0>
  LogLine& field(std::string_view name, Integer value) {
    return field(name, std::string_view(std::to_string(value)));
  }

  const std::string& text() const { return text_; }

 private:
  std::string text_;
};

inline LogLine logInfo(std::string_view component, std::string_view event) {
  return LogLine(LogLevel::info, component, event);
}
inline LogLine logWarning(std::string_view component, std::string_view event) {
  return LogLine(LogLevel::warning, component, event);
}
inline LogLine logError(std::string_view component, std::string_view event) {
  return LogLine(LogLevel::error, component, event);
}

}  // namespace delivery
