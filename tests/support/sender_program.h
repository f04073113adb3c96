// The real message_sender program as a child process.
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

// The constructor starts the program, the destructor kills it. The state folder is kept.
class SenderProgram {
 public:
  // `state_folder`: the configuration file and the scratch folder are created beside it.
  // `client_listener`: the listening socket for clients that the program inherits; null if the program opens
  // its own. `extra_configuration`: further keys of the configuration file.
  SenderProgram(const std::string& state_folder, const std::string& discovery, json endpoints,
                double disk_mb = 3, json settings = testSettings(), const Listener* client_listener = nullptr,
                const json& extra_configuration = {})
      : state_folder_(state_folder), discovery_(discovery), client_listener_(client_listener) {
    std::filesystem::create_directories(state_folder_ + "-tmp");
    config_ = {{"name", "n0"},
               {"seed", "8c1f30d27a5be964"},
               {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}, {"disk_mb", disk_mb}}},
               {"known", {{"index", 1}, {"snapshot", true}, {"endpoints", std::move(endpoints)}}},
               {"settings", std::move(settings)}};
    if (extra_configuration.is_object()) {
      config_.update(extra_configuration);
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

  // Each of these writes a new configuration file and sends SIGHUP, so that the program reads it.
  void reload(const std::string& discovery) {
    discovery_ = discovery;
    config_["discovery"] = discovery;
    reload();
  }
  void reloadLimits(json limits) {
    config_["limits"] = std::move(limits);
    reload();
  }

  // Starts the program and waits until it answers PING.
  void start() {
    if (!client_listener_) {
      client_port_.emplace();
    }
    port_ = client_listener_ ? client_listener_->port : client_port_->port();
    config_["listen"] = "127.0.0.1:" + std::to_string(port_);
    control_port_.emplace();
    config_["control"] = "127.0.0.1:" + std::to_string(controlPort());
    config_["discovery"] = discovery_;
    writeConfig();
    pid_ = spawn(configPath(), state_folder_, client_listener_ ? client_listener_->fd : -1);
    // The control address is asked first: it belongs to this process, while an inherited socket for clients
    // may still be served by another one.
    EXPECT_TRUE(eventually([this] {
      const std::string reply = sendCommand("READY");
      return reply == "OK ready" || reply == "ERR no list of endpoints yet";
    })) << "the program does not get ready";
    EXPECT_TRUE(eventually([this] {
      SenderClient client(port_);
      return client.connected() && client.sendRequest({"PING"}) == "+PONG";
    })) << "the program does not answer PING";
  }

  // Starts a process and returns its id. `client_listener_fd`: the listening socket that it inherits; -1:
  // none.
  static pid_t spawn(const std::string& config_path, const std::string& state_folder,
                     int client_listener_fd = -1) {
    const pid_t pid = ::fork();
    if (pid != 0) {
      return pid;
    }
    ::unsetenv("GW_PASSED_SOCKET");
    if (client_listener_fd >= 0) {
      constexpr int kPassedSocket = 5;
      // The copy gets a number of at least 10, so that 5 is free for dup2(), whose descriptor stays open in
      // the started program.
      const int copy = ::fcntl(client_listener_fd, F_DUPFD, 10);
      ::dup2(copy, kPassedSocket);
      ::close(copy);
      ::setenv("GW_PASSED_SOCKET", "5", 1);
    }
    ::setenv("TMPDIR", (state_folder + "-tmp").c_str(), 1);
    ::unsetenv("GW_CONTROL");
    ::setenv("GW_CONFIG", config_path.c_str(), 1);
    ::setenv("GW_STATE", state_folder.c_str(), 1);
    ::unsetenv("GW_LISTEN");
    ::unsetenv("GW_DISCOVERY");
    ::execl(MESSAGE_SENDER, MESSAGE_SENDER, static_cast<char*>(nullptr));
    ::_exit(127);
  }

  void signal(int number) { ::kill(pid_, number); }
  // Waits until the process has ended and returns its status in the form of waitpid().
  int waitForExit() {
    int status = 0;
    ::waitpid(pid_, &status, 0);
    pid_ = -1;
    return status;
  }
  void kill() {
    signal(SIGKILL);
    waitForExit();
  }

  pid_t pid() const { return pid_; }
  int port() const { return port_; }
  int controlPort() const { return control_port_->port(); }
  // Sends a command to the control port on a connection of its own.
  std::string sendCommand(const std::string& command) {
    return SenderClient(controlPort()).sendCommand(command);
  }

  std::size_t openDescriptorCount() const {
    const std::filesystem::directory_iterator descriptors("/proc/" + std::to_string(pid_) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(descriptors), end(descriptors)));
  }
  // Sets the kernel's limit on the descriptors that the process may have open, regardless of its
  // configuration.
  void limitDescriptors(rlim_t max_descriptors) {
    const rlimit limit{max_descriptors, max_descriptors};
    EXPECT_EQ(0, ::prlimit(pid_, RLIMIT_NOFILE, &limit, nullptr));
  }

 private:
  std::string configPath() const { return state_folder_ + "-config.json"; }
  void writeConfig() const { std::ofstream(configPath()) << config_.dump(); }
  void reload() {
    writeConfig();
    signal(SIGHUP);
  }

  std::string state_folder_;
  std::string discovery_;
  const Listener* client_listener_;
  json config_;
  int port_ = 0;
  std::optional<ReservedPort> client_port_;   // of the latest start; empty if the program inherits a socket
  std::optional<ReservedPort> control_port_;  // of the latest start
  pid_t pid_ = -1;                            // -1: not running
};

// The program with its state folder, a discovery server, and one endpoint "e1" of destination 7.
struct SenderSetup {
  explicit SenderSetup(HttpServer::Handler respond, double disk_mb = 3)
      : endpoint(std::move(respond)),
        program(folder.path(), discovery.address(), json::array({endpointEntry("e1", endpoint.address(), 7)}),
                disk_mb) {}
  TempFolder folder;
  DiscoveryServer discovery;
  HttpServer endpoint;
  SenderProgram program;
};

}  // namespace delivery::loopback
