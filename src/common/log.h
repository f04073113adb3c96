// Writes log lines to standard error. All lines have the same format: level, component, event and named
// fields as key=value pairs.
//
//     level=info component=journal event=recovered messages=17 summary="212 records in 40960 bytes"
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

namespace delivery {

enum class LogLevel { info, warning, error };

// One log line. The destructor writes the whole line with a single call, so that one statement logs one
// event:
//
//     logInfo("handover", "released").field("calls_in_flight", calls.size());
class LogLine {
 public:
  LogLine(LogLevel level, std::string_view component, std::string_view event);
  ~LogLine();
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;

  // Appends a field. A value that is empty or contains a space, a quote, an equals sign, a backslash or a
  // control character is quoted and escaped.
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
