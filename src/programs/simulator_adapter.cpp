// The adapter between the simulator's wire (lines of JSON on standard input and output) and the
// decision module. It translates and keeps many isolated instances; it decides nothing.
#include <algorithm>
#include <iostream>
#include <map>

#include "protocol/settings_reader.h"

using namespace delivery;

namespace {

constexpr EnumWord<AttemptResult> kAttemptResultWords[] = {
    {"success", AttemptResult::ok},
    {"failure", AttemptResult::error},
    {"overloaded", AttemptResult::throttled},
    {"timed_out", AttemptResult::timeout},
    {"unreachable", AttemptResult::connect_failed},
    {"broken", AttemptResult::reset},
    {"withdrawn", AttemptResult::cancelled},
    {"void", AttemptResult::not_sent},
};

AttemptResult readResult(const json& o) {
  return enumFromWord(readString(o, "How"), kAttemptResultWords, "How");
}

struct Instance {
  explicit Instance(Settings s, std::uint64_t seed, int left_at, int limit_at)
      : sender(std::move(s), seed), x0(left_at), x1(limit_at) {}
  DeliveryScheduler sender;
  int x0, x1;  // where the load report holds them, -1: nowhere
  std::vector<Event> events;
  std::int64_t label = 0;
};

class SimulatorAdapter {
 public:
  std::string turn(const std::string& line) {
    json batch = json::parse(line, nullptr, false);
    if (batch.is_discarded())
      throw InvalidInput(InputProblem::malformed, "", "not JSON");
    if (!batch.is_object())
      throw InvalidInput(InputProblem::wrong_type, "", "not an object");
    const Micros now = readMilliseconds(batch, "SimTimeMs");
    touched_.clear();
    faults_.clear();
    for (const json& e : readArray(batch, "arrivals"))
      take(e);
    json cmds = json::array();
    for (std::int64_t who : touched_)
      answer(who, now, cmds);
    for (const auto& [who, words] : faults_)
      cmds.push_back({{"Fatal", {{"Who", who}, {"Words", words}}}});
    return json{{"cmds", std::move(cmds)}}.dump();
  }

 private:
  void take(const json& e) {
    if (!e.is_object() || e.size() != 1)
      throw InvalidInput(InputProblem::wrong_type, "", "an event is an object of one key");
    const std::string name = e.begin().key();
    try {
      takeNamed(name, e.begin().value());
    } catch (const InvalidInput& b) {
      throw InvalidInput(b.problem(), name + "." + b.field(), name + ": " + b.what());
    }
  }

  void takeNamed(const std::string& name, const json& f) {
    if (!f.is_object())
      throw InvalidInput(InputProblem::wrong_type, "", "not an object");
    if (name == "Roster")
      return roster(f);
    const std::int64_t who = readInteger(f, "Who");
    if (name == "Attach")
      return attach(who, f);
    auto it = instances_.find(who);
    if (it == instances_.end())
      throw InvalidInput(InputProblem::unknown_value, "Who",
                         "instance never attached: " + std::to_string(who));
    if (name == "PowerOff") {
      instances_.erase(it);
      return;
    }
    Instance& i = it->second;
    if (std::find(touched_.begin(), touched_.end(), who) == touched_.end())
      touched_.push_back(who);
    if (name == "Members") {
      i.events.push_back(members(f));
    } else if (name == "Call") {
      i.events.push_back(call(f));
    } else if (name == "TimeoutFired") {
      readInteger(f, "Label");
      i.events.push_back(TimerFired{});
    } else if (name == "CheckResult") {
      readResult(f);  // the module never probes, so there is nobody to tell
    } else if (name == "Established") {
      readInteger(f, "Attempt");  // no class here has streamed answers
    } else if (name == "Left") {
      i.events.push_back(Abandoned{readString(f, "OpId")});
    } else if (name == "Reply") {
      i.events.push_back(reply(i, f));
    } else if (name != "Whisper") {
      throw InvalidInput(InputProblem::unknown_value, "", "unknown event");
    }
  }

  void attach(std::int64_t who, const json& f) {
    const json& seed = requireField(f, "RandomSeed");
    if (!seed.is_number_integer())
      throw InvalidInput(InputProblem::wrong_type, "RandomSeed", "not a whole number: RandomSeed");
    const json& o = readObject(f, "Options");
    int x0 = -1, x1 = -1, at = 0;
    const json& stats = readOptionalObject(o, "Stats");
    if (!isAbsent(stats, "Fields"))
      for (const json& n : readArray(stats, "Fields")) {
        if (n == "x0")
          x0 = at;
        if (n == "x1")
          x1 = at;
        ++at;
      }
    Settings s = readSettings(o);
    instances_.erase(who);
    instances_.emplace(std::piecewise_construct, std::forward_as_tuple(who),
                       std::forward_as_tuple(std::move(s), seed.get<std::uint64_t>(), x0, x1));
  }

  void roster(const json& f) {
    std::vector<EndpointInfo> list;
    for (const json& m : readArray(f, "Members")) {
      EndpointInfo e;
      e.id = readString(m, "Endpoint");
      e.zone = readString(m, "Hall", "");
      e.kind = readString(m, "Hw", "");
      e.destination = readInteger(m, "Cell");
      const std::int64_t mode = readInteger(m, "Mode");
      if (mode < 1 || mode > 3)
        throw InvalidInput(InputProblem::unknown_value, "Mode", "unknown value of Mode");
      e.state = mode == 3   ? EndpointState::ready
                : mode == 2 ? EndpointState::draining
                            : EndpointState::removed;
      e.weight = readNumber(m, "Share", 0);
      list.push_back(std::move(e));
    }
    sheets_[readInteger(f, "Sheet")] = std::move(list);
  }

