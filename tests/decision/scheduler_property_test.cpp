// Properties of the scheduler: after each decision in a long random but legal sequence of events, the rules
// that a sender can check by itself must hold. There is no model of endpoints.
#include <algorithm>
#include <map>
#include <random>
#include <set>

#include "support/scheduler_fixture.h"

using namespace delivery;

namespace {

// What the test expects of an attempt.
struct AttemptState {
  std::string endpoint;
  Micros sent_at = 0;
  bool in_flight = true;
  bool may_have_run = true;
  AttemptResult last_result = AttemptResult::ok;
};

// What the test expects of a message.
struct MessageState {
  const MessageClass* message_class = nullptr;
  std::int64_t destination = 0;
  std::string order_key;
  Micros expires_at = 0;
  std::uint64_t arrival_order = 0;  // from 1
  bool ended = false;
  std::vector<AttemptState> attempts;
};

// Passes random events to one scheduler, and checks each of its actions.
class RandomEventDriver {
 public:
  RandomEventDriver(const Settings& settings, std::uint64_t seed)
      : settings_(settings), random_(seed), scheduler_(settings, seed) {
    const auto& kinds = settings_.destination_kinds;
    for (int destination = 0; destination < 5; ++destination) {
      const std::string& kind = kinds[static_cast<std::size_t>(destination) % kinds.size()].name;
      for (int i = 0; i < 1 + destination % 3; ++i) {
        const std::string id = "e" + std::to_string(destination) + std::to_string(i);
        endpoints_.push_back(
            makeEndpoint(id, destination, kind, 1 + randomBelow(20), randomBelow(2) ? "a" : "b"));
      }
    }
    decide({EndpointsChanged{EndpointUpdateKind::cached, endpoints_}});
  }

  // Advances the time by 1 to 20 ticks, sometimes by 3 s more, and reports random events.
  void runStep() {
    std::vector<Event> events;
    now_ += settings_.tick * (1 + randomBelow(20));
    if (randomBelow(400) == 0) {
      now_ += 3 * kSecond;  // the host was suspended
    }
    if (timer_at_ > 0 && now_ >= timer_at_) {
      timer_at_ = 0;
      events.emplace_back(TimerFired{});
    }
    for (auto& [id, message] : messages_) {
      if (!message.ended && message.arrival_order > 0 && randomBelow(300) == 0) {
        // The client has disconnected.
        message.ended = true;
        events.emplace_back(Abandoned{id});
      }
    }
    for (auto& [id, message] : messages_) {  // time-outs first, as they are never reported late
      for (std::size_t i = 0; i < message.attempts.size(); ++i) {
        if (message.attempts[i].in_flight && attempt_times_out_at_[{id, static_cast<int>(i)}] <= now_) {
          events.emplace_back(endAttempt(id, static_cast<int>(i), AttemptResult::timeout));
        }
      }
    }
    for (int count = randomBelow(4); count > 0; --count) {
      addArrival(events);
    }
    for (auto& [id, message] : messages_) {
      for (std::size_t i = 0; i < message.attempts.size(); ++i) {
        if (message.attempts[i].in_flight && randomBelow(12) == 0) {
          events.emplace_back(endAttempt(id, static_cast<int>(i), randomResult(message.destination)));
        }
      }
    }
    if (randomBelow(60) == 0) {
      changeEndpointState(events);
    }
    if (randomBelow(90) == 0) {
      events.emplace_back(EndpointsChanged{EndpointUpdateKind::failed, {}});
    }
    if (randomBelow(50) == 0) {
      events.emplace_back(AttemptOutcome{});  // The outcome belongs to no known message.
    }
    if (!events.empty()) {
      decide(events);
    }
  }

  // Reports only timers and time-outs for 40 s, until all messages must have ended.
  void runUntilAllExpire() {
    const Micros until = now_ + 40 * kSecond;
    while (now_ < until) {
      now_ += settings_.tick;
      std::vector<Event> events;
      if (timer_at_ > 0 && now_ >= timer_at_) {
        timer_at_ = 0;
        events.emplace_back(TimerFired{});
      }
      for (auto& [id, message] : messages_) {
        for (std::size_t i = 0; i < message.attempts.size(); ++i) {
          if (message.attempts[i].in_flight && attempt_times_out_at_[{id, static_cast<int>(i)}] <= now_) {
            events.emplace_back(endAttempt(id, static_cast<int>(i), AttemptResult::timeout));
          }
        }
      }
      if (!events.empty()) {
        decide(events);
      }
    }
    for (auto& [id, message] : messages_) {
      EXPECT_TRUE(message.ended) << id;
    }
  }

