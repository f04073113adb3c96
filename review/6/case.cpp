// Endpoints are replaced while large messages wait for a partner system that hangs. Later one of two senders
// is killed and started again, as in a rolling restart. A charge that the first sender has handed back must
// not be sent by it any more: its client has handed it in at the other sender.
#include "harness.h"

using namespace rv;

namespace {

constexpr int kEndpoints = 3200;
constexpr int kReplacements = 5;
constexpr std::size_t kBodyBytes = 60000;
constexpr int kHanging = 0;  // destinations
constexpr int kSound = 1;

struct Charge {
  Message first;   // as it was handed in at the first sender
  Message second;  // as it was handed in at the other one
  bool again = false;
  double back_at = -1;  // when the platform was told that the first sender hands it back
};

}  // namespace

int main() {
  Calls calls;
  std::mutex mutex;
  std::map<std::string, double> ran_at;  // by message
  Endpoint hanging("s-hanging", kHanging, calls, [](const Call&) { return neverAnswer(); });
  Endpoint sound("s-sound", kSound, calls, [&](const Call& call) {
    std::lock_guard<std::mutex> lock(mutex);
    ran_at.emplace(call.id, now());
    return answerAfter(60);
  });
  json list = json::array({hanging.entry(), sound.entry()});
  for (int i = 2; i < kEndpoints; ++i) {
    char name[40];
    std::snprintf(name, sizeof name, "s-%08x", static_cast<unsigned>(i) * 2654435761U);
    json entry = sound.entry();
    entry["name"] = name;
    entry["address"] = "127.1." + std::to_string(i / 250) + "." + std::to_string(1 + i % 250) + ":6379";
    entry["zone"] = i % 2 == 0 ? "a" : "b";
    entry["group"] = 1 + i / 2;
    list.push_back(std::move(entry));
  }
  Platform platform(list);
  const json limits = {{"cores", 1.0}, {"memory_mb", 96}, {"sockets", 384}, {"disk_mb", 3}};
  Sender sender(smallSettings(), list, platform.address(), false, limits);
  Sender other(smallSettings(), list, platform.address(), false, limits);
  if (!sender.start() || !other.start())
    cannotRun("the senders do not get ready");

  // Large messages for the partner system that hangs.
  Client client(sender.port());
  int large = 0;
  for (int i = 0; i < 22; ++i) {
    Message message = newMessage("position-update", 24000, kHanging);
    message.body = std::string(kBodyBytes, 'x');
    large += client.handIn(message) ? 1 : 0;
  }
  // Charges for one that is sound. They wait for a slot.
  std::vector<Charge> charges;
  for (int i = 0; i < 6; ++i) {
    Charge charge;
    charge.first = newMessage("device-charge", 16000, kSound);
    charge.first.body = "charge " + std::to_string(i);
    if (client.handIn(charge.first))
      charges.push_back(charge);
  }
  const double began_at = now();
  record("client: %d large messages and %zu charges were taken on by the first sender", large,
         charges.size());
  if (large < 20 || charges.empty())
    cannotRun("too little was taken on");

  for (int i = 0; i < kReplacements && withTrouble(); ++i) {
    json gone = list[100 + i];
    json added = gone;
    gone["status"] = "Gone";
    added["name"] = "s-new-" + std::to_string(i);
    platform.change(json::array({gone, added}));
    record("platform: an endpoint is replaced");
    sleepMs(300);
  }

  // Clients hand in again what is handed back, at the other sender, with a new id and the time that is left.
  Client other_client(other.port());
  const auto allBack = [&] {
    return std::all_of(charges.begin(), charges.end(), [](const Charge& charge) { return charge.again; });
  };
  const auto handInAgainUntil = [&](double until, bool until_all_back) {
    while (now() < until && !(until_all_back && allBack())) {
      for (Charge& charge : charges) {
        const std::vector<Notice> notices = platform.notices(charge.first.id);
        if (charge.again || notices.empty() || notices.front().outcome != "handed_back")
          continue;
        charge.again = true;
        charge.back_at = notices.front().at;
        charge.second = newMessage("device-charge", std::floor(charge.first.due() - now()), kSound);
        charge.second.body = charge.first.body;
        other_client.handIn(charge.second);
        record("client: message %s was handed back, and goes to the other sender as %s: %s",
               charge.first.id.c_str(), charge.second.id.c_str(), charge.second.answer.c_str());
      }
      sleepMs(20);
    }
  };
  handInAgainUntil(began_at + 13500, true);
  if (withTrouble()) {
    record("platform: the first sender is killed");
    sender.killNow();
    handInAgainUntil(now() + 600, false);
    if (!sender.start())
      cannotRun("the first sender does not get ready again");
    record("platform: the first sender is ready again");
  }
  handInAgainUntil(began_at + 17000, false);
  // The large messages have ended by then; what comes now needs no more than a call.
  sleepUntil(began_at + 28000);
  Message late = newMessage("position-update", 3000, kSound);
  Client late_client(sender.port());
  late_client.handIn(late);
  record("client: a message at the end: %s", late.answer.c_str());
  sleepMs(1000);

  std::istringstream log(sender.log());
  for (std::string line; std::getline(log, line);) {
    if (line.rfind("level=error", 0) == 0) {
      record("the first sender's log: %s", line.c_str());
      break;
    }
  }

  int after_its_end = 0;
  int twice = 0;
  for (const Charge& charge : charges) {
    const bool ran_first = ran_at.count(charge.first.id) > 0;
    const bool ran_second = charge.again && ran_at.count(charge.second.id) > 0;
    for (const Call& call : calls.of(charge.first.id)) {
      if (charge.again && call.at > charge.back_at) {
        ++after_its_end;
        record("BROKEN: message %s was handed back at %.1f and sent at %.1f", charge.first.id.c_str(),
               charge.back_at, call.at);
      }
    }
    if (ran_first && ran_second) {
      ++twice;
      record("BROKEN: \"%s\" ran twice, as %s and as %s", charge.first.body.c_str(), charge.first.id.c_str(),
             charge.second.id.c_str());
    }
  }
  record("result: of %zu charges %d were sent after they had been handed back, and %d ran twice",
         charges.size(), after_its_end, twice);
  return after_its_end + twice > 0 ? 1 : 0;
}
