// Tests which client connection is evicted when the connection table is full, with simulated time.
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
  EXPECT_FALSE(clients.evictionCandidate(10 * kMs)) << "the first requests may be in transit";
  EXPECT_EQ(many[0], *clients.evictionCandidate(kSecond))
      << "the oldest connection of the peer with the most, not the oldest of all";
  clients.onClosed(many[0]);
  EXPECT_TRUE(clients.hasCapacity());
  for (int i = 1; i < 4; ++i) {
    clients.onClosed(many[static_cast<std::size_t>(i)]);
  }
  EXPECT_EQ(one, *clients.evictionCandidate(kSecond))
      << "with equal shares, the one that was inactive the longest";
}

TEST(ClientEviction, EvictsUnproductiveConnectionsFirstAndOpenRequestsNever) {
  ClientAdmission clients(smallBudget(6));
  const ConnectionId idle = addIdleSubmitter(clients, "a", 0);
  const ConnectionId open = clients.onAccepted("a", 0);
  const ConnectionId partial = clients.onAccepted("a", 0);
  const ConnectionId pinged = clients.onAccepted("a", 0);
  const ConnectionId silent = clients.onAccepted("a", 0);
  const ConnectionId partial_of_submitter = addIdleSubmitter(clients, "a", 0);
  clients.onBytesReceived(open, 10, 0);
  ASSERT_EQ(RequestAdmission::process_now, clients.onRequestComplete(open, 0));
  clients.onBytesReceived(partial, 10, 0);
  clients.onRequestPartial(partial, 0);
  clients.onBytesReceived(pinged, 10, 0);
  ASSERT_EQ(RequestAdmission::process_now, clients.onRequestComplete(pinged, 0));
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
      << "one has an open request, and one that has submitted is sending its next request";
}

// An idle client must not be evicted when a connection of a peer with more connections will soon have been
// idle for long enough.
TEST(ClientEviction, AnIdleClientOfASmallerPeerIsKeptLonger) {
  ClientAdmission clients(smallBudget(3));
  const ConnectionId few = addIdleSubmitter(clients, "few", 0);
  const ConnectionId of_many = addIdleSubmitter(clients, "many", 500 * kMs);
  addIdleSubmitter(clients, "many", 500 * kMs);
  EXPECT_FALSE(clients.evictionCandidate(2 * kSecond));
  EXPECT_EQ(of_many, clients.evictionCandidate(2500 * kMs).value_or(0));
  clients.onUnreadInput(of_many);
  clients.onUnreadInput(of_many + 1);
  EXPECT_FALSE(clients.evictionCandidate(3 * kSecond));
  EXPECT_EQ(few, clients.evictionCandidate(4 * kSecond).value_or(0))
      << "the other connections have unread input, and a client waits to connect";
}

// Connections from many addresses must not displace clients that submit, however few connections each address
// has. A peer that has most of the connections is evicted nevertheless.
TEST(ClientEviction, SubmittersAreEvictedLastUnlessTheirPeerHasMostConnections) {
  ClientAdmission clients(smallBudget(8));
  std::vector<ConnectionId> submitters;
  submitters.reserve(3);
  for (int i = 0; i < 3; ++i) {
    submitters.push_back(addIdleSubmitter(clients, "client", 0));
  }
  const ConnectionId a = clients.onAccepted("a", 5 * kSecond);
  const ConnectionId b = clients.onAccepted("b", 5 * kSecond);
  clients.onAccepted("d", 10 * kSecond);
  EXPECT_EQ(a, clients.evictionCandidate(10 * kSecond).value_or(0));
  clients.onClosed(a);
  EXPECT_EQ(submitters[0], clients.evictionCandidate(10 * kSecond).value_or(0))
      << "the peer has three of five connections";
  clients.onClosed(submitters[0]);
  EXPECT_EQ(b, clients.evictionCandidate(10 * kSecond).value_or(0));
  clients.onClosed(b);
  clients.onAccepted("e", 10 * kSecond);
  EXPECT_FALSE(clients.evictionCandidate(10 * kSecond))
      << "the peer has two of four connections, and the others will soon be evictable";
}

