// A new configuration in the middle of an upgrade: the file is replaced, and SIGHUP goes to the other
// process, which may be of the version before.
#include <filesystem>
#include <fstream>
#include <future>

#include "support/handover_peer.h"
#include "support/loopback.h"

namespace delivery {
namespace {

using namespace loopback;

constexpr char kReleaseLine[] = R"({"release":[]})";

class ReloadInHandover : public ::testing::Test {
 protected:
  std::unique_ptr<SenderProgram> start() {
    return std::make_unique<SenderProgram>(folder.path(), before.address(),
                                           json::array({endpointEntry("e1", endpoint.address(), 7)}), 3,
                                           testSettings(), &client_listener);
  }

  // Starts the program as the successor of a predecessor that this test plays, which has not handed over yet.
  void startSuccessor() {
    std::filesystem::create_directories(folder.path() + "-tmp");
    lock_holder.emplace(folder.path());
    listener.listen(socketPath());
    starting_successor = std::async(std::launch::async, [this] { return start(); });
    link = std::make_unique<UnixSocket>(listener.accept());
  }

  void handOver() {
    lock_holder->release();
    link->send(kReleaseLine);
    EXPECT_NE(std::string::npos, link->readLine().find("serving"));
  }

  // Replaces the configuration file as the platform does, with another address of discovery.
  void replaceConfiguration() {
    const std::string path = folder.path() + "-config.json";
    json configuration = json::parse(std::ifstream(path));
    configuration["discovery"] = after.address();
    std::ofstream(path + ".new") << configuration.dump();
    std::filesystem::rename(path + ".new", path);
  }

  // Whether the list is watched and a notice arrives at the new address.
  bool newAddressIsUsed() {
    const bool is_watched = after.waitForWatch(1);
    EXPECT_EQ("+OK", SenderClient(client_listener.port).submit("charge", "payment", 7));
    return is_watched && after.waitForNotice("charge");
  }

  std::string socketPath() const { return folder.path() + "-tmp/handover"; }

  TempFolder folder;
  DiscoveryServer before;
  DiscoveryServer after;
  // Ends the connection of each call, so that charges end by a notice.
  HttpServer endpoint{[](const ReceivedRequest&) { return ServerAction{"", false, true}; }};
  Listener client_listener;
  std::optional<LockHolder> lock_holder;
  UnixSocket listener;
  std::unique_ptr<UnixSocket> link;
  std::future<std::unique_ptr<SenderProgram>> starting_successor;
};

// Guards against lost messages (review/8): the successor had read the file before it was replaced, and called
// the old address for good.
TEST_F(ReloadInHandover, AFileThatIsReplacedWhileTheSuccessorWaitsTakesEffect) {
  startSuccessor();
  replaceConfiguration();
  handOver();
  const auto successor = starting_successor.get();
  EXPECT_TRUE(newAddressIsUsed());
}

// The same after the handover, while the predecessor still completes its calls and gets the signal.
TEST_F(ReloadInHandover, AFileThatIsReplacedWhileThePredecessorRunsTakesEffect) {
  startSuccessor();
  handOver();
  const auto successor = starting_successor.get();
  ASSERT_TRUE(before.waitForWatch(1));
  replaceConfiguration();
  EXPECT_TRUE(newAddressIsUsed());
}

// The same when the predecessor ends right after the file was replaced.
TEST_F(ReloadInHandover, AFileThatIsReplacedWhenThePredecessorEndsTakesEffect) {
  startSuccessor();
  handOver();
  const auto successor = starting_successor.get();
  ASSERT_TRUE(before.waitForWatch(1));
  replaceConfiguration();
  link->close();
  EXPECT_TRUE(newAddressIsUsed());
}

// The other way round: the signal went to a successor that ends before or after the release and never serves.
TEST_F(ReloadInHandover, APredecessorThatStillOwnsTheJournalReadsTheFile) {
  const auto predecessor = start();
  ASSERT_TRUE(before.waitForWatch(1));
  SenderClient partial_request(client_listener.port);  // delays the release
  partial_request.send("*5\r\n$7\r\nMSG.PUT\r\n");
  UnixSocket successor;
  ASSERT_TRUE(successor.connect(socketPath()));
  replaceConfiguration();
  successor.close();
  EXPECT_TRUE(newAddressIsUsed());
}

TEST_F(ReloadInHandover, APredecessorThatTakesOverAgainReadsTheFile) {
  const auto predecessor = start();
  ASSERT_TRUE(before.waitForWatch(1));
  UnixSocket successor;
  ASSERT_TRUE(successor.connect(socketPath()));
  EXPECT_NE(std::string::npos, successor.readLine().find("release"));
  replaceConfiguration();
  successor.close();
  EXPECT_TRUE(newAddressIsUsed());
}

}  // namespace
}  // namespace delivery
