// From when a message's time runs: from when its client sent it, also where it then waited unread.
#include "../src/net/waiting_since.h"

#include <boost/asio/io_context.hpp>
#include <optional>

#include "../src/net/clients.h"
#include "../src/net/listener.h"
#include "../src/net/resp.h"
#include "net/loopback.h"

namespace grademux {
namespace {

constexpr Micros kMs = 1000;

TEST(WaitingSince, IsTheTimeOfTakingForWhatIsSeenAsItComes) {
  WaitingSince w(INT64_MIN / 4);
  w.seenEmpty();
  w.seenFull(5000 * kMs);
  EXPECT_EQ(5000 * kMs, w.from(5000 * kMs));
  EXPECT_EQ(5000 * kMs, w.from(5003 * kMs)) << "not taken at once";
  w.taken(5003 * kMs);
  EXPECT_EQ(5003 * kMs, w.from(5090 * kMs)) << "the next came after what was taken";
}

TEST(WaitingSince, GoesNoFurtherBackThanAClientWaits) {
  WaitingSince w(INT64_MIN / 4);
  EXPECT_EQ(4600 * kMs, w.from(5000 * kMs)) << "nobody knows since when";
  w.seenEmpty();
  w.seenFull(5000 * kMs);
  w.seenFull(5300 * kMs);
  EXPECT_EQ(5000 * kMs, w.from(5400 * kMs)) << "others came behind the first";
  EXPECT_EQ(5600 * kMs, w.from(6000 * kMs));
  EXPECT_EQ(4900 * kMs, w.from(4900 * kMs));
}

// The table is full, so a connection waits in the kernel's queue, and what its client sends with it.
TEST(ClientsSockets, AMessagesTimeRunsFromWhenItWasSentNotFromWhenItWasRead) {
  boost::asio::io_context io;
  Budget budget;
  budget.clients = budget.requests = 1;
  budget.buffered = kLongestRequest;
  Connections rules(budget);
  auto acceptor = listenAt(io, {boost::asio::ip::address_v4::loopback(), 0});
  const int port = acceptor.local_endpoint().port();
  std::optional<TakenOn> taken;
  Clients clients(io, std::move(acceptor), rules, [&](TakenOn m, Clients::Reply reply) {
    taken = std::move(m);
    reply("+OK");
  });
  auto first = std::make_unique<loopback::Client>(port);
  while (clients.count() == 0) io.run_one();
  loopback::Client second(port);
  io.run_one();  // it is seen, and there is no room for it
  ASSERT_EQ(1u, clients.count());
  second.send(loopback::Client::request({"MSG.PUT", "0", "m", "c=order,d=8000,dest=7", "x"}));
  const Micros sent = monotonicNow();
  first.reset();
  while (!taken) io.run_one();
  EXPECT_LE(taken->give_up_at.at(), sent + 8000 * kMs);
  EXPECT_GE(taken->give_up_at.at(), sent + 8000 * kMs - kClientWaits);
}

}  // namespace
}  // namespace grademux
