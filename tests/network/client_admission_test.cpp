// Tests of the admission control for client connections with simulated time: deadlines, queued requests,
// drains and buffered bytes.
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

constexpr std::size_t kMaxReadBytes = 16384;  // the maximum that one read returns

TEST(ClientAdmission, SetsTheDeadlineOfEachState) {
  ClientAdmission clients(smallBudget(10));
  const ConnectionId id = clients.onAccepted("a", 0);
  EXPECT_EQ(2 * kSecond, clients.deadline(id));
  clients.onBytesReceived(id, 5, 500 * kMs);
  clients.onRequestPartial(id, 500 * kMs);
  EXPECT_EQ(1500 * kMs, clients.deadline(id));
  clients.onBytesReceived(id, 5, 700 * kMs);
  clients.onRequestPartial(id, 700 * kMs);
  EXPECT_EQ(1500 * kMs, clients.deadline(id)) << "bytes that arrive one by one must not extend the deadline";
  EXPECT_EQ(RequestAdmission::process_now, clients.onRequestComplete(id, 800 * kMs));
  EXPECT_EQ(kNoDeadline, clients.deadline(id)) << "the decision module replies in its next decision round";
  clients.onRequestConsumed(id, 0);
  clients.onReplyStarted(id, false, 900 * kMs);
  EXPECT_EQ(1900 * kMs, clients.deadline(id)) << "the client has 1 s to take the reply";
  EXPECT_EQ(AfterReply::keep_open, clients.onReplyWritten(id, false, kSecond));
  EXPECT_EQ(3 * kSecond, clients.deadline(id)) << "the connection has submitted nothing";
  clients.onBytesReceived(id, 5, 2500 * kMs);
  clients.onRequestPartial(id, 2500 * kMs);
  EXPECT_EQ(3 * kSecond, clients.deadline(id)) << "a request that begins late must not extend the deadline";
  clients.onRequestMalformed(id, 2600 * kMs);
  EXPECT_EQ(3600 * kMs, clients.deadline(id));
  EXPECT_TRUE(clients.overdue(3600 * kMs - 1).empty());
  EXPECT_EQ(std::vector<ConnectionId>{id}, clients.overdue(3600 * kMs));
  const ConnectionId idle = addIdleSubmitter(clients, "a", 0);
  EXPECT_EQ(60 * kSecond, clients.deadline(idle)) << "the client machine may have failed";
  clients.onBytesReceived(idle, 5, kSecond);
  clients.onRequestPartial(idle, kSecond);
  EXPECT_EQ(2 * kSecond, clients.deadline(idle));
}

// The deadline of a connection passes while the process is busy and a request is unread in the socket.
// Closing the connection then would lose the request. The input is read once before the connection is closed.
TEST(ClientAdmission, UnreadInputIsReadOnceBeforeAnOverdueConnectionIsClosed) {
  ClientAdmission clients(smallBudget(10));
  const ConnectionId idle = addIdleSubmitter(clients, "a", 0);
  const ConnectionId partial = clients.onAccepted("a", 0);
  const ConnectionId silent = clients.onAccepted("a", 0);
  clients.onBytesReceived(partial, 5, 0);
  clients.onRequestPartial(partial, 0);
  EXPECT_TRUE(clients.mayCloseOverdue(silent, false, 2 * kSecond));
  for (const ConnectionId id : {idle, partial}) {
    EXPECT_FALSE(clients.mayCloseOverdue(id, true, 60 * kSecond));
    EXPECT_EQ(60 * kSecond + 20 * kMs, clients.deadline(id));
  }
  clients.onBytesReceived(idle, 100, 60 * kSecond);
  ASSERT_EQ(RequestAdmission::process_now, clients.onRequestComplete(idle, 60 * kSecond));
  clients.onRequestConsumed(idle, 0);
  EXPECT_TRUE(clients.mayCloseOverdue(idle, true, 61 * kSecond)) << "the client does not take its reply";
  clients.onBytesReceived(partial, 5, 60 * kSecond);
  clients.onRequestPartial(partial, 60 * kSecond);
  EXPECT_TRUE(clients.mayCloseOverdue(partial, true, 60 * kSecond + 20 * kMs))
      << "bytes that arrive one by one must not extend the deadline";
  clients.onReplyStarted(idle, true, 60 * kSecond);
  ASSERT_EQ(AfterReply::keep_open, clients.onReplyWritten(idle, false, 60 * kSecond));
  EXPECT_FALSE(clients.mayCloseOverdue(idle, true, 120 * kSecond))
      << "the grace read is granted again for the next request";
}

