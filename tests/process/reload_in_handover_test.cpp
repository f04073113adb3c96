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
    return std::make_unique<SenderProgram>(folder_.path(), before_.address(),
                                           json::array({endpointEntry("e1", endpoint_.address(), 7)}), 3,
                                           testSettings(), &client_listener_);
  }

  // Starts the program as the successor of a predecessor that this test plays, which has not handed over yet.
  void startSuccessor() {
    std::filesystem::create_directories(folder_.path() + "-tmp");
    predecessor_.emplace(folder_.path());
    listener_.listen(socketPath());
    successor_ = std::async(std::launch::async, [this] { return start(); });
    link_ = std::make_unique<UnixSocket>(listener_.accept());
  }

  void handOver() {
    predecessor_->release();
    link_->send(kReleaseLine);
    EXPECT_NE(std::string::npos, link_->readLine().find("serving"));
  }

  // Replaces the configuration file as the platform does, with another address of discovery.
  void replaceConfiguration() {
    const std::string path = folder_.path() + "-config.json";
    json configuration = json::parse(std::ifstream(path));
    configuration["discovery"] = after_.address();
    std::ofstream(path + ".new") << configuration.dump();
    std::filesystem::rename(path + ".new", path);
  }

  // Whether the list is watched and a notice arrives at the new address.
  bool newAddressIsUsed() {
    const bool is_watched = after_.waitForWatch(1);
    EXPECT_EQ("+OK", SenderClient(client_listener_.port).submit("charge", "payment", 7));
    return is_watched && after_.waitForNotice("charge");
  }

  std::string socketPath() const { return folder_.path() + "-tmp/handover"; }

  TempFolder folder_;
  DiscoveryServer before_;
  DiscoveryServer after_;
  // Ends the connection of each call, so that charges end by a notice.
  HttpServer endpoint_{[](const ReceivedRequest&) { return ServerAction{"", false, true}; }};
  Listener client_listener_;
  std::optional<LockHolder> predecessor_;
  UnixSocket listener_;
  std::unique_ptr<UnixSocket> link_;
  std::future<std::unique_ptr<SenderProgram>> successor_;
};

// Guards against lost messages (review/8): the successor had read the file before it was replaced, and called
// the old address for good.
TEST_F(ReloadInHandover, AFileThatIsReplacedWhileTheSuccessorWaitsTakesEffect) {
  startSuccessor();
  replaceConfiguration();
  handOver();
  const auto successor = successor_.get();
  EXPECT_TRUE(newAddressIsUsed());
}

// The same after the handover, while the predecessor still completes its calls and gets the signal.
TEST_F(ReloadInHandover, AFileThatIsReplacedWhileThePredecessorRunsTakesEffect) {
  startSuccessor();
  handOver();
  const auto successor = successor_.get();
  ASSERT_TRUE(before_.waitForWatch(1));
  replaceConfiguration();
  EXPECT_TRUE(newAddressIsUsed());
}

// The same when the predecessor ends right after the file was replaced.
TEST_F(ReloadInHandover, AFileThatIsReplacedWhenThePredecessorEndsTakesEffect) {
  startSuccessor();
  handOver();
  const auto successor = successor_.get();
  ASSERT_TRUE(before_.waitForWatch(1));
  replaceConfiguration();
  link_->close();
  EXPECT_TRUE(newAddressIsUsed());
}

// The other way round: the signal went to a successor that ends before or after the release and never serves.
TEST_F(ReloadInHandover, APredecessorThatStillOwnsTheJournalReadsTheFile) {
  const auto predecessor = start();
  ASSERT_TRUE(before_.waitForWatch(1));
  SenderClient partial_request(client_listener_.port);  // delays the release
  partial_request.send("*5\r\n$7\r\nMSG.PUT\r\n");
  UnixSocket successor;
  ASSERT_TRUE(successor.connect(socketPath()));
  replaceConfiguration();
  successor.close();
  EXPECT_TRUE(newAddressIsUsed());
}

TEST_F(ReloadInHandover, APredecessorThatTakesOverAgainReadsTheFile) {
  const auto predecessor = start();
  ASSERT_TRUE(before_.waitForWatch(1));
  UnixSocket successor;
  ASSERT_TRUE(successor.connect(socketPath()));
  EXPECT_NE(std::string::npos, successor.readLine().find("release"));
  replaceConfiguration();
  successor.close();
  EXPECT_TRUE(newAddressIsUsed());
}

}  // namespace
}  // namespace delivery
