// Who is let in and who goes, on made-up time: the budget, deadlines, turns, shares and bytes.
#include "network/connections.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "protocol/json_fields.h"
#include "protocol/resp.h"

namespace delivery {
namespace {

using State = Connections::State;
using Id = Connections::Id;
constexpr Micros kMs = 1000, kS = 1'000'000;
constexpr std::int64_t kMb = 1'000'000;

Budget small(std::int64_t clients, std::int64_t requests = 100) {
  Budget b;
  b.clients = clients;
  b.requests = requests;
  b.calls = 12;
  b.idle_calls = 4;
  b.handshakes = 2;
  b.buffered = 200'000;
  return b;
}

// A connection that handed in a message and rests.
Id useful(Connections& c, const std::string& peer, Micros now) {
  const Id id = c.clientCame(peer, now);
  c.received(id, 100, now);
  EXPECT_TRUE(c.whole(id, now));
  c.taken(id, 0);
  c.answering(id, true, now);
  EXPECT_TRUE(c.answered(id, false, now));
  return id;
}

TEST(Budget, KeepsTheReservesFreeAndRequestsWithinAThird) {
  const Budget b = budgetOf({256, 32 * kMb, 30}, false);
  EXPECT_LE(b.clients + b.calls, 256 - 28 - 20);  // this process's own files, and a starting one's
  EXPECT_EQ(85, b.requests);
  EXPECT_LE(b.requests, b.clients);
  EXPECT_GE(b.calls, 30);
  EXPECT_EQ(4'000'000u, b.buffered);
  const Budget shared = budgetOf({256, 32 * kMb, 30}, true);
  EXPECT_LE(shared.clients + shared.calls + 28 + 30, 256 - 28);  // the older process ends its calls
}

TEST(Budget, NamesTheFigureThatCannotHoldTheReserves) {
  const auto message = [](const ProcessLimits& l) {
    try {
      budgetOf(l, false);
    } catch (const InvalidInput& e) {
      return std::string(e.what());
    }
    return std::string();
  };
  EXPECT_EQ("", message({86, 32 * kMb, 30}));
  EXPECT_EQ("limits.sockets is too small: 85 of at least 86", message({85, 32 * kMb, 30}));
  EXPECT_EQ("", message({256, 2 * kMb, 30}));
  EXPECT_EQ("limits.memory_mb is too small: 1 of at least 2", message({256, kMb, 30}));
}

TEST(Deadlines, ThoseOfEachState) {
  Connections c(small(10));
  const Id id = c.clientCame("a", 0);
  EXPECT_EQ(2 * kS, c.deadline(id));
  c.received(id, 5, 500 * kMs);
  c.partial(id, 500 * kMs);
  EXPECT_EQ(1500 * kMs, c.deadline(id));
  c.received(id, 5, 700 * kMs);
  c.partial(id, 700 * kMs);
  EXPECT_EQ(1500 * kMs, c.deadline(id)) << "not prolonged by what drips in";
  EXPECT_TRUE(c.whole(id, 800 * kMs));
  EXPECT_EQ(Connections::kNever, c.deadline(id)) << "the module answers in its turn";
  c.taken(id, 0);
  c.answering(id, false, 900 * kMs);
  EXPECT_EQ(1900 * kMs, c.deadline(id)) << "for the answer to be taken";
  EXPECT_TRUE(c.answered(id, false, kS));
  EXPECT_EQ(3 * kS, c.deadline(id)) << "nothing useful came";
  c.received(id, 5, 2500 * kMs);
  c.partial(id, 2500 * kMs);
  EXPECT_EQ(3 * kS, c.deadline(id)) << "not prolonged by a request begun late";
  c.closing(id, 2600 * kMs);
  EXPECT_EQ(3600 * kMs, c.deadline(id));
  EXPECT_TRUE(c.overdueClients(3600 * kMs - 1).empty());
  EXPECT_EQ(std::vector<Id>{id}, c.overdueClients(3600 * kMs));
  const Id rests = useful(c, "a", 0);
  EXPECT_EQ(60 * kS, c.deadline(rests)) << "its machine may have vanished";
  c.received(rests, 5, kS);
  c.partial(rests, kS);
  EXPECT_EQ(2 * kS, c.deadline(rests));
}

// One whose deadline comes while its request waits unread in the socket: that is read first, and once.
TEST(Deadlines, WhatWaitsInTheSocketIsReadBeforeTheEnd) {
  Connections c(small(10));
  const Id rests = useful(c, "a", 0), half = c.clientCame("a", 0), silent = c.clientCame("a", 0);
  c.received(half, 5, 0);
  c.partial(half, 0);
  EXPECT_TRUE(c.endsOverdue(silent, false, 2 * kS));
  for (const Id id : {rests, half}) {
    EXPECT_FALSE(c.endsOverdue(id, true, 60 * kS));
    EXPECT_EQ(60 * kS + 20 * kMs, c.deadline(id));
  }
  c.received(rests, 100, 60 * kS);
  ASSERT_TRUE(c.whole(rests, 60 * kS));
  c.taken(rests, 0);
  EXPECT_TRUE(c.endsOverdue(rests, true, 61 * kS)) << "it does not take its answer";
  c.received(half, 5, 60 * kS);
  c.partial(half, 60 * kS);
  EXPECT_TRUE(c.endsOverdue(half, true, 60 * kS + 20 * kMs)) << "what drips in prolongs nothing";
  c.answering(rests, true, 60 * kS);
  ASSERT_TRUE(c.answered(rests, false, 60 * kS));
  EXPECT_FALSE(c.endsOverdue(rests, true, 120 * kS)) << "the next request has its own";
}

TEST(Deadlines, ADrainEndsWhatRestsAndShortensWhatIsNew) {
  Connections c(small(10));
  const Id rests = useful(c, "a", 0);
  const Id silent = c.clientCame("a", 0), in_a_request = c.clientCame("a", 0);
  c.received(in_a_request, 10, kS);
  c.partial(in_a_request, kS);
  const Id just_come = c.clientCame("a", kS);
  EXPECT_EQ((std::vector<Id>{rests, silent}), c.drain(kS + 50 * kMs));
  EXPECT_EQ(2 * kS + 50 * kMs, c.deadline(just_come));
  EXPECT_EQ(2 * kS, c.deadline(in_a_request));
  const Id late = c.clientCame("a", 2 * kS);
  EXPECT_EQ(3 * kS, c.deadline(late));
  c.received(late, 10, 2 * kS);
  EXPECT_TRUE(c.whole(late, 2 * kS));
  c.taken(late, 0);
  c.answering(late, true, 2 * kS);
  EXPECT_FALSE(c.answered(late, false, 2 * kS)) << "it is closed once answered";
}

// One that pipelines gets one request in turn with the others.
TEST(Turns, GoRoundWhileThereAreMoreRequestsThanMayBeOpen) {
  Connections c(small(10, 1));
  const Id greedy = c.clientCame("a", 0), plain = c.clientCame("b", 0);
  c.received(greedy, 1000, 0);
  c.received(plain, 100, 0);
  ASSERT_TRUE(c.whole(greedy, 0));
  c.taken(greedy, 900);
  EXPECT_FALSE(c.whole(plain, 0));
  EXPECT_FALSE(c.nextTurn());
  c.answering(greedy, true, 0);
  ASSERT_TRUE(c.answered(greedy, true, 0));
  EXPECT_EQ(plain, *c.nextTurn());
  EXPECT_FALSE(c.whole(greedy, 0)) << "the other one is in its request";
  c.taken(plain, 0);
  c.answering(plain, true, 0);
  ASSERT_TRUE(c.answered(plain, false, 0));
  EXPECT_EQ(greedy, *c.nextTurn());
  EXPECT_FALSE(c.nextTurn());
}

TEST(Shares, WhoHoldsTheMostMakesRoom) {
  Connections c(small(6));
  const Id one = c.clientCame("few", 0);
  std::vector<Id> many;
  for (int i = 0; i < 5; ++i)
    many.push_back(c.clientCame("many", kMs * (i + 1)));
  EXPECT_FALSE(c.clientFits());
  EXPECT_FALSE(c.nextToGo(10 * kMs)) << "their first requests may be on the way";
  EXPECT_EQ(many[0], *c.nextToGo(kS)) << "not the one that came first of all";
  c.clientGone(many[0]);
  EXPECT_TRUE(c.clientFits());
  for (int i = 1; i < 4; ++i)
    c.clientGone(many[static_cast<std::size_t>(i)]);
  EXPECT_EQ(one, *c.nextToGo(kS)) << "equal shares: the longest silent";
}

TEST(Shares, OfOnePeerTheNeverUsefulGoFirstAndOpenRequestsNever) {
  Connections c(small(6));
  const Id rests = useful(c, "a", 0);
  const Id open = c.clientCame("a", 0), half = c.clientCame("a", 0), pinged = c.clientCame("a", 0);
  const Id silent = c.clientCame("a", 0), half_of_a_client = useful(c, "a", 0);
  c.received(open, 10, 0);
  ASSERT_TRUE(c.whole(open, 0));
  c.received(half, 10, 0);
  c.partial(half, 0);
  c.received(pinged, 10, 0);
  ASSERT_TRUE(c.whole(pinged, 0));
  c.taken(pinged, 0);
  c.answering(pinged, false, 0);
  ASSERT_TRUE(c.answered(pinged, false, 0));
  c.received(half_of_a_client, 10, 0);
  c.partial(half_of_a_client, 0);
  for (const Id next : {silent, pinged, half, rests}) {
    ASSERT_EQ(next, c.nextToGo(10 * kS).value_or(0));
    c.clientGone(next);
  }
  EXPECT_FALSE(c.nextToGo(10 * kS)) << "one is open, and one in the middle of its next request";
}

// Both rest; those of the peer that holds more will soon have rested for long enough.
TEST(Shares, AClientWithFewerConnectionsIsKeptALittleLonger) {
  Connections c(small(3));
  const Id few = useful(c, "few", 0), of_many = useful(c, "many", 500 * kMs);
  useful(c, "many", 500 * kMs);
  EXPECT_FALSE(c.nextToGo(2 * kS));
  EXPECT_EQ(of_many, c.nextToGo(2500 * kMs).value_or(0));
  c.unread(of_many);
  c.unread(of_many + 1);
  EXPECT_FALSE(c.nextToGo(3 * kS));
  EXPECT_EQ(few, c.nextToGo(4 * kS).value_or(0)) << "the others are busy, and somebody waits";
}

// A crowd from many addresses does not send away clients, however few connections each of it holds; one peer
// that has most of the table gives way all the same.
TEST(Shares, WhatClientsUseGoesLastUnlessOnePeerHasMostOfTheTable) {
  Connections c(small(8));
  std::vector<Id> client;
  for (int i = 0; i < 3; ++i)
    client.push_back(useful(c, "client", 0));
  const Id a = c.clientCame("a", 5 * kS), b = c.clientCame("b", 5 * kS);
  c.clientCame("d", 10 * kS);
  EXPECT_EQ(a, c.nextToGo(10 * kS).value_or(0));
  c.clientGone(a);
  EXPECT_EQ(client[0], c.nextToGo(10 * kS).value_or(0)) << "three of five";
  c.clientGone(client[0]);
  EXPECT_EQ(b, c.nextToGo(10 * kS).value_or(0));
  c.clientGone(b);
  c.clientCame("e", 10 * kS);
  EXPECT_FALSE(c.nextToGo(10 * kS)) << "two of four, and the others will soon have been silent";
}

// Who asks and hands in nothing goes as soon as who sends nothing, however often it asks.
TEST(Shares, WhoOnlyAsksMayGoBetweenTwoRequests) {
  Connections c(small(1));
  const Id id = c.clientCame("a", 0);
  const auto ask = [&](Micros now) {
    c.received(id, 10, now);
    ASSERT_TRUE(c.whole(id, now));
    EXPECT_FALSE(c.nextToGo(now + kS)) << "not while its answer is due";
    c.taken(id, 0);
    c.answering(id, false, now);
    ASSERT_TRUE(c.answered(id, false, now));
  };
  for (const Micros now : {300 * kMs, 600 * kMs}) {
    ask(now);
    EXPECT_FALSE(c.nextToGo(now + 19 * kMs)) << "its message may be on the way";
    EXPECT_EQ(id, c.nextToGo(now + 20 * kMs).value_or(0));
  }
}

// A crowd of 400 a second, each from an address of its own, asks once and stays. Whoever comes finds a place
// well within the 400 ms for which a client waits for its answer, though most of the table is clients that
// rest.
TEST(Shares, ACrowdThatAsksOnceAndStaysKeepsNobodyWaiting) {
  Connections c(small(91));
  for (int i = 0; i < 64; ++i)
    useful(c, "client" + std::to_string(i), 10 * kS - 4 * kMs * i);
  Micros waited = 0, longest = 0;
  for (Micros now = 10 * kS; now < 12 * kS; now += 2500) {  // one comes in each such step
    while (!c.clientFits()) {
      if (const auto goes = c.nextToGo(now + waited))
        c.clientGone(*goes);
      else
        waited += kMs;
    }
    longest = std::max(longest, waited);
    const Id id = c.clientCame("stranger" + std::to_string(now), now + waited);
    c.received(id, 14, now + waited);
    ASSERT_TRUE(c.whole(id, now + waited));
    c.taken(id, 0);
    c.answering(id, false, now + waited);
    ASSERT_TRUE(c.answered(id, false, now + waited));
    waited = std::max<Micros>(0, waited - 2500);
  }
  EXPECT_LT(longest, 50 * kMs);
}

// While strangers of the same peer will soon have been silent for long enough, a client that rests is kept.
TEST(Shares, AClientThatRestsIsKeptWhileAStrangerWillGoSoon) {
  Connections c(small(2));
  const Id rests = useful(c, "a", 0), stranger = c.clientCame("a", 10 * kS);
  EXPECT_FALSE(c.nextToGo(10 * kS));
  EXPECT_EQ(stranger, *c.nextToGo(10 * kS + 20 * kMs));
  c.unread(stranger);
  EXPECT_EQ(rests, *c.nextToGo(20 * kS)) << "what the other one sent waits to be read, however long";
  c.received(stranger, 10, 20 * kS);
  EXPECT_FALSE(c.nextToGo(20 * kS));
  c.clientGone(stranger);
  EXPECT_EQ(rests, *c.nextToGo(10 * kS));
}

TEST(Bytes, ReadingStopsBeforeThePoolIsOverAndGoesOnInTurn) {
  Connections c(small(10));
  const Id a = c.clientCame("a", 0), b = c.clientCame("b", 0), later = c.clientCame("c", 0);
  for (const Id id : {a, b}) {
    std::size_t most = 0;
    while ((most = c.mayRead(id)) > 0) {
      c.received(id, std::min<std::size_t>(most, 16384), 0);
      c.partial(id, 0);
    }
  }
  EXPECT_EQ(200'000u, c.buffered());
  EXPECT_TRUE(c.readersWait());
  EXPECT_FALSE(c.nextReader());
  EXPECT_EQ(Connections::kFreeBytes, c.mayRead(later)) << "a short request is read all the same";
  EXPECT_FALSE(c.nextToGoForBytes(400 * kMs));
  EXPECT_EQ(a, *c.nextToGoForBytes(kS)) << "the peer that has the most buffered";
  c.clientGone(a);
  EXPECT_EQ(b, *c.nextReader());
  EXPECT_GT(c.mayRead(b), 0u);
  EXPECT_LE(c.mayRead(b), kLongestRequest);
}

TEST(Callers, WhoHasStalledLongestMakesRoom) {
  Connections c(small(1));
  std::vector<Id> all;
  for (Micros at = 0; at < Budget::kMostCallers; ++at) {
    EXPECT_FALSE(c.callerToGo());
    all.push_back(c.callerCame(at));
  }
  EXPECT_EQ(all[0], *c.callerToGo());
  c.callerGone(all[0]);
  EXPECT_FALSE(c.callerToGo());
  EXPECT_EQ(std::vector<Id>{all[1]}, c.overdueCallers(2 * kS + 1));
  EXPECT_TRUE(c.clientFits()) << "they take nothing from clients";
}

TEST(Calls, HandshakesAndIdleConnectionsAreBounded) {
  Connections c(small(1));
  EXPECT_TRUE(c.mayOpen("e"));
  c.opening("e");
  c.opening("e");
  EXPECT_FALSE(c.mayOpen("e"));
  EXPECT_TRUE(c.mayOpen("f"));
  c.opened("e");
  EXPECT_TRUE(c.mayOpen("e"));
  c.failedToOpen("e");
  c.callClosed("e");
  EXPECT_EQ(0, c.callConnections());
  for (const char* e : {"e", "e", "e", "f"}) {
    c.opening(e);
    c.opened(e);
    ASSERT_TRUE(c.mayKeep());
    c.kept(e);
  }
  EXPECT_FALSE(c.mayKeep());
  EXPECT_EQ("e", c.idleToGo("f").value_or("")) << "the longest row makes room";
  EXPECT_FALSE(c.idleToGo("e"));
  EXPECT_FALSE(c.idleToCloseFor("g")) << "there is room to open one";
  for (int i = 0; i < 8; ++i) {
    c.opening("g" + std::to_string(i));
    c.opened("g" + std::to_string(i));
  }
  EXPECT_FALSE(c.mayOpen("g"));
  EXPECT_EQ("e", c.idleToCloseFor("g").value_or(""));
  EXPECT_FALSE(c.idleTooMany());
  Budget fewer = small(1);
  fewer.idle_calls = 2;
  c.setBudget(fewer);
  EXPECT_EQ("e", c.idleTooMany().value_or(""));
}

TEST(Pressure, IsToldWhenItBeginsAndWhenItIsOver) {
  Connections c(small(1));
  EXPECT_EQ("", c.pressureNews(0));
  const Id id = c.clientCame("10.0.0.9", 0);
  c.madeRoom(id, kS);
  EXPECT_EQ("connections: 1 of 1 from 1 peers, closing some to make room", c.pressureNews(kS));
  c.clientGone(id);
  EXPECT_EQ("", c.pressureNews(kS + 500 * kMs));
  c.madeRoom(c.clientCame("10.0.0.9", kS), kS + 600 * kMs);
  EXPECT_EQ("connections: room again after 600 ms, 2 closed, 2 of them from 10.0.0.9",
            c.pressureNews(3 * kS));
  EXPECT_FALSE(c.underPressure());
}

// A crowd of random peers, with the table, requests and bytes under pressure, and budgets that change.
class Crowd {
 public:
  explicit Crowd(unsigned seed) : rnd_(seed), c_(small(20, 5)) {}

  void step() {
    now_ += below(30) * kMs;
    for (const Id id : c_.overdueClients(now_)) {
      ASSERT_NE(State::waiting == c_.state(id) && !answering_.count(id), true)
          << "an unanswered request went";
      drop(id);
    }
    if (below(50) == 0) {
      Budget b = small(5 + below(20), 1 + below(8));
      b.buffered = kLongestRequest + static_cast<std::size_t>(below(200'000));
      c_.setBudget(b);
      shrunk_ = true;
    }
    for (int n = below(3); n > 0; --n)
      knock();
    for (int n = below(8); n > 0 && !ids_.empty(); --n)
      act(any());
    while (const auto id = c_.nextTurn())
      open_.insert(*id);
    while (const auto id = c_.nextReader())
      send(*id);
    if (c_.readersWait())
      if (const auto id = c_.nextToGoForBytes(now_))
        drop(*id);
    check();
  }

 private:
  int below(int n) { return static_cast<int>(rnd_() % static_cast<unsigned>(n)); }
  Id any() { return *std::next(ids_.begin(), below(static_cast<int>(ids_.size()))); }

  void knock() {
    if (!c_.clientFits()) {
      const auto id = c_.nextToGo(now_);
      if (!id)
        return;
      ASSERT_NE(State::waiting, c_.state(*id)) << "an open request was evicted";
      std::map<std::string, int> held;
      for (const Id i : ids_)
        ++held[peer_[i]];
      for (const Id i : ids_)  // a never useful one that has long been silent, of a peer that holds more
        if (held[peer_[i]] > held[peer_[*id]]) {
          ASSERT_FALSE(c_.state(i) == State::fresh && now_ - came_[i] > kS) << "not max-min fair";
        }
      drop(*id);
    }
    if (!c_.clientFits())
      return;
    const std::string peer = std::string(1, static_cast<char>('a' + below(below(2) ? 2 : 8)));
    const Id id = c_.clientCame(peer, now_);
    peer_[id] = peer;
    came_[id] = now_;
    ids_.insert(id);
  }

  void send(Id id) {
    const std::size_t most = c_.mayRead(id);
    if (most == 0)
      return;
    c_.received(id, 1 + static_cast<std::size_t>(below(static_cast<int>(std::min<std::size_t>(most, 16384)))),
                now_);
    if (below(3) == 0) {
      if (c_.whole(id, now_))
        open_.insert(id);
    } else {
      c_.partial(id, now_);
    }
  }

  void act(Id id) {
    switch (c_.state(id)) {
      case State::fresh:
      case State::idle:
      case State::reading:
        if (below(20) == 0)
          return c_.closing(id, now_);
        if (below(3) > 0)
          send(id);
        break;
      case State::waiting:
        if (!open_.count(id))
          break;
        if (!answering_.count(id)) {
          c_.taken(id, 0);
          c_.answering(id, below(2) == 0, now_);
          answering_.insert(id);
        } else {
          answering_.erase(id);
          open_.erase(id);
          ASSERT_TRUE(c_.answered(id, false, now_));
        }
        break;
      case State::closing:
        if (below(2) == 0)
          drop(id);
        break;
    }
  }

  void drop(Id id) {
    ids_.erase(id);
    open_.erase(id);
    answering_.erase(id);
    c_.clientGone(id);
  }

  void check() {
    const Budget& b = c_.budget();
    ASSERT_EQ(ids_.size(), c_.clients());
    ASSERT_EQ(static_cast<std::int64_t>(open_.size()), c_.openRequests());
    const bool over = static_cast<std::int64_t>(c_.clients()) > b.clients || c_.openRequests() > b.requests ||
                      c_.buffered() > b.buffered;
    ASSERT_TRUE(!over || shrunk_) << "over the budget";
    if (!over)
      shrunk_ = false;
    for (const Id id : ids_) {
      if (c_.state(id) == State::waiting && !answering_.count(id))
        continue;
      ASSERT_GT(c_.deadline(id), now_) << "past its deadline, and still there";
      ASSERT_LE(c_.deadline(id), now_ + 60 * kS);
    }
    while (c_.tooMany()) {
      const auto id = c_.nextToGo(now_);
      if (!id)
        break;
      drop(*id);
    }
  }

  std::mt19937 rnd_;
  Connections c_;
  Micros now_ = 0;
  std::set<Id> ids_, open_, answering_;
  std::map<Id, std::string> peer_;
  std::map<Id, Micros> came_;
  bool shrunk_ = false;
};

TEST(ConnectionsProperty, HoldsOverRandomEvents) {
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