TEST(ClientAdmission, ADrainClosesIdleConnectionsAndShortensTheDeadlinesOfNewOnes) {
  ClientAdmission clients(smallBudget(10));
  const ConnectionId idle = addIdleSubmitter(clients, "a", 0);
  const ConnectionId silent = clients.onAccepted("a", 0);
  const ConnectionId reading = clients.onAccepted("a", 0);
  clients.onBytesReceived(reading, 10, kSecond);
  clients.onRequestPartial(reading, kSecond);
  const ConnectionId just_accepted = clients.onAccepted("a", kSecond);
  EXPECT_EQ((std::vector<ConnectionId>{idle, silent}), clients.startDraining(kSecond + 50 * kMs, kSecond));
  EXPECT_EQ(2 * kSecond + 50 * kMs, clients.deadline(just_accepted));
  EXPECT_EQ(2 * kSecond, clients.deadline(reading));
  const ConnectionId late = clients.onAccepted("a", 2 * kSecond);
  EXPECT_EQ(3 * kSecond, clients.deadline(late));
  clients.onBytesReceived(late, 10, 2 * kSecond);
  EXPECT_EQ(RequestAdmission::process_now, clients.onRequestComplete(late, 2 * kSecond));
  clients.onRequestConsumed(late, 0);
  clients.onReplyStarted(late, true, 2 * kSecond);
  EXPECT_EQ(AfterReply::close, clients.onReplyWritten(late, false, 2 * kSecond))
      << "a connection accepted during a drain is closed once it is answered";
}

// A client that always has more requests is read from for a limited time of a drain. A second drain, as of
// SIGTERM after DRAIN, does not extend that time.
TEST(ClientAdmission, ADrainReadsFurtherRequestsForItsReadingTimeOnly) {
  ClientAdmission clients(smallBudget(10));
  const ConnectionId pipelining = addIdleSubmitter(clients, "a", 0);
  EXPECT_TRUE(clients.mayReadNextRequest(pipelining, 0));
  clients.startDraining(0, kSecond);
  clients.startDraining(500 * kMs, kSecond);
  EXPECT_TRUE(clients.mayReadNextRequest(pipelining, kSecond - 1));
  EXPECT_FALSE(clients.mayReadNextRequest(pipelining, kSecond));
  const ConnectionId late = clients.onAccepted("a", kSecond);
  EXPECT_TRUE(clients.mayReadNextRequest(late, kSecond)) << "its first request is read";
  clients.onReadingEnded(pipelining, kSecond);
  EXPECT_EQ(2 * kSecond, clients.deadline(pipelining));
  clients.stopDraining();
  clients.startDraining(5 * kSecond, kSecond);
  EXPECT_TRUE(clients.mayReadNextRequest(late, 6 * kSecond - 1));
}

// Guards against clients that wait behind others which do not take their replies (issue 47, pictures (a) and
// (b)): a request that is decided on does not count as open.
TEST(ClientAdmission, AReplyThatIsNotTakenHoldsNoOpenRequest) {
  ClientAdmission clients(smallBudget(10, 1));
  const ConnectionId silent = clients.onAccepted("a", 0);
  const ConnectionId other = clients.onAccepted("b", 0);
  clients.onBytesReceived(silent, 100, 0);
  clients.onBytesReceived(other, 100, 0);
  ASSERT_EQ(RequestAdmission::process_now, clients.onRequestComplete(silent, 0));
  ASSERT_EQ(RequestAdmission::queued, clients.onRequestComplete(other, 0));
  EXPECT_FALSE(clients.nextQueuedRequest());
  EXPECT_EQ(1, clients.openRequests());
  clients.onReplyStarted(silent, false, 0);
  EXPECT_EQ(0, clients.openRequests());
  EXPECT_EQ(other, *clients.nextQueuedRequest());
  EXPECT_EQ(ClientState::awaiting_reply, clients.state(silent));
}