  int final_answers = 0;  // rejections and failures

 private:
  int randomBelow(int limit) { return static_cast<int>(random_() % static_cast<std::uint64_t>(limit)); }

  AttemptResult randomResult(std::int64_t destination) {
    const AttemptResult failures[] = {AttemptResult::error, AttemptResult::throttled,
                                      AttemptResult::connect_failed, AttemptResult::reset,
                                      AttemptResult::not_sent};
    const bool is_failing = (now_ / (7 * kSecond) + destination) % 3 == 0;
    return randomBelow(10) < (is_failing ? 8 : 1) ? failures[randomBelow(5)] : AttemptResult::ok;
  }

  void addArrival(std::vector<Event>& events) {
    int open_messages = 0;
    for (auto& [id, message] : messages_) {
      open_messages += !message.ended;
    }
    if (open_messages >= settings_.max_messages) {
      return;
    }
    const std::string id = "m" + std::to_string(++arrival_count_);
    MessageState message;
    message.message_class =
        &settings_.classes[static_cast<std::size_t>(randomBelow(static_cast<int>(settings_.classes.size())))];
    message.destination = randomBelow(6);  // the last destination has no endpoint
    if (message.message_class->ordered && randomBelow(4)) {
      message.order_key = "k" + std::to_string(randomBelow(3));
    }
    // Some messages have little time.
    message.expires_at =
        now_ + (randomBelow(5) ? message.message_class->deadline : Micros{randomBelow(800)} * kMillisecond);
    message.arrival_order = static_cast<std::uint64_t>(arrival_count_);
    Arrival arrival;
    arrival.id = id;
    arrival.message_class = message.message_class->name;
    arrival.destination = message.destination;
    arrival.order_key = message.order_key;
    arrival.deadline = Deadline(message.expires_at);
    arrival.tenant = "t";
    events.emplace_back(arrival);
    messages_[id] = message;
  }

  // Ends an attempt; returns its outcome, with a random load report and, if throttled, a random Retry-After.
  AttemptOutcome endAttempt(const std::string& id, int index, AttemptResult result) {
    MessageState& message = messages_[id];
    AttemptState& attempt = message.attempts[static_cast<std::size_t>(index)];
    attempt.in_flight = false;
    attempt.last_result = result;
    attempt.may_have_run = result != AttemptResult::throttled && result != AttemptResult::connect_failed &&
                           result != AttemptResult::not_sent;
    if (!message.order_key.empty() && (result == AttemptResult::timeout || result == AttemptResult::reset ||
                                       result == AttemptResult::cancelled)) {
      order_paused_until_[message.order_key] =
          std::max(order_paused_until_[message.order_key], now_ + settings_.ordering_pause);
    }
    AttemptOutcome outcome;
    outcome.id = id;
    outcome.attempt = index;
    outcome.result = result;
    outcome.round_trip_time = now_ - attempt.sent_at;
    if (result == AttemptResult::ok) {
      message.ended = true;
    }
    outcome.finished = message.ended;
    if (result == AttemptResult::throttled && randomBelow(2)) {
      outcome.retry_after = (1 + randomBelow(900)) * kMillisecond;
      const bool own_route = kindOf(attempt.endpoint).independent_routes;
      Micros& until =
          retry_after_until_[own_route ? attempt.endpoint : "d" + std::to_string(message.destination)];
      until = std::max(until, now_ + outcome.retry_after);
    }
    if (randomBelow(2)) {
      outcome.load_report = LoadReport{0.5, 1.0 + randomBelow(30)};
    }
    return outcome;
  }

  const DestinationKind& kindOf(const std::string& endpoint) {
    for (const EndpointInfo& each : endpoints_) {
      if (each.id == endpoint) {
        for (const DestinationKind& kind : settings_.destination_kinds) {
          if (kind.name == each.kind) {
            return kind;
          }
        }
      }
    }
    return settings_.destination_kinds[0];
  }

