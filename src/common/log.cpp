#include "common/log.h"

#include <iostream>

namespace delivery {
namespace {

constexpr char kLastControlCharacter = 0x1f;
constexpr char kDelete = 0x7f;

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
  return (c >= 0 && c <= kLastControlCharacter) || c == kDelete;
}

bool needsQuotes(std::string_view value) {
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

// Control characters become blanks: a value must not end its line, nor write to a terminal.
std::string quoted(std::string_view value) {
  std::string out = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      out += '\\';
    }
    out += isControlCharacter(c) ? ' ' : c;
  }
  return out + '"';
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
  text_ += needsQuotes(value) ? quoted(value) : std::string(value);
  return *this;
}

}  // namespace delivery