// A connection that pipelines requests must not starve the others: it is queued again after each request.
TEST(ClientAdmission, QueuesCompleteRequestsBeyondTheLimitOfOpenOnes) {
  ClientAdmission clients(smallBudget(10, 1));
  const ConnectionId pipelining = clients.onAccepted("a", 0);
  const ConnectionId single = clients.onAccepted("b", 0);
  clients.onBytesReceived(pipelining, 1000, 0);
  clients.onBytesReceived(single, 100, 0);
  ASSERT_EQ(RequestAdmission::process_now, clients.onRequestComplete(pipelining, 0));
  clients.onRequestConsumed(pipelining, 900);
  EXPECT_EQ(RequestAdmission::queued, clients.onRequestComplete(single, 0));
  EXPECT_FALSE(clients.nextQueuedRequest());
  clients.onReplyStarted(pipelining, true, 0);
  ASSERT_EQ(AfterReply::keep_open, clients.onReplyWritten(pipelining, true, 0));
  EXPECT_EQ(single, *clients.nextQueuedRequest());
  EXPECT_EQ(RequestAdmission::queued, clients.onRequestComplete(pipelining, 0))
      << "the request of the other connection is open";
  clients.onRequestConsumed(single, 0);
  clients.onReplyStarted(single, true, 0);
  ASSERT_EQ(AfterReply::keep_open, clients.onReplyWritten(single, false, 0));
  EXPECT_EQ(pipelining, *clients.nextQueuedRequest());
  EXPECT_FALSE(clients.nextQueuedRequest());
}

