// Tests the simulator adapter as a program: its commands, and its reaction to input that can't be read, which
// is one line on standard error and an exit code other than 0.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <utility>

using nlohmann::json;

namespace {

struct ProgramResult {
  int exit_code = 0;
  std::string output;  // standard output
  std::string errors;  // standard error
};

std::string readFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream content;
  content << file.rdbuf();
  return content.str();
}

// Runs the adapter with `input` as its standard input and waits until it ends.
ProgramResult runAdapter(const std::string& input, const char* adapter = SIMULATOR_ADAPTER) {
  const std::string base = ::testing::TempDir() + "simulator-adapter-" + std::to_string(::getpid());
  std::ofstream(base + ".in") << input;
  const std::string command = std::string(adapter) + " <" + base + ".in >" + base + ".out 2>" + base + ".err";
  const int status = std::system(command.c_str());
  ProgramResult result;
  result.exit_code = WEXITSTATUS(status);
  result.output = readFile(base + ".out");
  result.errors = readFile(base + ".err");
  for (const char* suffix : {".in", ".out", ".err"}) {
    std::remove((base + suffix).c_str());
  }
  return result;
}

json options() {
  return json::parse(
      R"({"Azs":["z"],"Balancers":1,"Categories":[{"AimMs":1000.0,"DeadlineMs":8000.0,"Group":"all",
    "Idempotency":"idempotent","LateWorth":0.3,"MemorySpanMs":0.0,"Name":"c","Stream":false,"Worth":1.0}],
    "Ceilings":{"MaxAttempts":3,"MaxOpen":50},"Domain":{"CallSlots":4,"Late":"line","PerCall":[1],
    "RoutesApart":[false]},"Kinds":["k"],"Rules":{"AnswerSlackMs":20.0},"Tenants":null,"TickMs":5.0,
    "Stats":{"Fields":["x0","x1"],"How":"piggyback"},"WeightKind":"silent","NeverHeardOf":{"a":1}})");
}

std::string batch(double time_ms, const json& events) {
  return json{{"SimTimeMs", time_ms}, {"arrivals", events}}.dump() + "\n";
}
json attach(json sender_options = options(), int who = 0) {
  return {{"Attach", {{"Who", who}, {"RandomSeed", 1}, {"Options", std::move(sender_options)}}}};
}
json roster() {
  return {{"Roster",
           {{"Sheet", 0},
            {"Members",
             {{{"Endpoint", "h:1"},
               {"Hall", "z"},
               {"Hw", "k"},
               {"Cell", 5},
               {"Mode", 3},
               {"Share", 1},
               {"BootTimeMs", nullptr}}}}}}};
}
json members(int kind = 2) {
  return {{"Members", {{"Who", 0}, {"Kind", kind}, {"Epoch", 1}, {"Sheet", 0}}}};
}
json call(const std::string& id) {
  return {{"Call",
           {{"Who", 0},
            {"OpId", id},
            {"EstimateMs", nullptr},
            {"TierClass", "c"},
            {"FarEnd", 5},
            {"Billing", 0},
            {"GiveUpAtMs", 9000.0}}}};
}

TEST(SimulatorAdapter, SendsSubmittedMessagesAndEndsWithTheInput) {
  const ProgramResult result = runAdapter(
      batch(1000, {attach(), roster(), members(), call("00000000000000aa")}) + batch(1001, json::array()));
  EXPECT_EQ(result.exit_code, 0) << result.errors;
  std::istringstream lines(result.output);
  std::string first;
  std::string second;
  std::getline(lines, first);
  std::getline(lines, second);
  EXPECT_EQ(json::parse(first)["cmds"][0]["SubmitTo"]["OpId"], "00000000000000aa");
  EXPECT_EQ(second, R"({"cmds":[]})");
}

