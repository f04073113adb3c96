#include "protocol/resp.h"

#include <utility>

namespace delivery {
namespace {

constexpr std::size_t kMaxLengthDigits = 8;
constexpr std::string_view kLineEnd = "\r\n";

// A part of a request, or the reason why it could not be parsed.
using LengthResult = std::variant<std::size_t, RespIncomplete, RespProtocolError>;
using ArgumentResult = std::variant<std::string, RespIncomplete, RespProtocolError>;

RespProtocolError protocolError(const std::string& reason) {
  return {"Protocol error: " + reason};
}

bool isDigit(char c) {
  return c >= '0' && c <= '9';
}

// Converts the result of a part that could not be parsed to the result of the enclosing element.
template <class Result, class Part>
Result propagateFailure(const Part& part) {
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
      return propagateFailure<RespParseResult>(parsed_count);
    }
    if (*count == 0) {
      return protocolError("empty request");
    }
    RespRequest request;
    while (request.arguments.size() < *count) {
      ArgumentResult parsed_argument = parseArgument();
      auto* argument = std::get_if<std::string>(&parsed_argument);
      if (argument == nullptr) {
        return propagateFailure<RespParseResult>(parsed_argument);
      }
      request.arguments.push_back(std::move(*argument));
    }
    request.consumed_bytes = position_;
    return request;
  }

 private:
  // Parses "$<length>\r\n<bytes>\r\n".
  ArgumentResult parseArgument() {
    const LengthResult parsed_length = parseLength('$', kMaxRespArgumentBytes);
    const auto* length = std::get_if<std::size_t>(&parsed_length);
    if (length == nullptr) {
      return propagateFailure<ArgumentResult>(parsed_length);
    }
    total_argument_bytes_ += *length;
    if (total_argument_bytes_ > kMaxRespTotalArgumentBytes) {
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

  // Parses "<prefix><digits>\r\n". A length that is already known to be invalid is rejected before its line
  // is complete.
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
  std::size_t position_ = 0;              // index of the next byte to parse
  std::size_t total_argument_bytes_ = 0;  // total length of the arguments parsed so far
};

}  // namespace

RespParseResult parseRespRequest(std::string_view input) {
  return RequestParser(input).parse();
}

}  // namespace delivery
