// Tests of the whole program with texts that are too long for an HTTP header field, on each way in: a
// client's request, the journal that an earlier version wrote, an endpoint's answer
// and discovery's list. HTTP can't carry them, and they must not end the process.
#include "storage/journal.h"
#include "support/loopback.h"
#include "support/submitted_messages.h"

namespace delivery {
namespace {

using namespace loopback;

// 3 bytes more than Beast stores in a header field.
const std::string kOversizedText(65'536, 'a');

// Writes the journal of an earlier version, which accepted ids of any length and ended at the first attempt
// to send one.
void writeJournalWithOversizedIds(const std::string& folder) {
  Journal journal(folder, {3'000'000});
  journal.recordAccepted(messageFor("before", "notice"));
  journal.recordAccepted(messageFor(kOversizedText, "payment"));
  journal.recordAttempt(kOversizedText, {"e1", monotonicNow(), false});
  journal.recordAccepted(messageFor(kOversizedText + "-untried", "notice"));
  SubmittedMessage oversized_key = messageFor("oversized-key", "order");
  oversized_key.idempotency_key = kOversizedText;
  journal.recordAccepted(oversized_key);
  journal.recordAccepted(messageFor("after", "payment"));
  ASSERT_TRUE(journal.flush());
}

void expectOversizedMessagesAbandoned(DiscoveryServer& discovery) {
  for (const std::string& id : {kOversizedText, kOversizedText + "-untried", std::string("oversized-key")}) {
    ASSERT_TRUE(discovery.waitForNotice(id)) << id.size();
    EXPECT_EQ("given_up", discovery.notice(id)["outcome"]);
  }
}

// Guards against a client whose request ends the process: an id that HTTP can't carry was accepted.
TEST(OversizedInput, AnIdOrIdempotencyKeyThatHttpCannotCarryIsRejected) {
  SenderSetup setup(respondOk);
  SenderClient client(setup.program.port());
  EXPECT_EQ("-ERR malformed id",
            client.sendRequest({"MSG.PUT", "0", kOversizedText, "c=notice,d=8000,dest=7", "x"}));
  EXPECT_EQ(
      "-ERR malformed k",
      client.sendRequest({"MSG.PUT", "0", "m", "c=order,d=8000,dest=7,k=" + std::string(65'000, 'k'), "x"}));
  EXPECT_EQ("+OK", client.submit("fine", "notice", 7));
  ASSERT_TRUE(setup.endpoint.waitForRequests(1));
  EXPECT_EQ(std::set<std::string>{"fine"}, idsReceivedBy(setup.endpoint));
}

// Guards against a journal that ends each process that reads it: a message with an id that HTTP can't carry
// is ended with a notice, and the messages beside it are delivered.
TEST(OversizedInput, JournaledMessagesThatHttpCannotCarryAreAbandoned) {
  TempFolder folder;
  writeJournalWithOversizedIds(folder.path());
  DiscoveryServer discovery;
  HttpServer endpoint(respondOk);
  discovery.reject_notices = true;
  SenderProgram program(folder.path(), discovery.address(),
                        json::array({endpointEntry("e1", endpoint.address(), 7)}));
  ASSERT_TRUE(endpoint.waitForRequests(2));
  ASSERT_TRUE(eventually([&] { return discovery.rejected_notice_requests > 0; }));
  program.kill();  // the notices are pending in the journal
  discovery.reject_notices = false;
  program.start();
  expectOversizedMessagesAbandoned(discovery);
  EXPECT_EQ((std::set<std::string>{"before", "after"}), idsReceivedBy(endpoint));
}

// Guards against an endpoint whose answer ends the process: a field behind the last chunk that the HTTP
// library can't store.
TEST(OversizedInput, AnAnswerWithAFieldThatIsTooLongEndsOnlyItsAttempt) {
  std::atomic<int> answers{0};
  SenderSetup setup([&](const ReceivedRequest&) {
    if (answers++ > 0) {
      return ServerAction{httpResponse("200 OK")};
    }
    return ServerAction{
        "HTTP/1.1 500 Oops\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Long: " + kOversizedText + "\r\n\r\n",
        true};
  });
  SenderClient client(setup.program.port());
  ASSERT_EQ("+OK", client.submit("repeated", "notice", 7));
  ASSERT_TRUE(setup.endpoint.waitForRequests(2));
  EXPECT_EQ("+PONG", client.sendRequest({"PING"}));
}

// Guards against a list that ends the process: copying a value that is nested too deeply exhausts the stack.
TEST(OversizedInput, AListThatIsNestedTooDeeplyIsNotRead) {
  HttpServer endpoint(respondOk);
  const json list{{"index", 2}, {"endpoints", {endpointEntry("e1", endpoint.address(), 7)}}};
  std::string nested = list.dump();
  nested.insert(nested.find("\"name\""),
                "\"x\":" + std::string(1'000'000, '[') + std::string(1'000'000, ']') + ",");
  std::atomic<int> discovery_requests{0};
  HttpServer discovery([&](const ReceivedRequest&) {
    return ServerAction{httpResponse("200 OK", "", discovery_requests++ == 0 ? nested : list.dump())};
  });
  const TempFolder folder;
  SenderProgram program(folder.path(), discovery.address(), json::array());
  SenderClient client(program.port());
  EXPECT_TRUE(eventually([&] { return client.submit("fine", "notice", 7) == "+OK"; }));
  EXPECT_TRUE(endpoint.waitForRequests(1));
}

// Guards against a list that ends the process: an address becomes the Host field.
TEST(OversizedInput, AnAddressThatIsTooLongIsNotConnectedTo) {
  SenderSetup setup(respondOk);
  const std::string long_scope(66'000, '0');
  setup.discovery.publish(json::array({endpointEntry("e2", "[::1%" + long_scope + "]:80", 8)}));
  ASSERT_TRUE(setup.discovery.waitForWatch(2));
  SenderClient client(setup.program.port());
  ASSERT_EQ("+OK", client.submit("unreachable", "notice", 8, "body", 400));
  ASSERT_TRUE(setup.discovery.waitForNotice("unreachable"));
  EXPECT_EQ("+OK", client.submit("fine", "notice", 7));
  ASSERT_TRUE(setup.endpoint.waitForRequests(1));
}

}  // namespace
}  // namespace delivery
