// Clients hand in messages whose bodies hold bytes of a journal: whole records, as docs/journal.md describes
// them. The sender is killed outright and started again, now and then. An endpoint must only get messages
// that a client has handed in.
#include "standins.h"

using namespace review;

namespace {

constexpr int kDestination = 7;
constexpr long kTimeToLiveMs = 10000;
constexpr double kReadyLimit = 10;
constexpr int kConnections = 18;
constexpr std::size_t kBodyBytes = 65536;  // the most that PROTOCOL allows
constexpr double kPlayFor = 85;
constexpr double kPlayWithoutTroubleFor = 15;
constexpr double kStartAfterKill = 0.6;
// The kill comes once the sender's folder has grown by some messages, or after this time.
constexpr std::int64_t kKillAfterBytes = 200'000;
constexpr double kKillAfter = 0.03;
constexpr std::uint64_t kSequenceNumber = 1ULL << 40;
const std::string kStrangeId = "feedfacefeedface";

std::uint32_t crc32(const std::string& bytes) {
  std::uint32_t crc = ~0U;
  for (const char byte : bytes) {
    crc ^= static_cast<unsigned char>(byte);
    for (int bit = 0; bit < 8; ++bit) {
      crc = (crc >> 1) ^ (0xEDB88320U & (0U - (crc & 1U)));
    }
  }
  return ~crc;
}

void number(std::string& out, std::uint64_t value, int bytes) {
  for (int i = 0; i < bytes; ++i) {
    out.push_back(static_cast<char>(value >> (8 * i)));
  }
}

void text(std::string& out, const std::string& value) {
  number(out, value.size(), 4);
  out += value;
}

// The record of an accepted message in the format of docs/journal.md.
std::string journalRecord() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  const auto unix_us = std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count();
  constexpr std::uint64_t kLifeUs = 60'000'000;
  std::string payload;
  number(payload, kSequenceNumber, 8);
  payload += 'A';
  text(payload, kStrangeId);
  text(payload, "charge");
  text(payload, "");
  text(payload, "");
  text(payload, "a charge that nobody has handed in");
  number(payload, kDestination, 8);
  number(payload, static_cast<std::uint64_t>(unix_us) + kLifeUs, 8);
  payload.push_back(0);
  text(payload, "main");
  number(payload, kLifeUs, 8);
  std::string record = "\xA7GJ2";
  number(record, payload.size(), 4);
  number(record, crc32(payload), 4);
  number(record, crc32(record), 4);
  return record + payload;
}

std::string bodyOfRecords() {
  const std::string record = journalRecord();
  std::string body;
  while (body.size() + record.size() <= kBodyBytes) {
    body += record;
  }
  return body;
}

// The bytes that the sender's folder holds, as the platform counts them.
std::int64_t journalBytes() {
  static const std::string path = std::string(std::getenv("WORK")) + "/state/journal";
  struct stat status {};
  return ::stat(path.c_str(), &status) == 0 ? status.st_size : 0;
}

int play(Record& record) {
  static std::mutex mutex;
  static std::map<std::string, std::string> handed_in;  // bodies by id
  static std::atomic<int> foreign_calls{0};
  static std::atomic<int> calls{0};
  auto& discovery = *new Discovery(record);  // its threads run until the player ends
  auto& endpoint = *new HttpServer([&](int fd, const HttpRequest& request) {
    const std::string id = request.field("X-Txn");
    bool is_known = false;
    {
      const std::lock_guard<std::mutex> lock(mutex);
      const auto found = handed_in.find(id);
      is_known = found != handed_in.end() && found->second == request.body;
    }
    ++calls;
    if (is_known) {
      record.line("endpoint: 200 for " + id);
      return sendAll(fd, httpAnswer("200 OK"));
    }
    ++foreign_calls;
    record.line(
        "endpoint: 400 for " + id + ", which no client has handed in; body: " + request.body.substr(0, 60),
        true);
    return sendAll(fd, httpAnswer("400 Bad Request"));
  });
  discovery.publish(json::array({endpointEntry("e-1", endpoint.address(), kDestination)}));
  Sender sender(record, discovery);
  sender.config()["known"] = discovery.list();
  sender.start();
  if (!sender.waitUntilReady(kReadyLimit)) {
    throw CannotRun("the sender does not get ready: " + sender.lastLogLine());
  }

  int kills = 0;
  int accepted = 0;
  const double play_until = now() + (troubleIsOn() ? kPlayFor : kPlayWithoutTroubleFor);
  while (now() < play_until && foreign_calls == 0) {
    const std::string body = bodyOfRecords();
    std::vector<int> connections;
    std::vector<std::string> ids;
    for (int i = 0; i < kConnections; ++i) {
      connections.push_back(connectTo(sender.port()));
      ids.push_back(newId());
      const std::lock_guard<std::mutex> lock(mutex);
      handed_in[ids.back()] = body;
    }
    const std::int64_t bytes_before = journalBytes();
    for (int i = 0; i < kConnections; ++i) {
      sendAll(connections[i], putRequest(ids[i], "position", kTimeToLiveMs, kDestination, body));
    }
    if (troubleIsOn()) {
      const double kill_at = now() + kKillAfter;
      while (now() < kill_at && journalBytes() < bytes_before + kKillAfterBytes) {
      }
      ++kills;
      sender.kill();
    }
    for (int i = 0; i < kConnections; ++i) {
      const std::string answer = Sender::readLine(connections[i], 0.4);
      accepted += answer == "+OK" ? 1 : 0;
      record.line("client: " + ids[i] + " -> " + (answer.empty() ? "no answer" : answer));
      ::close(connections[i]);
    }
    if (troubleIsOn()) {
      sleepFor(kStartAfterKill);
      sender.start();
      if (!sender.waitUntilReady(kReadyLimit)) {
        throw CannotRun("the sender does not get ready: " + sender.lastLogLine());
      }
    }
    sleepFor(0.3);
  }
  record.line("result: " + std::to_string(kills) + " kills, " + std::to_string(accepted) +
                  " messages taken on, " + std::to_string(calls) + " calls, " +
                  std::to_string(foreign_calls) + " of them for a message that no client has handed in",
              true);
  if (calls == 0) {
    throw CannotRun("the endpoint got no call");
  }
  return foreign_calls > 0 ? kBroken : kHeld;
}

}  // namespace

int main() {
  ::_exit(runCase(play));
}