TEST(SimulatorAdapter, RestartInTheSameBatchDiscardsTheStateOfThePreviousIncarnation) {
  const json power_off = {{"PowerOff", {{"Who", 0}}}};
  const json late_reply = {{"Reply",
                            {{"Who", 0},
                             {"OpId", "a"},
                             {"Finished", false},
                             {"Attempt", 0},
                             {"Endpoint", "h:1"},
                             {"How", "timed_out"},
                             {"Detail", nullptr},
                             {"RttMs", 3.0},
                             {"Gauge", nullptr}}}};
  const ProgramResult result =
      runAdapter(batch(1000, {attach(), roster(), members(), call("a")}) +
                 batch(2000, {power_off, attach(), members()}) + batch(2005, json::array({late_reply})));
  EXPECT_EQ(result.exit_code, 0) << result.errors;
  EXPECT_EQ(result.output.find("FinishError"), std::string::npos) << result.output;
}

TEST(SimulatorAdapter, InvalidInputIsReportedOnOneLine) {
  json string_instead_of_number = options();
  string_instead_of_number["Categories"][0]["AimMs"] = "soon";
  json negative_tick = options();
  negative_tick["TickMs"] = -1;
  json unknown_list = members();
  unknown_list["Members"]["Sheet"] = 9;
  json call_without_class = call("x");
  call_without_class["Call"].erase("TierClass");
  const std::pair<std::string, const char*> cases[] = {
      {"nonsense\n", "JSON"},
      {"[]\n", "object"},
      {R"({"arrivals":[]})"
       "\n",
       "SimTimeMs"},
      {batch(1, json::array({json{{"Surprise", {{"Who", 0}}}}})), "Surprise"},
      {batch(1, json::array({call("x")})), "sender was never attached: 0"},
      {batch(1, {attach(), unknown_list}), "endpoint list was never received: 9"},
      {batch(1, {attach(), roster(), members(), call_without_class}), "TierClass"},
      {batch(1, json::array({attach(string_instead_of_number)})), "AimMs"},
      {batch(1, json::array({attach(negative_tick)})), "tick"},
  };
  for (const auto& [input, expected] : cases) {
    const ProgramResult result = runAdapter(input);
    EXPECT_NE(result.exit_code, 0) << input;
    EXPECT_EQ(result.output, "") << input;
    EXPECT_NE(result.errors.find(expected), std::string::npos) << result.errors;
    EXPECT_EQ(std::count(result.errors.begin(), result.errors.end(), '\n'), 1) << result.errors;
  }
}

TEST(SimulatorAdapter, ExceptionInTheModuleIsReportedAsFatalAndTheAdapterContinues) {
  const ProgramResult result = runAdapter(
      batch(1000, {attach(), roster(), members()}) + batch(1001, json::array()), SIMULATOR_ADAPTER_THROWING);
  EXPECT_EQ(result.exit_code, 0) << result.errors;
  EXPECT_EQ(result.output,
            "{\"cmds\":[{\"Fatal\":{\"Who\":0,\"Words\":\"tag without a message\"}}]}\n{\"cmds\":[]}\n");
}

TEST(SimulatorAdapter, HundredsOfSendersRestartedInOneBatchDiscardTheirState) {
  json first_batch = json::array({roster()});
  json restart_batch = json::array();
  for (int who = 0; who < 300; ++who) {
    first_batch.push_back(attach(options(), who));
    json membership = members();
    json message = call("m" + std::to_string(who));
    membership["Members"]["Who"] = who;
    message["Call"]["Who"] = who;
    first_batch.push_back(membership);
    first_batch.push_back(message);
    restart_batch.push_back({{"PowerOff", {{"Who", who}}}});
    restart_batch.push_back(attach(options(), who));
    restart_batch.push_back(membership);
  }
  const ProgramResult result =
      runAdapter(batch(1000, first_batch) + batch(2000, restart_batch) + batch(20000, json::array()));
  EXPECT_EQ(result.exit_code, 0) << result.errors;
  std::istringstream lines(result.output);
  std::string line;
  std::size_t sends = 0;
  std::size_t final_replies = 0;
  while (std::getline(lines, line)) {
    const json reply = json::parse(line);
    for (const json& command : reply["cmds"]) {
      sends += command.contains("SubmitTo");
      final_replies += command.contains("FinishError") || command.contains("Decline");
    }
  }
  EXPECT_EQ(sends, 300u) << result.errors;
  EXPECT_EQ(final_replies, 0u);  // a sender must not answer messages of its previous incarnation
}

}  // namespace
