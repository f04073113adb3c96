// A peer that anyone may be sends one improper request: a MSG.PUT whose id is 65,536 bytes long. Ordinary
// clients hand in messages before it and after it. The sender must not end, and every message that it has
// taken on must be delivered or ended by a notice.
#include "standins.h"

using namespace review;

namespace {

constexpr int kDestination = 7;
constexpr long kTimeToLiveMs = 4000;
constexpr long kStrangersTimeToLiveMs = 3'600'000;
// 300 ms after its time is up, and 50 ms by which each limit grows on sockets.
constexpr double kLostAfter = 0.350;
constexpr double kReadyLimit = 10;
constexpr std::size_t kIdBytes = 65536;

int play(Record& record) {
  static std::mutex mutex;
  static std::map<std::string, double> delivered_at;
  auto& discovery = *new Discovery(record);  // its threads run until the player ends
  // An ordinary endpoint: it answers 200 after 600 ms.
  auto& endpoint = *new HttpServer([&](int fd, const HttpRequest& request) {
    const std::string id = request.field("X-Txn");
    record.line("endpoint: call " + id.substr(0, 16) + " (" + std::to_string(id.size()) + " bytes of id)");
    sleepFor(0.6);
    if (!isOpen(fd) || !sendAll(fd, httpAnswer("200 OK"))) {
      record.line("endpoint: the connection of " + id.substr(0, 16) + " has ended before its answer");
      return false;
    }
    record.line("endpoint: 200 for " + id.substr(0, 16));
    const std::lock_guard<std::mutex> lock(mutex);
    delivered_at.emplace(id, now());
    return true;
  });
  discovery.publish(json::array({endpointEntry("e-1", endpoint.address(), kDestination)}));

  Sender sender(record, discovery);
  sender.config()["known"] = discovery.list();
  sender.start();
  if (!sender.waitUntilReady(kReadyLimit)) {
    throw CannotRun("the sender does not get ready: " + sender.lastLogLine());
  }

  std::vector<Message> messages;
  const auto handInFor = [&](double seconds) {
    const double until = now() + seconds;
    const char* classes[] = {"report", "position", "charge"};
    while (now() < until && sender.isRunning()) {
      const char* message_class = classes[messages.size() % 3];
      messages.push_back(handIn(record, sender.port(), message_class, kTimeToLiveMs, kDestination));
      sleepFor(0.1);
    }
  };

  handInFor(3);
  if (troubleIsOn()) {
    const int fd = connectTo(sender.port());
    sendAll(fd,
            putRequest(std::string(kIdBytes, 'a'), "position", kStrangersTimeToLiveMs, kDestination, "x"));
    const std::string answer = Sender::readLine(fd, 3);
    record.line("stranger: MSG.PUT with an id of " + std::to_string(kIdBytes) + " bytes -> " +
                    (answer.empty() ? "no answer" : answer),
                true);
    ::close(fd);
  }
  handInFor(2);

  // The platform starts a sender that has ended again, under its name and address and with its folder.
  int unasked_ends = 0;
  const double play_until = now() + 12;
  while (now() < play_until) {
    if (sender.isRunning()) {
      sleepFor(0.02);
      continue;
    }
    ++unasked_ends;
    record.line("platform: nobody told the sender to end; its last line: " + sender.lastLogLine(), true);
    sleepFor(0.6);
    sender.start();
    sender.waitUntilReady(3);
  }

  int accepted = 0;
  int lost = 0;
  for (const Message& message : messages) {
    if (message.accepted_at < 0) {
      continue;
    }
    ++accepted;
    double end_at = discovery.noticeAt(message.id);
    {
      const std::lock_guard<std::mutex> lock(mutex);
      const auto delivered = delivered_at.find(message.id);
      if (delivered != delivered_at.end() && (end_at < 0 || delivered->second < end_at)) {
        end_at = delivered->second;
      }
    }
    // The excuse for restarts is for those by SIGTERM and SIGKILL. Here the platform stops nothing.
    if (end_at < 0 || end_at > message.expires_at + kLostAfter) {
      ++lost;
      record.line("lost: " + message.id + " c=" + message.message_class +
                  " was taken on, its time was up at " + std::to_string(message.expires_at) +
                  ", its end came " + (end_at < 0 ? "never" : "at " + std::to_string(end_at)));
    }
  }
  record.line("result: the sender ended " + std::to_string(unasked_ends) + " times without being told to; " +
                  std::to_string(accepted) + " messages taken on, " + std::to_string(lost) + " of them lost",
              true);
  if (accepted == 0) {
    throw CannotRun("no message was taken on");
  }
  return unasked_ends > 0 || lost > 0 ? kBroken : kHeld;
}

}  // namespace

int main() {
  ::_exit(runCase(play));
}
