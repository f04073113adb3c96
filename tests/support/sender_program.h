// The real program as a child process.
#pragma once

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "support/discovery_server.h"
#include "support/http_server.h"
#include "support/listener.h"
#include "support/sender_client.h"
#include "support/temp_folder.h"
#include "support/wait.h"

namespace delivery::loopback {

// Settings with one message class of each idempotency and one kind of destination.
inline json testSettings() {
  auto message_class = [](const char* name, const char* idempotency) {
    return json{{"Name", name},
                {"AimMs", 4000.0},
                {"DeadlineMs", 28000.0},
                {"Group", "all"},
                {"Idempotency", idempotency},
                {"LateWorth", 0.3},
                {"MemorySpanMs", 120000.0},
                {"Worth", 1.0}};
  };
  return {{"Azs", {"a"}},
          {"Balancers", 1},
          {"Categories",
           {message_class("notice", "idempotent"), message_class("order", "deduplicated"),
            message_class("payment", "at_most_once")}},
          {"Ceilings",
           {{"ConnIdleMs", 5000.0},
            {"DialTimeoutMs", 1000.0},
            {"MaxAttempts", 12},
            {"MaxOpen", 100},
            {"MaxRetryAfterMs", 3000.0},
            {"MayCancel", true},
            {"ParallelTries", true},
            {"RetryAfter", true}}},
          {"Domain", {{"CallSlots", 8}, {"Late", "line"}, {"PerCall", {1}}, {"RoutesApart", {false}}}},
          {"Kinds", {"partner"}},
          {"Rules",
           {{"AnswerSlackMs", 20.0},
            {"ColdShare", 0.29},
            {"DrainGraceMs", 250.0},
            {"FallMs", 2000.0},
            {"OverloadFactor", 1.5},
            {"RampTimeMs", 11000.0}}},
          {"Stats", {{"Fields", {"x0", "x1"}}, {"How", "piggyback"}}},
          {"TickMs", 5.0},
          {"WeightKind", "rough"}};
}

// Started by the constructor, killed by the destructor. Its state folder outlasts it.
class SenderProgram {
 public:
  // `state`: the folder that lasts; its configuration and its scratch folder are put beside it. `passed`: the
  // clients' listening socket, if the program gets it from outside. `more`: further keys of the
  // configuration.
  SenderProgram(const std::string& state, const std::string& discovery, json endpoints, double disk_mb = 3,
                json settings = testSettings(), const Listener* passed = nullptr, const json& more = {})
      : state_(state), discovery_(discovery), passed_(passed) {
    std::filesystem::create_directories(state_ + "-tmp");
    config_ = {{"name", "n0"},
               {"seed", "8c1f30d27a5be964"},
               {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}, {"disk_mb", disk_mb}}},
               {"known", {{"index", 1}, {"snapshot", true}, {"endpoints", std::move(endpoints)}}},
               {"settings", std::move(settings)}};
    if (more.is_object()) {
      config_.update(more);
    }
    start();
  }
  ~SenderProgram() {
    if (pid_ > 0) {
      kill();
    }
  }
  SenderProgram(const SenderProgram&) = delete;
  SenderProgram& operator=(const SenderProgram&) = delete;

  // Replaces the configuration and signals the program to read it.
  void reload(const std::string& discovery) {
    discovery_ = discovery;
    config_["discovery"] = discovery;
    reload();
  }
  void reloadLimits(json limits) {
    config_["limits"] = std::move(limits);
    reload();
  }

  // Starts it and waits until it answers PING.
  void start() {
    if (!passed_) {
      client_port_.emplace();
    }
    port_ = passed_ ? passed_->port : client_port_->port();
    config_["listen"] = "127.0.0.1:" + std::to_string(port_);
    control_port_.emplace();
    config_["control"] = "127.0.0.1:" + std::to_string(controlPort());
    config_["discovery"] = discovery_;
    writeConfig();
    pid_ = spawn(configPath(), state_, passed_ ? passed_->fd : -1);
    // Its own address first: a socket that is passed on may still be served by another process.
    EXPECT_TRUE(eventually([this] {
      const std::string reply = sendCommand("READY");
      return reply == "OK ready" || reply == "ERR no list of endpoints yet";
    })) << "the program does not get ready";
    EXPECT_TRUE(eventually([this] {
      SenderClient client(port_);
      return client.connected() && client.sendRequest({"PING"}) == "+PONG";
    })) << "the program does not answer PING";
  }

  // Starts a process and returns its id; `passed`: a listening socket for it.
  static pid_t spawn(const std::string& config, const std::string& state, int passed = -1) {
    const pid_t pid = ::fork();
    if (pid != 0) {
      return pid;
    }
    ::unsetenv("GW_PASSED_SOCKET");
    if (passed >= 0) {
      constexpr int kPassedSocket = 5;
      const int copy = ::fcntl(passed, F_DUPFD, 10);  // so that 5 is free, and a copy stays open over exec
      ::dup2(copy, kPassedSocket);
      ::close(copy);
      ::setenv("GW_PASSED_SOCKET", "5", 1);
    }
    ::setenv("TMPDIR", (state + "-tmp").c_str(), 1);
    ::unsetenv("GW_CONTROL");
    ::setenv("GW_CONFIG", config.c_str(), 1);
    ::setenv("GW_STATE", state.c_str(), 1);
    ::unsetenv("GW_LISTEN");
    ::unsetenv("GW_DISCOVERY");
    ::execl(MESSAGE_SENDER, MESSAGE_SENDER, static_cast<char*>(nullptr));
    ::_exit(127);
  }

  void signal(int number) { ::kill(pid_, number); }
  // Waits for its end and returns its status as waitpid() does.
  int wait() {
    int status = 0;
    ::waitpid(pid_, &status, 0);
    pid_ = -1;
    return status;
  }
  void kill() {
    signal(SIGKILL);
    wait();
  }

  pid_t pid() const { return pid_; }
  int port() const { return port_; }
  int controlPort() const { return control_port_->port(); }
  std::string sendCommand(const std::string& text) { return SenderClient(controlPort()).sendCommand(text); }

  std::size_t openDescriptorCount() const {
    const std::filesystem::directory_iterator all("/proc/" + std::to_string(pid_) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(all), end(all)));
  }
  // Limits what it may have open from now on, whatever its configuration says.
  void limitDescriptors(rlim_t most) {
    const rlimit limit{most, most};
    EXPECT_EQ(0, ::prlimit(pid_, RLIMIT_NOFILE, &limit, nullptr));
  }

 private:
  std::string configPath() const { return state_ + "-config.json"; }
  void writeConfig() const { std::ofstream(configPath()) << config_.dump(); }
  void reload() {
    writeConfig();
    signal(SIGHUP);
  }

  std::string state_, discovery_;
  const Listener* passed_;
  json config_;
  int port_ = 0;
  std::optional<ReservedPort> client_port_,
      control_port_;  // those of the latest start; client_port_: none if passed
  pid_t pid_ = -1;
};

// The program with its state folder, discovery, and one endpoint "e1" of destination 7.
struct SenderSetup {
  explicit SenderSetup(HttpServer::Script script, double disk_mb = 3)
      : endpoint(std::move(script)),
        program(folder.path(), discovery.address(), json::array({endpointEntry("e1", endpoint.address(), 7)}),
                disk_mb) {}
  TempFolder folder;
  DiscoveryServer discovery;
  HttpServer endpoint;
  SenderProgram program;
};

}  // namespace delivery::loopback