  void changeEndpointState(std::vector<Event>& events) {
    EndpointInfo& changed =
        endpoints_[static_cast<std::size_t>(randomBelow(static_cast<int>(endpoints_.size())))];
    if (changed.state != EndpointState::ready) {
      changed.state = EndpointState::ready;
    } else {
      changed.state = randomBelow(2) ? EndpointState::draining : EndpointState::removed;
    }
    not_ready_since_[changed.id] = changed.state == EndpointState::ready ? -1 : now_;
    events.emplace_back(EndpointsChanged{EndpointUpdateKind::delta, {changed}});
  }

  void decide(const std::vector<Event>& events) {
    std::map<std::string, int> messages_sent_to;
    for (const Action& action : scheduler_.decide(now_, events)) {
      if (const auto* send = std::get_if<SendAttempt>(&action)) {
        checkSend(*send);
        ++messages_sent_to[send->endpoint];
      }
      if (const auto* reject = std::get_if<Reject>(&action)) {
        checkFinalAnswer(reject->id, true);
      }
      if (const auto* fail = std::get_if<Fail>(&action)) {
        checkFinalAnswer(fail->id, false);
      }
      if (const auto* timer = std::get_if<SetTimer>(&action)) {
        timer_at_ = timer_at_ > now_ ? std::min(timer_at_, now_ + timer->delay) : now_ + timer->delay;
      }
      if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
        attempt_times_out_at_[{cancel->id, cancel->attempt}] = now_;
      }
    }
    int slots = 0;
    std::map<std::pair<std::string, Micros>, int> calls;
    for (auto& [id, message] : messages_) {
      for (const AttemptState& attempt : message.attempts) {
        if (attempt.in_flight) {
          ++calls[{attempt.endpoint, attempt.sent_at}];
        }
      }
    }
    for (auto& [call, messages] : calls) {
      const int messages_per_call = kindOf(call.first).messages_per_call;
      slots += (messages + messages_per_call - 1) / messages_per_call;
    }
    EXPECT_LE(slots, settings_.call_slots);
    for (auto& [id, message] : messages_) {
      if (!message.ended) {
        // The bound allows for a suspension of the host, which takes 3 s in runStep().
        EXPECT_LE(now_, message.expires_at + settings_.answer_slack + 4 * kSecond) << id;
      }
    }
  }

  void checkFinalAnswer(const std::string& id, bool is_rejected) {
    ASSERT_TRUE(messages_.count(id)) << id;
    MessageState& message = messages_[id];
    EXPECT_FALSE(message.ended) << "second final answer for " << id;
    message.ended = true;
    ++final_answers;
    if (!is_rejected) {
      return;
    }
    const bool may_have_run = std::any_of(message.attempts.begin(), message.attempts.end(),
                                          [](const AttemptState& attempt) { return attempt.may_have_run; });
    if (may_have_run && message.message_class->idempotency == Idempotency::non_idempotent) {
      ADD_FAILURE() << "rejected a message that may have run: " << id;
    }
    if (may_have_run && message.message_class->idempotency == Idempotency::deduplicated) {
      EXPECT_EQ(message.message_class->deduplication_scope, DeduplicationScope::all) << id;
    }
  }

