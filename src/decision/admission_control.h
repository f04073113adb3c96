// The value of delivering a message, and which messages are shed under overload.
#pragma once

#include "decision/fair_queue.h"
#include "decision/retry_policy.h"

namespace delivery {

constexpr double kMaxWaitShare = 0.5;  // longest wait for a slot, as a share of the tightest objective
constexpr double kMinValueKept = 0.9;  // beyond it, messages that would keep less of their value are shed
constexpr double kBrokenPromiseCost = 0.3;  // share of its weight: cost of rejecting an accepted message ...
constexpr double kPromiseSpan = 0.7;        // ... that has not run, within this share of its lifetime
constexpr double kReservedShare = 0.06;     // of max_messages, kept free for more valuable messages

struct ShedCandidate {
  double value;  // left when the backlog has drained
  Message* message;
  auto key() const { return std::tie(value, message->order); }
  bool operator<(const ShedCandidate& other) const { return key() < other.key(); }
};

struct AdmissionControl {
  const Turn& turn;
  const OutlierDetector& detector;
  const RateLimiter& limiter;
  const FairQueue& queue;
  std::map<std::string, DecayedRate> tenant_rates{};
  std::uint64_t last_accepted = 0;  // order of the latest message whose client has been notified

  void assignTenant(Message& message, const std::string& name) {
    for (const Tenant& tenant : turn.settings.tenants) {
      if (tenant.name == name) {
        message.tenant = &tenant;
      }
    }
    if (message.tenant) {
      turn.count(tenant_rates[name]);
    }
  }

  // Traffic within the quota has full weight, the excess over_quota_weight; as measured by this sender.
  double tenantFactor(const Tenant& tenant) const {
    const double quota = tenant.quota / turn.settings.sender_count;
    const double rate = turn.perSecond(tenant_rates.at(tenant.name));
    if (quota <= 0 || rate <= quota) {
      return 1;
    }
    return quota / rate + (1 - quota / rate) * turn.settings.over_quota_weight;
  }

  // The priority weight, less lateness, less what the tenant sends over its quota.
  double valueAt(const Message& message, Micros when) const {
    const double age = when - message.submitted_at, objective = message.latency_objective;
    const double deadline = std::max<double>(objective, message.rules->deadline);
    const double late_share = message.rules->late_weight_share;
    double share = 1;
    if (age >= deadline) {
      return 0;
    }
    if (age > objective && turn.settings.late_decay == LateDecay::linear) {
      share = 1 - (1 - late_share) * (age - objective) / (deadline - objective);
    } else if (age > objective) {
      share = std::max(late_share, std::exp2(-(age - objective) / objective));
    }
    return message.rules->priority_weight * share * (message.tenant ? tenantFactor(*message.tenant) : 1);
  }

  // The client of a message that was accepted in an earlier turn has been notified: rejecting it has a cost.
  bool isPromised(const Message& message) const {
    const double left = message.expires_at - turn.now, span = message.expires_at - message.arrived_at;
    return message.order <= last_accepted && !message.mayHaveRun() && left > (1 - kPromiseSpan) * span;
  }

  std::set<ShedCandidate> candidates(Micros wait) const {  // the least valuable first
    std::set<ShedCandidate> candidates;
    for (const auto& [id, destination] : queue.backlog) {
      const Micros drained_at = turn.now + std::max(limiter.drainTime(*destination), wait);
      for (Message* message : destination->queued) {
        if (!RetryPolicy::mayReject(*message) || message->isRecoveredUntried()) {
          continue;
        }
        const double cost = isPromised(*message) ? kBrokenPromiseCost * message->rules->priority_weight : 0;
        const double value = valueAt(*message, drained_at) + cost + 1e-3 * valueAt(*message, turn.now);
        candidates.insert({value, message});
      }
    }
    return candidates;
  }

  // Near max_messages the least valuable messages are shed. One of many senders also sheds those that would
  // be late while all its slots are used; with few senders, full slots only indicate an outage.
  std::vector<Message*> selectToShed(int open_messages, bool all_slots_used) const {
    const int reserved = std::max(1, static_cast<int>(kReservedShare * turn.settings.max_messages));
    const int most = std::max(1, turn.settings.max_messages - reserved);
    const double slot_wait = detector.mean_latency * detector.common_slowdown / turn.settings.call_slots;
    const double wait_each = turn.isOneOfMany() && all_slots_used ? slot_wait : 0;
    const double longest_wait = kMaxWaitShare * turn.tightest_objective;
    std::vector<Message*> selected;
    double wait = 0;  // for a slot, of the messages that lack nothing else
    for (const auto& [id, destination] : queue.backlog) {
      if (destination->blocked_at != turn.now) {
        wait += wait_each * destination->queued.size();
      }
    }
    if (open_messages <= most && wait <= longest_wait) {
      return selected;
    }
    for (const auto& [value, message] : candidates(static_cast<Micros>(wait))) {
      const bool waits = wait > longest_wait && message->destination->blocked_at != turn.now;
      const bool loses = value < kMinValueKept * valueAt(*message, message->submitted_at);
      const bool late = waits && loses && !isPromised(*message);
      if (open_messages <= most && !late) {
        continue;
      }
      if (late) {
        wait -= wait_each;
      }
      --open_messages;
      selected.push_back(message);
    }
    return selected;
  }
};

}  // namespace delivery
