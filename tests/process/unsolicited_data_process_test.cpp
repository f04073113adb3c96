// Tests of the whole program against an endpoint that sends more than its responses.
#include <map>
#include <mutex>

#include "support/loopback.h"
#include "support/surplus_endpoint.h"

namespace delivery {
namespace {

using namespace loopback;

// What became of one message at the endpoint.
struct MessageHistory {
  int attempts = 0;
  int runs = 0;
  bool is_distinguishable = true;
};

// Rejects the first attempt of every sixth message, and delivers all others.
class RejectingEndpoint {
 public:
  RejectingEndpoint() : endpoint_([this](const ReceivedRequest& request) { return respond(request); }) {}

  std::string address() const { return endpoint_.address(); }

  std::map<std::string, MessageHistory> histories() {
    const std::vector<ReceivedRequest> requests = endpoint_.requests();
    std::lock_guard<std::mutex> lock(mutex_);
    std::map<std::string, MessageHistory> result = histories_;
    for (const ReceivedRequest& request : requests) {
      MessageHistory& history = result[request.field("X-Txn")];
      history.is_distinguishable = history.is_distinguishable && endpoint_.isDistinguishable(request);
    }
    return result;
  }

 private:
  std::string respond(const ReceivedRequest& request) {
    const std::string id = request.field("X-Txn");
    std::lock_guard<std::mutex> lock(mutex_);
    MessageHistory& history = histories_[id];
    ++history.attempts;
    if (history.attempts == 1 && std::stoi(id) % 6 == 0) {
      return httpResponse("503 Full");
    }
    ++history.runs;
    return httpResponse("200 OK");
  }

  std::mutex mutex_;
  std::map<std::string, MessageHistory> histories_;
  SurplusEndpoint endpoint_;
};

// Guards against charges that are lost or run twice, as the copy of a response passes for that to the next
// call: each non-idempotent message runs exactly once, although the endpoint rejects some of the attempts.
TEST(UnsolicitedDataInTheProgram, ANonIdempotentMessageRunsExactlyOnce) {
  constexpr std::size_t kMessages = 90;
  RejectingEndpoint endpoint;
  TempFolder folder;
  DiscoveryServer discovery;
  SenderProgram program(folder.path(), discovery.address(),
                        json::array({endpointEntry("e1", endpoint.address(), 7)}), 3);
  SenderClient client(program.port());
  for (std::size_t i = 0; i < kMessages; ++i) {
    ASSERT_EQ("+OK", client.submit(std::to_string(i), "payment", 7));
  }
  EXPECT_TRUE(eventually([&] {
    const auto histories = endpoint.histories();
    return histories.size() == kMessages &&
           std::all_of(histories.begin(), histories.end(), [](const auto& entry) {
             return entry.second.runs > 0 || !entry.second.is_distinguishable;
           });
  })) << "not all messages were delivered";
  program.signal(SIGTERM);
  program.waitForExit();  // no attempt is made after that
  for (const auto& [id, history] : endpoint.histories()) {
    if (history.is_distinguishable) {
      EXPECT_EQ(1, history.runs) << id;
    }
  }
}

}  // namespace
}  // namespace delivery
