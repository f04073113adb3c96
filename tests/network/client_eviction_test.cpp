// Which client connection is evicted under pressure, on made-up time.
#include "network/client_eviction.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "support/connection_fixture.h"

namespace delivery {
namespace {

TEST(ClientEviction, ThePeerWithTheMostConnectionsIsEvictedFirst) {
  ClientAdmission clients(smallBudget(6));
  const ConnectionId one = clients.onAccepted("few", 0);
  std::vector<ConnectionId> many;
  many.reserve(5);
  for (int i = 0; i < 5; ++i) {
    many.push_back(clients.onAccepted("many", kMs * (i + 1)));
  }
  EXPECT_FALSE(clients.hasCapacity());
  EXPECT_FALSE(clients.evictionCandidate(10 * kMs)) << "their first requests may be in transit";
  EXPECT_EQ(many[0], *clients.evictionCandidate(kSecond)) << "not the oldest of all";
  clients.onClosed(many[0]);
  EXPECT_TRUE(clients.hasCapacity());
  for (int i = 1; i < 4; ++i) {
    clients.onClosed(many[static_cast<std::size_t>(i)]);
  }
  EXPECT_EQ(one, *clients.evictionCandidate(kSecond)) << "equal shares: the one silent the longest";
}

TEST(ClientEviction, OfOnePeerUnproductiveConnectionsGoFirstAndOpenRequestsNever) {
  ClientAdmission clients(smallBudget(6));
  const ConnectionId idle = submittedAndIdle(clients, "a", 0);
  const ConnectionId open = clients.onAccepted("a", 0), partial = clients.onAccepted("a", 0),
                     pinged = clients.onAccepted("a", 0);
  const ConnectionId silent = clients.onAccepted("a", 0),
                     partial_of_submitter = submittedAndIdle(clients, "a", 0);
  clients.onBytesReceived(open, 10, 0);
  ASSERT_EQ(RequestTurn::now, clients.onRequestComplete(open, 0));
  clients.onBytesReceived(partial, 10, 0);
  clients.onRequestPartial(partial, 0);
  clients.onBytesReceived(pinged, 10, 0);
  ASSERT_EQ(RequestTurn::now, clients.onRequestComplete(pinged, 0));
  clients.onRequestConsumed(pinged, 0);
  clients.onReplyStarted(pinged, false, 0);
  ASSERT_EQ(AfterReply::keep_open, clients.onReplyWritten(pinged, false, 0));
  clients.onBytesReceived(partial_of_submitter, 10, 0);
  clients.onRequestPartial(partial_of_submitter, 0);
  for (const ConnectionId next : {silent, pinged, partial, idle}) {
    ASSERT_EQ(next, clients.evictionCandidate(10 * kSecond).value_or(0));
    clients.onClosed(next);
  }
  EXPECT_FALSE(clients.evictionCandidate(10 * kSecond))
      << "one is open, and one in the middle of its next request";
}

// Both are idle; the connections of the peer that holds more will soon have been idle for long enough.
TEST(ClientEviction, AnIdleClientWithFewerConnectionsIsKeptALittleLonger) {
  ClientAdmission clients(smallBudget(3));
  const ConnectionId few = submittedAndIdle(clients, "few", 0),
                     of_many = submittedAndIdle(clients, "many", 500 * kMs);
  submittedAndIdle(clients, "many", 500 * kMs);
  EXPECT_FALSE(clients.evictionCandidate(2 * kSecond));
  EXPECT_EQ(of_many, clients.evictionCandidate(2500 * kMs).value_or(0));
  clients.onUnreadInput(of_many);
  clients.onUnreadInput(of_many + 1);
  EXPECT_FALSE(clients.evictionCandidate(3 * kSecond));
  EXPECT_EQ(few, clients.evictionCandidate(4 * kSecond).value_or(0))
      << "the others have unread input, and somebody waits to connect";
}

// A crowd from many addresses does not evict clients that submit, however few connections each address
// holds; one peer that holds most of the table gives way all the same.
TEST(ClientEviction, SubmittersGoLastUnlessTheirPeerHoldsMostOfTheTable) {
  ClientAdmission clients(smallBudget(8));
  std::vector<ConnectionId> submitters;
  submitters.reserve(3);
  for (int i = 0; i < 3; ++i) {
    submitters.push_back(submittedAndIdle(clients, "client", 0));
  }
  const ConnectionId a = clients.onAccepted("a", 5 * kSecond), b = clients.onAccepted("b", 5 * kSecond);
  clients.onAccepted("d", 10 * kSecond);
  EXPECT_EQ(a, clients.evictionCandidate(10 * kSecond).value_or(0));
  clients.onClosed(a);
  EXPECT_EQ(submitters[0], clients.evictionCandidate(10 * kSecond).value_or(0)) << "three of five";
  clients.onClosed(submitters[0]);
  EXPECT_EQ(b, clients.evictionCandidate(10 * kSecond).value_or(0));
  clients.onClosed(b);
  clients.onAccepted("e", 10 * kSecond);
  EXPECT_FALSE(clients.evictionCandidate(10 * kSecond))
      << "two of four, and the others will soon have been silent";
}

// A connection that submits nothing is evictable as soon as one that sends nothing, however often it pings.
TEST(ClientEviction, AConnectionThatOnlyPingsIsEvictableBetweenTwoRequests) {
  ClientAdmission clients(smallBudget(1));
  const ConnectionId id = clients.onAccepted("a", 0);
  const auto ping = [&](Micros now) {
    clients.onBytesReceived(id, 10, now);
    ASSERT_EQ(RequestTurn::now, clients.onRequestComplete(id, now));
    EXPECT_FALSE(clients.evictionCandidate(now + kSecond)) << "not while its reply is pending";
    clients.onRequestConsumed(id, 0);
    clients.onReplyStarted(id, false, now);
    ASSERT_EQ(AfterReply::keep_open, clients.onReplyWritten(id, false, now));
  };
  for (const Micros now : {300 * kMs, 600 * kMs}) {
    ping(now);
    EXPECT_FALSE(clients.evictionCandidate(now + 19 * kMs)) << "its message may be in transit";
    EXPECT_EQ(id, clients.evictionCandidate(now + 20 * kMs).value_or(0));
  }
}

// A crowd of 400 connections a second, each from an address of its own, pings once and stays. Each new
// connection is accepted well within the 400 ms for which a client waits for its reply, though most of the
// table is idle clients.
TEST(ClientEviction, ACrowdThatPingsOnceAndStaysKeepsNobodyWaiting) {
  ClientAdmission clients(smallBudget(91));
  for (int i = 0; i < 64; ++i) {
    submittedAndIdle(clients, "client" + std::to_string(i), 10 * kSecond - 4 * kMs * i);
  }
  Micros waited = 0, longest = 0;
  for (Micros now = 10 * kSecond; now < 12 * kSecond; now += 2500) {  // one connects in each step
    while (!clients.hasCapacity()) {
      if (const auto candidate = clients.evictionCandidate(now + waited)) {
        clients.onClosed(*candidate);
      } else {
        waited += kMs;
      }
    }
    longest = std::max(longest, waited);
    const ConnectionId id = clients.onAccepted("crowd" + std::to_string(now), now + waited);
    clients.onBytesReceived(id, 14, now + waited);
    ASSERT_EQ(RequestTurn::now, clients.onRequestComplete(id, now + waited));
    clients.onRequestConsumed(id, 0);
    clients.onReplyStarted(id, false, now + waited);
    ASSERT_EQ(AfterReply::keep_open, clients.onReplyWritten(id, false, now + waited));
    waited = std::max<Micros>(0, waited - 2500);
  }
  EXPECT_LT(longest, 50 * kMs);
}

// An idle client is kept while an unproductive connection of the same peer will soon have been silent for
// long enough.
TEST(ClientEviction, AnIdleClientIsKeptWhileAnUnproductiveConnectionIsEvictableSoon) {
  ClientAdmission clients(smallBudget(2));
  const ConnectionId idle = submittedAndIdle(clients, "a", 0),
                     unproductive = clients.onAccepted("a", 10 * kSecond);
  EXPECT_FALSE(clients.evictionCandidate(10 * kSecond));
  EXPECT_EQ(unproductive, *clients.evictionCandidate(10 * kSecond + 20 * kMs));
  clients.onUnreadInput(unproductive);
  EXPECT_EQ(idle, *clients.evictionCandidate(20 * kSecond)) << "the other one has unread input, however long";
  clients.onBytesReceived(unproductive, 10, 20 * kSecond);
  EXPECT_FALSE(clients.evictionCandidate(20 * kSecond));
  clients.onClosed(unproductive);
  EXPECT_EQ(idle, *clients.evictionCandidate(10 * kSecond));
}

}  // namespace
}  // namespace delivery