  void checkSend(const SendAttempt& send) {
    ASSERT_TRUE(messages_.count(send.id)) << send.id;
    MessageState& message = messages_[send.id];
    EXPECT_FALSE(message.ended) << "sent after its final answer: " << send.id;
    EXPECT_LT(static_cast<int>(message.attempts.size()), settings_.max_attempts);
    const EndpointInfo* endpoint = nullptr;
    for (const EndpointInfo& each : endpoints_) {
      if (each.id == send.endpoint) {
        endpoint = &each;
      }
    }
    ASSERT_NE(endpoint, nullptr);
    EXPECT_EQ(endpoint->destination, message.destination);
    EXPECT_GT(send.timeout, 0);
    EXPECT_LE(now_ + send.timeout, message.expires_at);
    if (not_ready_since_.count(endpoint->id) && not_ready_since_[endpoint->id] >= 0) {
      EXPECT_LE(now_, not_ready_since_[endpoint->id] + settings_.drain_grace) << endpoint->id;
    }
    const std::string limit_scope =
        kindOf(endpoint->id).independent_routes ? endpoint->id : "d" + std::to_string(message.destination);
    if (retry_after_until_.count(limit_scope)) {
      EXPECT_GE(now_, retry_after_until_[limit_scope]) << "Retry-After of " << limit_scope;
    }
    for (const AttemptState& attempt : message.attempts) {
      if (attempt.in_flight) {
        EXPECT_TRUE(settings_.may_hedge) << send.id;
      }
      if (!attempt.may_have_run) {
        continue;
      }
      EXPECT_NE(message.message_class->idempotency, Idempotency::non_idempotent)
          << "non-idempotent message that may have run was sent again: " << send.id;
      if (message.message_class->idempotency != Idempotency::deduplicated) {
        continue;
      }
      EXPECT_LE(now_, attempt.sent_at + message.message_class->deduplication_window);
      for (const EndpointInfo& each : endpoints_) {
        if (each.id == attempt.endpoint &&
            message.message_class->deduplication_scope == DeduplicationScope::zone) {
          EXPECT_EQ(each.zone, endpoint->zone);
        }
      }
    }
    if (!message.order_key.empty()) {
      for (auto& [id, other] : messages_) {
        if (other.order_key != message.order_key || other.arrival_order >= message.arrival_order) {
          continue;
        }
        const bool in_flight = std::any_of(other.attempts.begin(), other.attempts.end(),
                                           [](const AttemptState& attempt) { return attempt.in_flight; });
        EXPECT_TRUE(other.ended && !in_flight) << send.id << " was sent before " << id;
      }
      if (message.attempts.empty() && order_paused_until_.count(message.order_key)) {
        EXPECT_GE(now_, order_paused_until_[message.order_key]) << message.order_key;
      }
    }
    message.attempts.push_back({send.endpoint, now_, true, true, AttemptResult::ok});
    attempt_times_out_at_[{send.id, static_cast<int>(message.attempts.size()) - 1}] = now_ + send.timeout;
  }

  Settings settings_;
  std::mt19937_64 random_;
  DeliveryScheduler scheduler_;
  Micros now_ = 0;
  Micros timer_at_ = 0;  // 0: not set
  int arrival_count_ = 0;
  std::vector<EndpointInfo> endpoints_;
  std::map<std::string, MessageState> messages_;
  std::map<std::pair<std::string, int>, Micros> attempt_times_out_at_;
  // The end of the latest Retry-After. The key is the id of the endpoint if it has its own route, else "d"
  // and the number of the destination.
  std::map<std::string, Micros> retry_after_until_;
  // The end of the pause of each order key.
  std::map<std::string, Micros> order_paused_until_;
  // For each endpoint the time since when it has not been ready. -1: it is ready.
  std::map<std::string, Micros> not_ready_since_;
};

TEST(DeliverySchedulerProperty, RulesHoldForRandomEvents) {
  for (int variant = 0; variant < 12; ++variant) {
    SCOPED_TRACE(variant);
    Settings settings = makeSettings();
    settings.call_slots = 1 + variant % 5 * 3;
    settings.max_messages = 20 + variant * 7;
    settings.max_attempts = 2 + variant % 6;
    settings.may_hedge = variant % 3 == 0;
    settings.may_cancel = variant % 2 == 0;
    settings.discovery_mode = variant % 2 ? DiscoveryMode::poll : DiscoveryMode::push;
    settings.weight_kind = variant % 3 == 1 ? WeightKind::nominal : WeightKind::none;
    settings.late_decay = variant % 2 ? LateDecay::halving : LateDecay::linear;
    settings.sender_count = variant % 4 == 3 ? 200 : 1 + variant % 4;
    settings.ordering_pause = 300 * kMillisecond;
    if (variant % 2) {
      settings.tenants = {{"t", 2.0, 0.5}};
    }
    settings.classes[static_cast<std::size_t>(variant % 3)].ordered = true;
    if (variant % 4 == 1) {
      settings.classes[1].deduplication_scope = DeduplicationScope::zone;
    }
    RandomEventDriver driver(settings, static_cast<std::uint64_t>(variant) + 1);
    for (int i = 0; i < 1500; ++i) {
      driver.runStep();
    }
    driver.runUntilAllExpire();
    EXPECT_GT(driver.final_answers, 0);
  }
}

}  // namespace