  EndpointsChanged members(const json& f) {
    const std::int64_t kind = readInteger(f, "Kind");
    if (kind < 0 || kind > 3)
      throw InvalidInput(InputProblem::unknown_value, "Kind", "unknown value of Kind");
    const EndpointUpdateKind kinds[] = {EndpointUpdateKind::delta, EndpointUpdateKind::full,
                                        EndpointUpdateKind::cached, EndpointUpdateKind::failed};
    EndpointsChanged u;
    u.kind = kinds[kind];
    if (u.kind == EndpointUpdateKind::failed)
      return u;
    const std::int64_t sheet = readInteger(f, "Sheet");
    auto it = sheets_.find(sheet);
    if (it == sheets_.end())
      throw InvalidInput(InputProblem::unknown_value, "Sheet",
                         "list number never given: " + std::to_string(sheet));
    u.endpoints = it->second;
    return u;
  }

  static Arrival call(const json& f) {
    Arrival a;
    a.id = readString(f, "OpId");
    a.message_class = readString(f, "TierClass");
    if (!isAbsent(f, "Billing") && f["Billing"].is_string())
      a.tenant = readString(f, "Billing");
    a.order_key = readString(f, "RouteKey", "");
    a.destination = static_cast<std::int64_t>(readNumber(f, "FarEnd"));
    a.deadline = Deadline(readMilliseconds(f, "GiveUpAtMs"));
    a.work_estimate = readMilliseconds(f, "EstimateMs", 0);
    a.is_retry = readBoolean(f, "Retry", false) || readBoolean(f, "Reconnect", false);
    return a;
  }

  static std::optional<LoadReport> gauge(const Instance& i, const json& f) {
    if (isAbsent(f, "Gauge"))
      return std::nullopt;
    const json& row = readArray(f, "Gauge");
    auto at = [&](int k) {
      return k >= 0 && k < static_cast<int>(row.size()) && row[static_cast<std::size_t>(k)].is_number()
                 ? row[static_cast<std::size_t>(k)].get<double>()
                 : 0.0;
    };
    if (i.x0 < 0 && i.x1 < 0)
      return std::nullopt;
    return LoadReport{at(i.x0), at(i.x1)};
  }

  static AttemptOutcome reply(const Instance& i, const json& f) {
    AttemptOutcome o;
    o.id = readString(f, "OpId");
    o.attempt = static_cast<int>(readInteger(f, "Attempt"));
    o.result = readResult(f);
    o.finished = readBoolean(f, "Finished", false);
    if (o.result == AttemptResult::throttled)
      o.retry_after = readMilliseconds(f, "Detail", 0);
    o.round_trip_time = readMilliseconds(f, "RttMs", 0);
    o.load_report = gauge(i, f);
    return o;
  }

  void answer(std::int64_t who, Micros now, json& cmds) {
    auto it = instances_.find(who);
    if (it == instances_.end())
      return;
    Instance& i = it->second;
    std::vector<Event> events;
    events.swap(i.events);
    if (events.empty())
      return;
    try {
      for (const Action& a : i.sender.decide(now, events))
        if (json c = command(i, who, a); !c.is_null())
          cmds.push_back(std::move(c));
    } catch (const std::exception& e) {
      faults_.emplace_back(who, e.what());
    }
  }

  static json command(Instance& i, std::int64_t who, const Action& action) {
    struct Writer {
      Instance& i;
      std::int64_t who;
      json operator()(const SendAttempt& a) const {
        return {{"SubmitTo",
                 {{"Who", who},
                  {"OpId", a.id},
                  {"Endpoint", a.endpoint},
                  {"WithinMs", millisecondsFromMicros(a.timeout)}}}};
      }
      json operator()(const CancelAttempt& a) const {
        return {{"StopAttempt", {{"Who", who}, {"OpId", a.id}, {"Attempt", a.attempt}}}};
      }
      json operator()(const Reject& a) const {
        return {{"Decline",
                 {{"Who", who}, {"OpId", a.id}, {"CoolDownMs", millisecondsFromMicros(a.retry_after)}}}};
      }
      json operator()(const Fail& a) const { return {{"FinishError", {{"Who", who}, {"OpId", a.id}}}}; }
      json operator()(const HealthRecord&) const { return nullptr; }  // here nothing outlasts a process
      json operator()(const delivery::SubscribeEndpoints&) const {
        return {{"Watch", {{"Who", who}, {"Active", true}}}};
      }
      json operator()(const CloseIdleConnections& a) const {
        return {{"Disconnect", {{"Who", who}, {"Endpoint", a.endpoint}}}};
      }
      json operator()(const SetTimer& a) const {
        return {
            {"NotifyMe", {{"Who", who}, {"Label", ++i.label}, {"SpanMs", millisecondsFromMicros(a.delay)}}}};
      }
    };
    return std::visit(Writer{i, who}, action);
  }

  std::map<std::int64_t, Instance> instances_;
  std::map<std::int64_t, std::vector<EndpointInfo>> sheets_;
  std::vector<std::int64_t> touched_;
  std::vector<std::pair<std::int64_t, std::string>> faults_;
};

}  // namespace

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  SimulatorAdapter host;
  std::string line;
  for (long number = 1; std::getline(std::cin, line); ++number) {
    try {
      const std::string reply = host.turn(line);
      std::cout << reply << '\n' << std::flush;
    } catch (const std::exception& e) {
      std::cerr << "line " << number << ": " << e.what() << '\n';
      return 2;
    }
  }
  return 0;
}
