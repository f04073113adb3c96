// Admission control: the value of delivering a message, and which messages are shed under overload.
#pragma once

#include "decision/fair_queue.h"
#include "decision/retry_policy.h"

namespace delivery {

// The longest wait for a call slot, as a share of the shortest latency objective. Messages are shed while the
// wait is longer.
constexpr double kMaxSlotWaitShare = 0.5;

// While the wait for a slot is too long, messages are shed that would keep less of their value than this.
constexpr double kMinKeptValueShare = 0.9;

// The cost of rejecting a protected message, as a share of its priority weight; see isProtected().
constexpr double kProtectedRejectionCost = 0.3;

// An accepted message is protected for this share of the span from its arrival to its expiry.
constexpr double kProtectedLifetimeShare = 0.7;

// The share of max_messages that is kept free for more valuable messages.
constexpr double kReservedCapacityShare = 0.06;

// The weight of the present value of a message beside the value that it loses or keeps by waiting. It is
// small, so that it decides only between messages that are nearly equal otherwise.
constexpr double kPresentValueWeight = 1e-3;

// A message that may be shed. The candidate with the smallest key is shed first.
struct ShedCandidate {
  // The value that is left when the backlog has drained, plus the cost of a rejection and the present value
  // times kPresentValueWeight.
  double retained_value;
  Message* message;
  auto key() const { return std::tie(retained_value, message->sequence_number); }
  bool operator<(const ShedCandidate& other) const { return key() < other.key(); }
};

// Values messages and selects those to shed.
struct AdmissionControl {
  const DecisionContext& context;
  const OutlierDetector& detector;
  const RateLimiter& limiter;
  const FairQueue& fair_queue;
  // The rate of messages of each tenant that this sender receives, by the tenant's name.
  std::map<std::string, DecayedRate> tenant_rates{};
  // The sequence number of the latest message whose client has been notified that it is accepted.
  std::uint64_t last_accepted_sequence_number = 0;

  // Sets the tenant of a new message and counts the message. An unknown tenant is ignored.
  void assignTenant(Message& message, const std::string& tenant_name) {
    for (const Tenant& tenant : context.settings.tenants) {
      if (tenant.name == tenant_name) {
        message.tenant = &tenant;
      }
    }
    if (message.tenant) {
      context.addEvent(tenant_rates[tenant_name]);
    }
  }

  // Returns the factor of the priority weight for a tenant's messages. Traffic within the quota counts fully,
  // the excess with over_quota_weight. The quota is divided evenly among the senders, and the traffic is that
  // of this sender.
  double quotaFactor(const Tenant& tenant) const {
    const double quota = tenant.quota / context.settings.sender_count;
    const double rate = context.ratePerSecond(tenant_rates.at(tenant.name));
    if (quota <= 0 || rate <= quota) {
      return 1;
    }
    return quota / rate + (1 - quota / rate) * context.settings.over_quota_weight;
  }

  // Returns the value of a message that is delivered at `moment`: its priority weight, reduced for lateness
  // and for what its tenant sends beyond its quota.
  double valueAt(const Message& message, Micros moment) const {
    const double age = moment - message.submitted_at;
    const double objective = message.latency_objective;
    const double deadline = std::max<double>(objective, message.message_class->deadline);
    const double late_share = message.message_class->late_weight_share;
    double share = 1;
    if (age >= deadline) {
      return 0;
    }
    if (age > objective && context.settings.late_decay == LateDecay::linear) {
      share = 1 - (1 - late_share) * (age - objective) / (deadline - objective);
    } else if (age > objective) {
      share = std::max(late_share, std::exp2(-(age - objective) / objective));
    }
    return message.message_class->priority_weight * share *
           (message.tenant ? quotaFactor(*message.tenant) : 1);
  }

  // Whether rejecting the message has a cost, because its client has been notified in an earlier round that
  // it is accepted. That no longer matters once the message may have run, or late in its lifetime.
  bool isProtected(const Message& message) const {
    const double time_left = message.expires_at - context.now;
    const double lifetime = message.expires_at - message.arrived_at;
    return message.sequence_number <= last_accepted_sequence_number && !message.mayHaveRun() &&
           time_left > (1 - kProtectedLifetimeShare) * lifetime;
  }

  // Returns the queued messages that may be shed, the least valuable first. `slot_wait` is the wait for a
  // call slot in microseconds.
  std::set<ShedCandidate> shedCandidates(Micros slot_wait) const {
    std::set<ShedCandidate> candidates;
    for (const auto& [id, destination] : fair_queue.backlog) {
      const Micros drained_at = context.now + std::max(limiter.drainTime(*destination), slot_wait);
      for (Message* message : destination->queued_messages) {
        if (!RetryPolicy::mayReject(*message) || message->isUntriedAfterRestart()) {
          continue;
        }
        const double rejection_cost =
            isProtected(*message) ? kProtectedRejectionCost * message->message_class->priority_weight : 0;
        const double retained_value = valueAt(*message, drained_at) + rejection_cost +
                                      kPresentValueWeight * valueAt(*message, context.now);
        candidates.insert({retained_value, message});
      }
    }
    return candidates;
  }

  // Returns the messages to shed. Near max_messages these are the least valuable ones. Where there are many
  // senders, messages that would be late are shed as well while all slots of this sender are used. With few
  // senders, full slots only indicate an outage.
  std::vector<Message*> selectToShed(int open_messages, bool all_slots_used) const {
    const int reserved =
        std::max(1, static_cast<int>(kReservedCapacityShare * context.settings.max_messages));
    const int max_open_messages = std::max(1, context.settings.max_messages - reserved);
    const double wait_per_call =
        detector.mean_latency * detector.common_slowdown / context.settings.call_slots;
    const double wait_per_message = context.hasManySenders() && all_slots_used ? wait_per_call : 0;
    const double max_slot_wait = kMaxSlotWaitShare * context.shortest_latency_objective;
    std::vector<Message*> selected;
    // The wait for a slot, in microseconds. Only messages that lack nothing but a slot count.
    double slot_wait = 0;
    for (const auto& [id, destination] : fair_queue.backlog) {
      if (destination->blocked_at != context.now) {
        slot_wait += wait_per_message * destination->queued_messages.size();
      }
    }
    if (open_messages <= max_open_messages && slot_wait <= max_slot_wait) {
      return selected;
    }
    for (const auto& [retained_value, message] : shedCandidates(static_cast<Micros>(slot_wait))) {
      const bool waits_too_long =
          slot_wait > max_slot_wait && message->destination->blocked_at != context.now;
      const bool loses_value = retained_value < kMinKeptValueShare * valueAt(*message, message->submitted_at);
      const bool would_be_late = waits_too_long && loses_value && !isProtected(*message);
      if (open_messages <= max_open_messages && !would_be_late) {
        continue;
      }
      if (would_be_late) {
        slot_wait -= wait_per_message;
      }
      --open_messages;
      selected.push_back(message);
    }
    return selected;
  }
};

}  // namespace delivery
