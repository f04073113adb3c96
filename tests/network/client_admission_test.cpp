// Admission of client connections on made-up time: deadlines, turns, drains and buffered bytes.
#include "network/client_admission.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

#include "protocol/resp.h"
#include "support/connection_fixture.h"

namespace delivery {
namespace {

TEST(ClientAdmission, DeadlinesAreThoseOfEachState) {
  ClientAdmission clients(smallBudget(10));
  const ConnectionId id = clients.onAccepted("a", 0);
  EXPECT_EQ(2 * kSecond, clients.deadline(id));
  clients.onBytesReceived(id, 5, 500 * kMs);
  clients.onRequestPartial(id, 500 * kMs);
  EXPECT_EQ(1500 * kMs, clients.deadline(id));
  clients.onBytesReceived(id, 5, 700 * kMs);
  clients.onRequestPartial(id, 700 * kMs);
  EXPECT_EQ(1500 * kMs, clients.deadline(id)) << "not prolonged by what drips in";
  EXPECT_EQ(RequestTurn::now, clients.onRequestComplete(id, 800 * kMs));
  EXPECT_EQ(kNoDeadline, clients.deadline(id)) << "the module answers in its turn";
  clients.onRequestConsumed(id, 0);
  clients.onReplyStarted(id, false, 900 * kMs);
  EXPECT_EQ(1900 * kMs, clients.deadline(id)) << "for the answer to be taken";
  EXPECT_EQ(AfterReply::keep_open, clients.onReplyWritten(id, false, kSecond));
  EXPECT_EQ(3 * kSecond, clients.deadline(id)) << "nothing useful came";
  clients.onBytesReceived(id, 5, 2500 * kMs);
  clients.onRequestPartial(id, 2500 * kMs);
  EXPECT_EQ(3 * kSecond, clients.deadline(id)) << "not prolonged by a request begun late";
  clients.onRequestMalformed(id, 2600 * kMs);
  EXPECT_EQ(3600 * kMs, clients.deadline(id));
  EXPECT_TRUE(clients.overdue(3600 * kMs - 1).empty());
  EXPECT_EQ(std::vector<ConnectionId>{id}, clients.overdue(3600 * kMs));
  const ConnectionId rests = submittedAndIdle(clients, "a", 0);
  EXPECT_EQ(60 * kSecond, clients.deadline(rests)) << "its machine may have vanished";
  clients.onBytesReceived(rests, 5, kSecond);
  clients.onRequestPartial(rests, kSecond);
  EXPECT_EQ(2 * kSecond, clients.deadline(rests));
}

// One whose deadline comes while its request waits unread in the socket: that is read first, and once.
TEST(ClientAdmission, UnreadInputIsReadOnceBeforeAnOverdueConnectionIsClosed) {
  ClientAdmission clients(smallBudget(10));
  const ConnectionId rests = submittedAndIdle(clients, "a", 0), half = clients.onAccepted("a", 0),
                     silent = clients.onAccepted("a", 0);
  clients.onBytesReceived(half, 5, 0);
  clients.onRequestPartial(half, 0);
  EXPECT_TRUE(clients.mayCloseOverdue(silent, false, 2 * kSecond));
  for (const ConnectionId id : {rests, half}) {
    EXPECT_FALSE(clients.mayCloseOverdue(id, true, 60 * kSecond));
    EXPECT_EQ(60 * kSecond + 20 * kMs, clients.deadline(id));
  }
  clients.onBytesReceived(rests, 100, 60 * kSecond);
  ASSERT_EQ(RequestTurn::now, clients.onRequestComplete(rests, 60 * kSecond));
  clients.onRequestConsumed(rests, 0);
  EXPECT_TRUE(clients.mayCloseOverdue(rests, true, 61 * kSecond)) << "it does not take its answer";
  clients.onBytesReceived(half, 5, 60 * kSecond);
  clients.onRequestPartial(half, 60 * kSecond);
  EXPECT_TRUE(clients.mayCloseOverdue(half, true, 60 * kSecond + 20 * kMs))
      << "what drips in prolongs nothing";
  clients.onReplyStarted(rests, true, 60 * kSecond);
  ASSERT_EQ(AfterReply::keep_open, clients.onReplyWritten(rests, false, 60 * kSecond));
  EXPECT_FALSE(clients.mayCloseOverdue(rests, true, 120 * kSecond)) << "the next request has its own";
}

TEST(ClientAdmission, ADrainClosesIdleConnectionsAndShortensTheDeadlinesOfNewOnes) {
  ClientAdmission clients(smallBudget(10));
  const ConnectionId rests = submittedAndIdle(clients, "a", 0);
  const ConnectionId silent = clients.onAccepted("a", 0), in_a_request = clients.onAccepted("a", 0);
  clients.onBytesReceived(in_a_request, 10, kSecond);
  clients.onRequestPartial(in_a_request, kSecond);
  const ConnectionId just_come = clients.onAccepted("a", kSecond);
  EXPECT_EQ((std::vector<ConnectionId>{rests, silent}), clients.startDraining(kSecond + 50 * kMs));
  EXPECT_EQ(2 * kSecond + 50 * kMs, clients.deadline(just_come));
  EXPECT_EQ(2 * kSecond, clients.deadline(in_a_request));
  const ConnectionId late = clients.onAccepted("a", 2 * kSecond);
  EXPECT_EQ(3 * kSecond, clients.deadline(late));
  clients.onBytesReceived(late, 10, 2 * kSecond);
  EXPECT_EQ(RequestTurn::now, clients.onRequestComplete(late, 2 * kSecond));
  clients.onRequestConsumed(late, 0);
  clients.onReplyStarted(late, true, 2 * kSecond);
  EXPECT_EQ(AfterReply::close, clients.onReplyWritten(late, false, 2 * kSecond))
      << "it is closed once answered";
}

// One that pipelines gets one request in turn with the others.
TEST(ClientAdmission, RequestsTakeTurnsWhileMoreAreCompleteThanMayBeOpen) {
  ClientAdmission clients(smallBudget(10, 1));
  const ConnectionId greedy = clients.onAccepted("a", 0), plain = clients.onAccepted("b", 0);
  clients.onBytesReceived(greedy, 1000, 0);
  clients.onBytesReceived(plain, 100, 0);
  ASSERT_EQ(RequestTurn::now, clients.onRequestComplete(greedy, 0));
  clients.onRequestConsumed(greedy, 900);
  EXPECT_EQ(RequestTurn::queued, clients.onRequestComplete(plain, 0));
  EXPECT_FALSE(clients.nextQueuedRequest());
  clients.onReplyStarted(greedy, true, 0);
  ASSERT_EQ(AfterReply::keep_open, clients.onReplyWritten(greedy, true, 0));
  EXPECT_EQ(plain, *clients.nextQueuedRequest());
  EXPECT_EQ(RequestTurn::queued, clients.onRequestComplete(greedy, 0)) << "the other one is in its request";
  clients.onRequestConsumed(plain, 0);
  clients.onReplyStarted(plain, true, 0);
  ASSERT_EQ(AfterReply::keep_open, clients.onReplyWritten(plain, false, 0));
  EXPECT_EQ(greedy, *clients.nextQueuedRequest());
  EXPECT_FALSE(clients.nextQueuedRequest());
}

TEST(ClientAdmission, ReadingStopsWhenTheBufferPoolIsUsedUpAndResumesInTurn) {
  ClientAdmission clients(smallBudget(10));
  const ConnectionId a = clients.onAccepted("a", 0), b = clients.onAccepted("b", 0),
                     later = clients.onAccepted("c", 0);
  for (const ConnectionId id : {a, b}) {
    std::size_t most = 0;
    while ((most = clients.readAllowance(id)) > 0) {
      clients.onBytesReceived(id, std::min<std::size_t>(most, 16384), 0);
      clients.onRequestPartial(id, 0);
    }
  }
  EXPECT_EQ(200'000u, clients.pooledByteCount());
  EXPECT_TRUE(clients.hasStalledReaders());
  EXPECT_FALSE(clients.nextResumedReader());
  EXPECT_EQ(kUnpooledBytes, clients.readAllowance(later)) << "a short request is read all the same";
  EXPECT_FALSE(clients.bufferEvictionCandidate(400 * kMs));
  EXPECT_EQ(a, *clients.bufferEvictionCandidate(kSecond)) << "the peer that has the most buffered";
  clients.onClosed(a);
  EXPECT_EQ(b, *clients.nextResumedReader());
  EXPECT_GT(clients.readAllowance(b), 0u);
  EXPECT_LE(clients.readAllowance(b), kLongestRequest);
}

// A crowd of random peers, with the table, requests and bytes under pressure, and budgets that change.
class Crowd {
 public:
  explicit Crowd(unsigned seed) : random_(seed), clients_(smallBudget(20, 5)) {}

  void step() {
    now_ += randomBelow(30) * kMs;
    for (const ConnectionId id : clients_.overdue(now_)) {
      ASSERT_NE(ClientState::awaiting_reply == clients_.state(id) && !replying_.count(id), true)
          << "an unanswered request went";
      close(id);
    }
    if (randomBelow(50) == 0) {
      DescriptorBudget b = smallBudget(5 + randomBelow(20), 1 + randomBelow(8));
      b.max_pooled_bytes = kLongestRequest + static_cast<std::size_t>(randomBelow(200'000));
      clients_.setBudget(b);
      is_shrinking_ = true;
    }
    for (int n = randomBelow(3); n > 0; --n)
      connectOne();
    for (int n = randomBelow(8); n > 0 && !connections_.empty(); --n)
      act(randomConnection());
    while (const auto id = clients_.nextQueuedRequest())
      open_requests_.insert(*id);
    while (const auto id = clients_.nextResumedReader())
      send(*id);
    if (clients_.hasStalledReaders())
      if (const auto id = clients_.bufferEvictionCandidate(now_))
        close(*id);
    check();
  }

 private:
  int randomBelow(int n) { return static_cast<int>(random_() % static_cast<unsigned>(n)); }
  ConnectionId randomConnection() {
    return *std::next(connections_.begin(), randomBelow(static_cast<int>(connections_.size())));
  }

  void connectOne() {
    if (!clients_.hasCapacity()) {
      const auto id = clients_.evictionCandidate(now_);
      if (!id)
        return;
      ASSERT_NE(ClientState::awaiting_reply, clients_.state(*id)) << "an open request was evicted";
      std::map<std::string, int> held;
      for (const ConnectionId i : connections_)
        ++held[peers_[i]];
      for (const ConnectionId i :
           connections_)  // a never useful one that has long been silent, of a peer that holds more
        if (held[peers_[i]] > held[peers_[*id]]) {
          ASSERT_FALSE(clients_.state(i) == ClientState::awaiting_first_request &&
                       now_ - accepted_at_[i] > kSecond)
              << "not max-min fair";
        }
      close(*id);
    }
    if (!clients_.hasCapacity())
      return;
    const std::string peer = std::string(1, static_cast<char>('a' + randomBelow(randomBelow(2) ? 2 : 8)));
    const ConnectionId id = clients_.onAccepted(peer, now_);
    peers_[id] = peer;
    accepted_at_[id] = now_;
    connections_.insert(id);
  }

  void send(ConnectionId id) {
    const std::size_t most = clients_.readAllowance(id);
    if (most == 0)
      return;
    clients_.onBytesReceived(
        id, 1 + static_cast<std::size_t>(randomBelow(static_cast<int>(std::min<std::size_t>(most, 16384)))),
        now_);
    if (randomBelow(3) == 0) {
      if (clients_.onRequestComplete(id, now_) == RequestTurn::now)
        open_requests_.insert(id);
    } else {
      clients_.onRequestPartial(id, now_);
    }
  }

  void act(ConnectionId id) {
    switch (clients_.state(id)) {
      case ClientState::awaiting_first_request:
      case ClientState::idle:
      case ClientState::reading_request:
        if (randomBelow(20) == 0)
          return clients_.onRequestMalformed(id, now_);
        if (randomBelow(3) > 0)
          send(id);
        break;
      case ClientState::awaiting_reply:
        if (!open_requests_.count(id))
          break;
        if (!replying_.count(id)) {
          clients_.onRequestConsumed(id, 0);
          clients_.onReplyStarted(id, randomBelow(2) == 0, now_);
          replying_.insert(id);
        } else {
          replying_.erase(id);
          open_requests_.erase(id);
          ASSERT_EQ(AfterReply::keep_open, clients_.onReplyWritten(id, false, now_));
        }
        break;
      case ClientState::discarding_input:
        if (randomBelow(2) == 0)
          close(id);
        break;
    }
  }

  void close(ConnectionId id) {
    connections_.erase(id);
    open_requests_.erase(id);
    replying_.erase(id);
    clients_.onClosed(id);
  }

  void check() {
    const DescriptorBudget& b = clients_.budget();
    ASSERT_EQ(connections_.size(), clients_.size());
    ASSERT_EQ(static_cast<std::int64_t>(open_requests_.size()), clients_.openRequests());
    const bool over = static_cast<std::int64_t>(clients_.size()) > b.max_clients ||
                      clients_.openRequests() > b.max_open_requests ||
                      clients_.pooledByteCount() > b.max_pooled_bytes;
    ASSERT_TRUE(!over || is_shrinking_) << "over the budget";
    if (!over)
      is_shrinking_ = false;
    for (const ConnectionId id : connections_) {
      if (clients_.state(id) == ClientState::awaiting_reply && !replying_.count(id))
        continue;
      ASSERT_GT(clients_.deadline(id), now_) << "past its deadline, and still there";
      ASSERT_LE(clients_.deadline(id), now_ + 60 * kSecond);
    }
    while (clients_.isOverCapacity()) {
      const auto id = clients_.evictionCandidate(now_);
      if (!id)
        break;
      close(*id);
    }
  }

  std::mt19937 random_;
  ClientAdmission clients_;
  Micros now_ = 0;
  std::set<ConnectionId> connections_, open_requests_, replying_;
  std::map<ConnectionId, std::string> peers_;
  std::map<ConnectionId, Micros> accepted_at_;
  bool is_shrinking_ = false;
};

TEST(ClientAdmissionProperty, InvariantsHoldOverRandomEvents) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE(seed);
    Crowd crowd(seed);
    for (int i = 0; i < 3000; ++i) {
      crowd.step();
      if (::testing::Test::HasFatalFailure())
        return;
    }
  }
}

}  // namespace
}  // namespace delivery
