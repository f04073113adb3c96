// What a message is answered whose id comes again, and that it is not sent again: while it is open, after
// each way in which it may end, in the next process after a kill, and at both processes of an upgrade.
#include "support/decision_driver_fixture.h"

namespace delivery {
namespace {

using namespace loopback;

std::size_t sendCount(HttpServer& endpoint, const std::string& id) {
  const std::vector<ReceivedRequest> requests = endpoint.requests();
  return static_cast<std::size_t>(std::count_if(
      requests.begin(), requests.end(), [&](const auto& request) { return request.field("X-Txn") == id; }));
}

// Guards against charges that ran twice when a copy of their request came after the delivery (review/10). An
// idempotent message may run again.
TEST(RepeatedIds, ADeliveredMessageIsSentAgainOnlyIfItIsIdempotent) {
  DriverSurroundings surroundings(respondOk);
  DriverProcess process(surroundings);
  for (const char* message_class : {"payment", "order", "notice"}) {
    const std::string id = std::string("delivered-") + message_class;
    for (int copy = 0; copy < 3; ++copy) {
      EXPECT_EQ(SubmitStatus::accepted, process.submit(id, message_class));
      ASSERT_TRUE(process.runUntil([&] { return process.driver().idle(); }));
    }
    EXPECT_EQ(message_class == std::string("notice") ? 3u : 1u, sendCount(surroundings.endpoint, id)) << id;
  }
  EXPECT_EQ(0u, surroundings.discovery.noticeCount());
}

TEST(RepeatedIds, AnOpenMessageIsAcceptedAgainAndSentOnce) {
  DriverSurroundings surroundings(neverRespond);
  DriverProcess process(surroundings);
  EXPECT_EQ(SubmitStatus::accepted, process.submit("open", "payment"));
  ASSERT_TRUE(process.runUntil([&] { return sendCount(surroundings.endpoint, "open") == 1; }));
  EXPECT_EQ(SubmitStatus::accepted, process.submit("open", "payment"));
  EXPECT_EQ(SubmitStatus::accepted, process.submit("other", "payment"));
  ASSERT_TRUE(process.runUntil([&] { return sendCount(surroundings.endpoint, "other") == 1; }));
  EXPECT_EQ(1u, sendCount(surroundings.endpoint, "open"));
}

// While the notice is pending a new message with the id would not be recorded; see also the notices below.
TEST(RepeatedIds, AMessageThatWasGivenUpFailsAgainAndIsNotSent) {
  DriverSurroundings surroundings([](const ReceivedRequest& request) {
    const bool is_other = request.field("X-Txn") == "other";
    return is_other ? ServerAction{httpResponse("200 OK")} : ServerAction{"", false, true};
  });
  surroundings.discovery.reject_notices = true;
  DriverProcess process(surroundings);
  EXPECT_EQ(SubmitStatus::accepted, process.submit("m", "payment"));
  ASSERT_TRUE(process.runUntil([&] { return surroundings.discovery.rejected_notice_requests > 0; }));
  EXPECT_EQ(SubmitStatus::failed, process.submit("m", "payment"));
  surroundings.discovery.reject_notices = false;
  ASSERT_TRUE(process.runUntil([&] { return surroundings.discovery.noticeCount() == 1; }));
  EXPECT_EQ(SubmitStatus::accepted, process.submit("other", "payment"));
  ASSERT_TRUE(process.runUntil([&] { return process.driver().idle(); }));
  EXPECT_EQ(SubmitStatus::failed, process.submit("m", "payment"));
  EXPECT_EQ(1u, sendCount(surroundings.endpoint, "m"));
}

// Guards against a message that is sent after it was handed back: its client may have handed it in elsewhere.
TEST(RepeatedIds, AMessageThatWasHandedBackIsRejectedAgainAndNotSent) {
  constexpr Micros kLessThanRetryAfter = 1'000'000;
  DriverSurroundings surroundings(
      [](const ReceivedRequest&) { return ServerAction{httpResponse("429 Full", "Retry-After: 2\r\n")}; });
  DriverProcess process(surroundings);
  EXPECT_EQ(SubmitStatus::accepted, process.submit("m", "payment", kLessThanRetryAfter));
  ASSERT_TRUE(process.runUntil([&] { return surroundings.discovery.noticeCount() == 1; }));
  EXPECT_EQ("handed_back", surroundings.discovery.notice("m")["outcome"]);
  // A new message waits until it may be sent, the copy does not.
  EXPECT_EQ(SubmitStatus::accepted, process.submit("new", "payment"));
  EXPECT_EQ(SubmitStatus::busy, process.submit("m", "payment"));
  EXPECT_EQ(1u, sendCount(surroundings.endpoint, "m"));
}

// Sends the bytes of a request as a peer does that copied them, with a line behind them that is no request.
std::string sendCopy(int port, const std::string& id, const std::string& message_class) {
  SenderClient peer(port);
  peer.send(SenderClient::encodeRequest(
                {"MSG.PUT", "0", id, "c=" + message_class + ",t=acme,d=28000,k=k" + id + ",dest=7", "body"}) +
            "no request\r\n");
  return peer.readLine();
}

// Guards against ids that are forgotten in a restart (review/10) or an upgrade (a picture of issue 47: an id
// ran twice when it came again at the other process).
TEST(RepeatedIds, AreRememberedAfterAKillAndInAnUpgrade) {
  TempFolder folder;
  DiscoveryServer discovery;
  Listener client_listener;
  HttpServer endpoint(respondOk);
  const auto start = [&] {
    return std::make_unique<SenderProgram>(folder.path(), discovery.address(),
                                           json::array({endpointEntry("e1", endpoint.address(), 7)}), 3,
                                           testSettings(), &client_listener);
  };
  const std::vector<std::string> classes{"payment", "order"};
  int sentinels = 0;
  const auto send_copies = [&] {
    for (const std::string& message_class : classes) {
      EXPECT_EQ("+OK", sendCopy(client_listener.port, "id-" + message_class, message_class));
    }
    // A message that was accepted after the copies, and has been sent, shows that they were not.
    const std::string sentinel = "sentinel-" + std::to_string(++sentinels);
    ASSERT_EQ("+OK", SenderClient(client_listener.port).submit(sentinel, "payment", 7));
    ASSERT_TRUE(eventually([&] { return sendCount(endpoint, sentinel) == 1; }));
    for (const std::string& message_class : classes) {
      EXPECT_EQ(1u, sendCount(endpoint, "id-" + message_class));
    }
  };
  auto first = start();
  for (const std::string& message_class : classes) {
    // The client leaves without reading its answer.
    SenderClient client(client_listener.port);
    client.send(SenderClient::encodeRequest(
        {"MSG.PUT", "0", "id-" + message_class, "c=" + message_class + ",t=acme,d=28000,dest=7", "body"}));
  }
  ASSERT_TRUE(endpoint.waitForRequests(2));
  send_copies();
  send_copies();  // the round of the sentinel has recorded the deliveries
  first->kill();
  first->start();
  send_copies();
  auto second = start();
  ASSERT_TRUE(eventually([&] { return second->sendCommand("READY") == "OK ready"; }));
  send_copies();
  second->kill();
  second->start();
  send_copies();
}

}  // namespace
}  // namespace delivery