// A connection that submits nothing must be evictable as soon as one that sends nothing, however often it
// sends PING.
TEST(ClientEviction, AConnectionThatOnlyPingsIsEvictableBetweenTwoRequests) {
  ClientAdmission clients(smallBudget(1));
  const ConnectionId id = clients.onAccepted("a", 0);
  const auto ping = [&](Micros now) {
    clients.onBytesReceived(id, 10, now);
    ASSERT_EQ(RequestAdmission::process_now, clients.onRequestComplete(id, now));
    EXPECT_FALSE(clients.evictionCandidate(now + kSecond)) << "its reply is pending";
    clients.onRequestConsumed(id, 0);
    clients.onReplyStarted(id, false, now);
    ASSERT_EQ(AfterReply::keep_open, clients.onReplyWritten(id, false, now));
  };
  for (const Micros now : {300 * kMs, 600 * kMs}) {
    ping(now);
    EXPECT_FALSE(clients.evictionCandidate(now + 19 * kMs)) << "a message may be in transit";
    EXPECT_EQ(id, clients.evictionCandidate(now + 20 * kMs).value_or(0));
  }
}

// Guards against a crowd that is never inactive: peers that send PING without a pause must not keep the table
// full.
TEST(ClientEviction, AConnectionThatPingsWithoutAPauseIsEvictableAfterAFewReplies) {
  ClientAdmission clients(smallBudget(1));
  const ConnectionId id = clients.onAccepted("a", 0);
  constexpr int kProtectedReplies = 4;
  for (int reply = 1; reply <= kProtectedReplies + 1; ++reply) {
    const Micros now = 10 * kMs * reply;
    clients.onBytesReceived(id, 10, now);
    ASSERT_EQ(RequestAdmission::process_now, clients.onRequestComplete(id, now));
    EXPECT_FALSE(clients.evictionCandidate(now)) << "its reply is pending";
    clients.onRequestConsumed(id, 0);
    clients.onReplyStarted(id, false, now);
    ASSERT_EQ(AfterReply::keep_open, clients.onReplyWritten(id, false, now));
    EXPECT_EQ(reply > kProtectedReplies, clients.evictionCandidate(now).has_value()) << reply;
  }
  clients.onUnreadInput(id);
  EXPECT_FALSE(clients.evictionCandidate(kSecond)) << "its next request has arrived";
}

// 400 connections per second, each from an address of its own, send PING once and stay open, while most of
// the table is idle clients. Each new connection must be accepted well within the 400 ms for which a client
// waits for its reply.
TEST(ClientEviction, ManyPeersThatPingOnceAndStayDelayNoNewConnection) {
  ClientAdmission clients(smallBudget(91));
  for (int i = 0; i < 64; ++i) {
    addIdleSubmitter(clients, "client" + std::to_string(i), 10 * kSecond - 4 * kMs * i);
  }
  Micros waited = 0;
  Micros max_waited = 0;
  for (Micros now = 10 * kSecond; now < 12 * kSecond; now += 2500) {  // one connection in each step
    while (!clients.hasCapacity()) {
      if (const auto candidate = clients.evictionCandidate(now + waited)) {
        clients.onClosed(*candidate);
      } else {
        waited += kMs;
      }
    }
    max_waited = std::max(max_waited, waited);
    const ConnectionId id = clients.onAccepted("peer" + std::to_string(now), now + waited);
    clients.onBytesReceived(id, 14, now + waited);
    ASSERT_EQ(RequestAdmission::process_now, clients.onRequestComplete(id, now + waited));
    clients.onRequestConsumed(id, 0);
    clients.onReplyStarted(id, false, now + waited);
    ASSERT_EQ(AfterReply::keep_open, clients.onReplyWritten(id, false, now + waited));
    waited = std::max<Micros>(0, waited - 2500);
  }
  EXPECT_LT(max_waited, 50 * kMs);
}

// An idle client must not be evicted while an unproductive connection of the same peer will soon have been
// inactive for long enough.
TEST(ClientEviction, AnIdleClientIsKeptWhileAnUnproductiveConnectionIsEvictableSoon) {
  ClientAdmission clients(smallBudget(2));
  const ConnectionId idle = addIdleSubmitter(clients, "a", 0);
  const ConnectionId unproductive = clients.onAccepted("a", 10 * kSecond);
  EXPECT_FALSE(clients.evictionCandidate(10 * kSecond));
  EXPECT_EQ(unproductive, *clients.evictionCandidate(10 * kSecond + 20 * kMs));
  clients.onUnreadInput(unproductive);
  EXPECT_EQ(idle, *clients.evictionCandidate(20 * kSecond))
      << "a connection with unread input is never evicted";
  clients.onBytesReceived(unproductive, 10, 20 * kSecond);
  EXPECT_FALSE(clients.evictionCandidate(20 * kSecond));
  clients.onClosed(unproductive);
  EXPECT_EQ(idle, *clients.evictionCandidate(10 * kSecond));
}

}  // namespace
}  // namespace delivery