TEST(ClientAdmission, ReadingStopsWhenTheBufferPoolIsUsedUpAndResumesInOrder) {
  ClientAdmission clients(smallBudget(10));
  const ConnectionId a = clients.onAccepted("a", 0);
  const ConnectionId b = clients.onAccepted("b", 0);
  const ConnectionId later = clients.onAccepted("c", 0);
  for (const ConnectionId id : {a, b}) {
    for (std::size_t allowance = clients.readAllowance(id); allowance > 0;
         allowance = clients.readAllowance(id)) {
      clients.onBytesReceived(id, std::min(allowance, kMaxReadBytes), 0);
      clients.onRequestPartial(id, 0);
    }
  }
  EXPECT_EQ(200'000u, clients.pooledByteCount());
  EXPECT_TRUE(clients.hasStalledReaders());
  EXPECT_FALSE(clients.nextResumedReader());
  EXPECT_EQ(kUnpooledBytes, clients.readAllowance(later))
      << "a short request is read even though the pool is used up";
  EXPECT_FALSE(clients.bufferEvictionCandidate(400 * kMs));
  EXPECT_EQ(a, *clients.bufferEvictionCandidate(kSecond)) << "the peer with the most buffered bytes";
  clients.onClosed(a);
  EXPECT_EQ(b, *clients.nextResumedReader());
  EXPECT_GT(clients.readAllowance(b), 0u);
  EXPECT_LE(clients.readAllowance(b), kMaxRespRequestBytes);
}

// Performs random events of many clients. The connection table, open requests and the buffer pool reach their
// limits, and the limits change.
class RandomClients {
 public:
  explicit RandomClients(unsigned seed) : random_(seed), clients_(smallBudget(20, 5)) {}

  void step() {
    now_ += randomBelow(30) * kMs;
    for (const ConnectionId id : clients_.overdue(now_)) {
      ASSERT_NE(ClientState::awaiting_reply == clients_.state(id) && !replying_.count(id), true)
          << "a connection with an unanswered request was overdue";
      close(id);
    }
    if (randomBelow(50) == 0) {
      DescriptorBudget budget = smallBudget(5 + randomBelow(20), 1 + randomBelow(8));
      budget.max_pooled_bytes = kMaxRespRequestBytes + static_cast<std::size_t>(randomBelow(200'000));
      clients_.setBudget(budget);
      is_shrinking_ = true;
    }
    for (int count = randomBelow(3); count > 0; --count) {
      connectOne();
    }
    for (int count = randomBelow(8); count > 0 && !connections_.empty(); --count) {
      continueConnection(randomConnection());
    }
    while (const auto id = clients_.nextQueuedRequest()) {
      open_requests_.insert(*id);
    }
    while (const auto id = clients_.nextResumedReader()) {
      receive(*id);
    }
    if (clients_.hasStalledReaders()) {
      if (const auto id = clients_.bufferEvictionCandidate(now_)) {
        close(*id);
      }
    }
    checkInvariants();
  }

 private:
  int randomBelow(int limit) { return static_cast<int>(random_() % static_cast<unsigned>(limit)); }
  ConnectionId randomConnection() {
    return *std::next(connections_.begin(), randomBelow(static_cast<int>(connections_.size())));
  }

  void connectOne() {
    if (!clients_.hasCapacity()) {
      const auto id = clients_.evictionCandidate(now_);
      if (!id) {
        return;
      }
      ASSERT_NE(ClientState::awaiting_reply, clients_.state(*id)) << "an open request was evicted";
      std::map<std::string, int> connections_of;
      for (const ConnectionId other : connections_) {
        ++connections_of[peers_[other]];
      }
      // No inactive, unproductive connection of a peer with more connections may remain.
      for (const ConnectionId other : connections_) {
        if (connections_of[peers_[other]] > connections_of[peers_[*id]]) {
          ASSERT_FALSE(clients_.state(other) == ClientState::awaiting_first_request &&
                       now_ - accepted_at_[other] > kSecond)
              << "the eviction was not max-min fair";
        }
      }
      close(*id);
    }
    if (!clients_.hasCapacity()) {
      return;
    }
    const std::string peer = std::string(1, static_cast<char>('a' + randomBelow(randomBelow(2) ? 2 : 8)));
    const ConnectionId id = clients_.onAccepted(peer, now_);
    peers_[id] = peer;
    accepted_at_[id] = now_;
    connections_.insert(id);
  }

  // Random bytes arrive at a connection that may be read from.
  void receive(ConnectionId id) {
    const std::size_t allowance = clients_.readAllowance(id);
    if (allowance == 0) {
      return;
    }
    clients_.onBytesReceived(id,
                             1 + static_cast<std::size_t>(randomBelow(
                                     static_cast<int>(std::min<std::size_t>(allowance, kMaxReadBytes)))),
                             now_);
    if (randomBelow(3) == 0) {
      if (clients_.onRequestComplete(id, now_) == RequestAdmission::process_now) {
        open_requests_.insert(id);
      }
    } else {
      clients_.onRequestPartial(id, now_);
    }
  }

  // Performs a random event that is possible in the state of the connection.
  void continueConnection(ConnectionId id) {
    switch (clients_.state(id)) {
      case ClientState::awaiting_first_request:
      case ClientState::idle:
      case ClientState::reading_request:
        if (randomBelow(20) == 0) {
          return clients_.onRequestMalformed(id, now_);
        }
        if (randomBelow(3) > 0) {
          receive(id);
        }
        break;
      case ClientState::awaiting_reply:
        if (open_requests_.count(id)) {
          clients_.onRequestConsumed(id, 0);
          clients_.onReplyStarted(id, randomBelow(2) == 0, now_);
          open_requests_.erase(id);
          replying_.insert(id);
        } else if (replying_.count(id)) {
          replying_.erase(id);
          ASSERT_EQ(AfterReply::keep_open, clients_.onReplyWritten(id, false, now_));
        }
        break;
      case ClientState::discarding_input:
        if (randomBelow(2) == 0) {
          close(id);
        }
        break;
    }
  }

  void close(ConnectionId id) {
    connections_.erase(id);
    open_requests_.erase(id);
    replying_.erase(id);
    clients_.onClosed(id);
  }

  void checkInvariants() {
    const DescriptorBudget& budget = clients_.budget();
    ASSERT_EQ(connections_.size(), clients_.size());
    ASSERT_EQ(static_cast<std::int64_t>(open_requests_.size()), clients_.openRequests());
    const bool is_over_budget = static_cast<std::int64_t>(clients_.size()) > budget.max_clients ||
                                clients_.openRequests() > budget.max_open_requests ||
                                clients_.pooledByteCount() > budget.max_pooled_bytes;
    ASSERT_TRUE(!is_over_budget || is_shrinking_) << "the clients exceed the budget";
    if (!is_over_budget) {
      is_shrinking_ = false;
    }
    for (const ConnectionId id : connections_) {
      if (clients_.state(id) == ClientState::awaiting_reply && !replying_.count(id)) {
        continue;
      }
      ASSERT_GT(clients_.deadline(id), now_) << "a connection is open after its deadline";
      ASSERT_LE(clients_.deadline(id), now_ + 60 * kSecond);
    }
    while (clients_.isOverCapacity()) {
      const auto id = clients_.evictionCandidate(now_);
      if (!id) {
        break;
      }
      close(*id);
    }
  }

  std::mt19937 random_;
  ClientAdmission clients_;
  Micros now_ = 0;
  std::set<ConnectionId> connections_;
  std::set<ConnectionId> open_requests_;
  std::set<ConnectionId> replying_;
  std::map<ConnectionId, std::string> peers_;
  std::map<ConnectionId, Micros> accepted_at_;
  bool is_shrinking_ = false;  // the budget was changed, and the clients may exceed it
};

TEST(ClientAdmissionProperty, InvariantsHoldOverRandomEvents) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE(seed);
    RandomClients random_clients(seed);
    for (int step = 0; step < 3000; ++step) {
      random_clients.step();
      if (::testing::Test::HasFatalFailure()) {
        return;
      }
    }
  }
}

}  // namespace
}  // namespace delivery
