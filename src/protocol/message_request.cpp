#include "protocol/message_request.h"

#include <algorithm>
#include <cstdlib>
#include <optional>

#include "protocol/delivery_request.h"

namespace delivery {

namespace {

constexpr std::int64_t kMaxTimeToLiveMs = 24LL * 3600 * 1000;
constexpr std::size_t kMaxDigits = 18;  // every number of 18 digits fits into 64 bits
// Ids and idempotency keys are sent as header fields, whose size servers limit.
constexpr std::size_t kMaxIdBytes = 256;
constexpr std::size_t kMaxIdempotencyKeyBytes = 256;

// Positions of the arguments in "MSG.PUT order-key id fields body".
constexpr std::size_t kOrderKeyIndex = 1;
constexpr std::size_t kIdIndex = 2;
constexpr std::size_t kFieldListIndex = 3;
constexpr std::size_t kBodyIndex = 4;
constexpr std::size_t kMessageArgumentCount = 5;

std::optional<std::int64_t> parseWholeNumber(const std::string& text) {
  if (text.empty() || text.size() > kMaxDigits || text.find_first_not_of("0123456789") != std::string::npos) {
    return std::nullopt;
  }
  return std::strtoll(text.c_str(), nullptr, 10);
}

std::string toUpper(std::string text) {
  for (char& c : text) {
    if (c >= 'a' && c <= 'z') {
      c = static_cast<char>(c - 'a' + 'A');
    }
  }
  return text;
}

// Reads the field list of MSG.PUT, such as "c=notice,d=8000,...", into a message. Unknown fields are ignored.
class FieldListReader {
 public:
  explicit FieldListReader(SubmittedMessage& message) : message_(message) {}

  std::optional<RequestError> read(const std::string& list) {
    for (std::size_t begin = 0; begin < list.size();) {
      const std::size_t end = std::min(list.find(',', begin), list.size());
      if (const auto error = readEntry(list.substr(begin, end - begin))) {
        return error;
      }
      begin = end + 1;
    }
    return findMissingField();
  }

 private:
  std::optional<RequestError> readEntry(const std::string& entry) {
    const std::size_t equals = entry.find('=');
    if (equals == std::string::npos) {
      return RequestError::malformed_field_list;
    }
    return readField(entry.substr(0, equals), entry.substr(equals + 1));
  }

  std::optional<RequestError> readField(const std::string& name, const std::string& value) {
    if (name == "c") {
      message_.message_class = value;
    } else if (name == "t") {
      message_.tenant = value;
    } else if (name == "k") {
      message_.idempotency_key = value;
    } else if (name == "r" || name == "again") {
      message_.is_retry = message_.is_retry || value == "1";
    } else if (name == "d") {
      return readTimeToLive(value);
    } else if (name == "dest") {
      return readDestination(value);
    }
    return std::nullopt;
  }

  std::optional<RequestError> readTimeToLive(const std::string& value) {
    const std::optional<std::int64_t> milliseconds = parseWholeNumber(value);
    if (!milliseconds || *milliseconds == 0 || *milliseconds > kMaxTimeToLiveMs) {
      return RequestError::malformed_time_to_live;
    }
    message_.time_to_live = *milliseconds * kMicrosPerMillisecond;
    has_time_to_live_ = true;
    return std::nullopt;
  }

  std::optional<RequestError> readDestination(const std::string& value) {
    const std::optional<std::int64_t> destination = parseWholeNumber(value);
    if (!destination) {
      return RequestError::malformed_destination;
    }
    message_.destination = *destination;
    has_destination_ = true;
    return std::nullopt;
  }

  std::optional<RequestError> findMissingField() const {
    if (message_.message_class.empty()) {
      return RequestError::missing_class;
    }
    if (!has_time_to_live_) {
      return RequestError::missing_time_to_live;
    }
    if (!has_destination_) {
      return RequestError::missing_destination;
    }
    return std::nullopt;
  }

  SubmittedMessage& message_;
  bool has_time_to_live_ = false;
  bool has_destination_ = false;
};

ClientRequest parseMessage(const std::vector<std::string>& arguments) {
  if (arguments.size() != kMessageArgumentCount) {
    return RequestError::wrong_argument_count;
  }
  SubmittedMessage message;
  // An order key of zeros only means that the message has none.
  if (arguments[kOrderKeyIndex].find_first_not_of('0') != std::string::npos) {
    message.order_key = arguments[kOrderKeyIndex];
  }
  message.id = arguments[kIdIndex];
  message.body = arguments[kBodyIndex];
  if (message.id.empty() || message.id.size() > kMaxIdBytes || !isHeaderFieldValue(message.id)) {
    return RequestError::malformed_id;
  }
  if (const auto error = FieldListReader(message).read(arguments[kFieldListIndex])) {
    return *error;
  }
  if (message.idempotency_key.size() > kMaxIdempotencyKeyBytes ||
      !isHeaderFieldValue(message.idempotency_key)) {
    return RequestError::malformed_idempotency_key;
  }
  return message;
}

}  // namespace

const char* errorReply(RequestError error) {
  switch (error) {
    case RequestError::unknown_command:
      return "-ERR unknown command";
    case RequestError::wrong_argument_count:
      return "-ERR wrong number of arguments";
    case RequestError::malformed_id:
      return "-ERR malformed id";
    case RequestError::malformed_field_list:
      return "-ERR malformed list of values";
    case RequestError::malformed_time_to_live:
      return "-ERR malformed d";
    case RequestError::malformed_destination:
      return "-ERR malformed dest";
    case RequestError::malformed_idempotency_key:
      return "-ERR malformed k";
    case RequestError::missing_class:
      return "-ERR no class";
    case RequestError::missing_time_to_live:
      return "-ERR no d";
    case RequestError::missing_destination:
      return "-ERR no dest";
  }
  return "-ERR";
}

ClientRequest parseClientRequest(const std::vector<std::string>& arguments) {
  const std::string command = toUpper(arguments.front());
  if (command == "PING") {
    if (arguments.size() > 1) {
      return RequestError::wrong_argument_count;
    }
    return PingRequest{};
  }
  if (command == "MSG.PUT") {
    return parseMessage(arguments);
  }
  return RequestError::unknown_command;
}

}  // namespace delivery
