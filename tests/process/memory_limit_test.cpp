// The memory of the whole program with 3,200 endpoints and the smallest memory that the platform gives, 32
// MB.
#include "support/loopback.h"

namespace delivery {
namespace {

using namespace loopback;

constexpr std::int64_t kMemoryLimitBytes = 32'000'000;
constexpr int kEndpointCount = 3200;

// Sanitizers multiply the memory of the program, so that its size says nothing.
#ifdef __SANITIZE_ADDRESS__
constexpr bool kMemoryIsComparable = false;
#else
constexpr bool kMemoryIsComparable = true;
#endif

// A size from /proc/PID/status in bytes.
std::int64_t statusBytes(pid_t pid, const std::string& name) {
  constexpr std::int64_t kBytesPerKilobyte = 1024;
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind(name + ":", 0) == 0) {
      return std::stoll(line.substr(name.size() + 1)) * kBytesPerKilobyte;
    }
  }
  ADD_FAILURE() << name << " of " << pid;
  return 0;
}

// The most memory that the process ever used, without the pages of the program itself.
std::int64_t peakMemory(pid_t pid) {
  return statusBytes(pid, "VmHWM") - statusBytes(pid, "RssFile");
}

json manyEndpoints(const std::string& address) {
  json endpoints = json::array({endpointEntry("e1", address, 7)});
  for (int i = 1; i < kEndpointCount; ++i) {
    endpoints.push_back(endpointEntry(
        "s-" + std::to_string(100'000'000 + i),
        "127.1." + std::to_string(i / 250) + "." + std::to_string(1 + i % 250) + ":6379", 7 + i / 2));
  }
  return endpoints;
}

struct LargeFleet {
  std::unique_ptr<SenderProgram> start() {
    const json limits{{"cores", 1.0}, {"memory_mb", 32}, {"sockets", 1024}, {"disk_mb", 3}};
    return std::make_unique<SenderProgram>(folder.path(), discovery.address(),
                                           manyEndpoints(endpoint.address()), 3, testSettings(),
                                           &client_listener, json{{"limits", limits}});
  }
  TempFolder folder;
  DiscoveryServer discovery;
  HttpServer endpoint{respondOk};
  Listener client_listener;
};

// The beginning of requests that a client pipelines; each has a large body.
std::string pipelinedRequests(int client, int count, std::size_t body_bytes) {
  std::string requests;
  for (int i = 0; i < count; ++i) {
    const std::string id = "m" + std::to_string(client) + "-" + std::to_string(i);
    requests += SenderClient::encodeRequest(
        {"MSG.PUT", "0", id, "c=payment,d=28000,dest=7", std::string(body_bytes, 'x')});
  }
  return requests;
}

// Guards against a process that is killed for memory (issue 47, picture (a)): hundreds of clients stop half
// way through a large request, or pipeline such requests.
TEST(MemoryLimit, HoldsWithHundredsOfClientsAndLargeRequests) {
  constexpr int kClientCount = 400;
  constexpr int kPipelinedRequests = 5;
  constexpr std::size_t kBodyBytes = 60'000;
  constexpr std::size_t kMissingBytes = 5000;
  LargeFleet fleet;
  const auto program = fleet.start();
  for (const int requests : {1, kPipelinedRequests, kPipelinedRequests}) {
    std::vector<std::unique_ptr<SenderClient>> crowd;
    for (int i = 0; i < kClientCount; ++i) {
      std::string bytes = pipelinedRequests(i, requests, kBodyBytes);
      bytes.resize(bytes.size() - kMissingBytes);
      crowd.push_back(std::make_unique<SenderClient>(program->port()));
      crowd.back()->send(bytes);
    }
    SenderClient client(program->port());
    EXPECT_EQ("+PONG", client.sendRequest({"PING"}));
  }
  if (kMemoryIsComparable) {
    EXPECT_LT(peakMemory(program->pid()), kMemoryLimitBytes);
  }
}

// Guards against two processes that use more than the memory of one sender together (review/9).
TEST(MemoryLimit, HoldsForBothProcessesOfAnUpgrade) {
  LargeFleet fleet;
  const auto predecessor = fleet.start();
  ASSERT_TRUE(fleet.discovery.waitForWatch(1));
  for (int change = 1; change <= 3; ++change) {
    fleet.discovery.publish(json::array({endpointEntry("new-" + std::to_string(change), "127.0.0.1:9", 99)}));
    ASSERT_TRUE(fleet.discovery.waitForWatch(1 + change));
  }
  const auto successor = fleet.start();
  if (kMemoryIsComparable) {
    EXPECT_LT(peakMemory(predecessor->pid()) + peakMemory(successor->pid()), kMemoryLimitBytes);
  }
}

}  // namespace
}  // namespace delivery
