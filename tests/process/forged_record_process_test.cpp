// The whole program on journals whose messages hold bytes that look like records: it must not send a message
// that no client has submitted.
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>

#include "storage/journal.h"
#include "storage/record_buffer.h"
#include "support/loopback.h"
#include "support/submitted_messages.h"

namespace delivery {
namespace {

using namespace loopback;

// Writes a journal of three messages. The second one, "carrier", holds a record of a message "forged" again
// and again in its body. Returns the position of the carrier's record in the file.
std::size_t writeJournal(const std::string& folder) {
  const std::string path = folder + "/journal";
  Journal journal(folder, {3'000'000});
  journal.recordAccepted(messageFor("first", "payment"));
  EXPECT_TRUE(journal.flush());
  const std::size_t carrier_at = std::filesystem::file_size(path);
  const PersistentClock clock = PersistentClock::startingNow(readClocks());
  SubmittedMessage carrier = messageFor("carrier", "payment");
  for (std::uint64_t number = 1; number < 100; ++number) {
    RecordBuffer record(clock, number);
    record.append(AcceptedRecord{messageFor("forged", "payment")});
    carrier.body += record.data();
  }
  journal.recordAccepted(carrier);
  journal.recordAccepted(messageFor("last", "payment"));
  EXPECT_TRUE(journal.flush());
  return carrier_at;
}

std::string readJournal(const std::string& folder) {
  std::ifstream file(folder + "/journal", std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

void replaceJournal(const std::string& folder, const std::string& content) {
  std::ofstream(folder + "/journal", std::ios::binary) << content;
}

// Guards against a message that nobody has submitted, after a kill in the middle of a write.
TEST(ForgedRecordsInTheProgram, AfterATornWriteNoneIsSent) {
  TempFolder folder;
  const std::size_t carrier_at = writeJournal(folder.path());
  replaceJournal(folder.path(), readJournal(folder.path()).substr(0, carrier_at + 8192));
  DiscoveryServer discovery;
  HttpServer endpoint(respondOk);
  SenderProgram program(folder.path(), discovery.address(),
                        json::array({endpointEntry("e1", endpoint.address(), 7)}));
  SenderClient client(program.port());
  ASSERT_EQ("+OK", client.submit("new", "notice", 7));
  ASSERT_TRUE(endpoint.waitForRequests(2));
  EXPECT_EQ((std::set<std::string>{"first", "new"}), idsReceivedBy(endpoint));
  EXPECT_EQ(0u, discovery.noticeCount());
}

// Guards against the same where the header of a record is lost: the messages behind it are ended with
// notices.
TEST(ForgedRecordsInTheProgram, AfterALostHeaderNoneIsSent) {
  TempFolder folder;
  const std::size_t carrier_at = writeJournal(folder.path());
  std::string content = readJournal(folder.path());
  content.replace(carrier_at, kFrameHeaderBytes, kFrameHeaderBytes, '\0');
  replaceJournal(folder.path(), content);
  DiscoveryServer discovery;
  HttpServer endpoint(respondOk);
  SenderProgram program(folder.path(), discovery.address(),
                        json::array({endpointEntry("e1", endpoint.address(), 7)}));
  ASSERT_TRUE(discovery.waitForNotice("last"));
  EXPECT_EQ("given_up", discovery.notice("last")["outcome"]);
  ASSERT_TRUE(discovery.waitForNotice("first"));  // its attempts may be among the damaged records
  SenderClient client(program.port());
  ASSERT_EQ("+OK", client.submit("new", "notice", 7));
  ASSERT_TRUE(endpoint.waitForRequests(1));
  EXPECT_EQ(std::set<std::string>{"new"}, idsReceivedBy(endpoint));
}

}  // namespace
}  // namespace delivery
