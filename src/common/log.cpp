#include "common/log.h"

#include <iostream>

namespace delivery {
namespace {

constexpr char kLastControlCharacter = 0x1f;
constexpr char kDeleteCharacter = 0x7f;

std::string_view nameOf(LogLevel level) {
  switch (level) {
    case LogLevel::info:
      return "info";
    case LogLevel::warning:
      return "warning";
    case LogLevel::error:
      return "error";
  }
  return "unknown";
}

bool isControlCharacter(char c) {
  return (c >= 0 && c <= kLastControlCharacter) || c == kDeleteCharacter;
}

bool needsQuoting(std::string_view value) {
  if (value.empty()) {
    return true;
  }
  for (const char c : value) {
    if (c == ' ' || c == '"' || c == '=' || c == '\\' || isControlCharacter(c)) {
      return true;
    }
  }
  return false;
}

// Replaces control characters by spaces, so that a value can't end the log line or control a terminal.
std::string quoted(std::string_view value) {
  std::string result = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      result += '\\';
    }
    result += isControlCharacter(c) ? ' ' : c;
  }
  return result + '"';
}

}  // namespace

LogLine::LogLine(LogLevel level, std::string_view component, std::string_view event) {
  field("level", nameOf(level));
  field("component", component);
  field("event", event);
}

LogLine::~LogLine() {
  std::cerr << text_ + '\n';
}

LogLine& LogLine::field(std::string_view name, std::string_view value) {
  if (!text_.empty()) {
    text_ += ' ';
  }
  text_ += name;
  text_ += '=';
  text_ += needsQuoting(value) ? quoted(value) : std::string(value);
  return *this;
}

}  // namespace delivery
