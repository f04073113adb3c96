#include "protocol/resp.h"

#include <utility>

namespace delivery {
namespace {

constexpr std::size_t kMaxLengthDigits = 8;
constexpr std::string_view kLineEnd = "\r\n";

// A part of a request, or why it could not be parsed.
using LengthResult = std::variant<std::size_t, RespIncomplete, RespProtocolError>;
using ArgumentResult = std::variant<std::string, RespIncomplete, RespProtocolError>;

RespProtocolError protocolError(const std::string& what) {
  return {"Protocol error: " + what};
}

bool isDigit(char c) {
  return c >= '0' && c <= '9';
}

// Passes on why a part could not be parsed as the result of the whole.
template <class Result, class Part>
Result stoppedBy(const Part& part) {
  if (const auto* error = std::get_if<RespProtocolError>(&part)) {
    return *error;
  }
  return RespIncomplete{};
}

class RequestParser {
 public:
  explicit RequestParser(std::string_view input) : input_(input) {}

  RespParseResult parse() {
    const LengthResult parsed_count = parseLength('*', kMaxRespArguments);
    const auto* count = std::get_if<std::size_t>(&parsed_count);
    if (count == nullptr) {
      return stoppedBy<RespParseResult>(parsed_count);
    }
    if (*count == 0) {
      return protocolError("empty request");
    }
    RespRequest request;
    while (request.arguments.size() < *count) {
      ArgumentResult parsed_argument = parseArgument();
      auto* argument = std::get_if<std::string>(&parsed_argument);
      if (argument == nullptr) {
        return stoppedBy<RespParseResult>(parsed_argument);
      }
      request.arguments.push_back(std::move(*argument));
    }
    request.consumed_bytes = position_;
    return request;
  }

 private:
  // "$<length>\r\n<bytes>\r\n"
  ArgumentResult parseArgument() {
    const LengthResult parsed_length = parseLength('$', kMaxRespArgumentBytes);
    const auto* length = std::get_if<std::size_t>(&parsed_length);
    if (length == nullptr) {
      return stoppedBy<ArgumentResult>(parsed_length);
    }
    arguments_size_ += *length;
    if (arguments_size_ > 2 * kMaxRespArgumentBytes) {
      return protocolError("too long");
    }
    if (input_.size() - position_ < *length + kLineEnd.size()) {
      return RespIncomplete{};
    }
    if (input_.substr(position_ + *length, kLineEnd.size()) != kLineEnd) {
      return protocolError("a string without its end");
    }
    std::string argument(input_.substr(position_, *length));
    position_ += *length + kLineEnd.size();
    return argument;
  }

  // "<prefix><digits>\r\n". A length that can only turn out invalid is rejected before its line is complete.
  LengthResult parseLength(char prefix, std::size_t max) {
    if (position_ >= input_.size()) {
      return RespIncomplete{};
    }
    if (input_[position_] != prefix) {
      return protocolError(std::string("expected '") + prefix + "'");
    }
    std::size_t end = position_ + 1;
    std::size_t value = 0;
    std::size_t digits = 0;
    while (end < input_.size() && isDigit(input_[end]) && digits < kMaxLengthDigits) {
      value = 10 * value + static_cast<std::size_t>(input_[end] - '0');
      ++digits;
      ++end;
    }
    if (end < input_.size() && (input_[end] != '\r' || digits == 0)) {
      return protocolError("invalid length");
    }
    if (value > max) {
      return protocolError("too long");
    }
    if (end + 1 >= input_.size()) {
      return RespIncomplete{};
    }
    if (input_[end + 1] != '\n') {
      return protocolError("invalid length");
    }
    position_ = end + kLineEnd.size();
    return value;
  }

  std::string_view input_;
  std::size_t position_ = 0;        // of the next byte to parse
  std::size_t arguments_size_ = 0;  // bytes of the arguments so far
};

}  // namespace

RespParseResult parseRespRequest(std::string_view input) {
  return RequestParser(input).parse();
}

}  // namespace delivery
