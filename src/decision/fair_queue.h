// Reservation-based fair queuing of destinations (RePAIR, section 3.1): local tags by reservation, global
// tags by weight.
#pragma once

#include "decision/outlier_detection.h"

namespace delivery {

// Idle credit: how many steps of its global tag a destination may lag behind after an idle time. This is
// sigma in RePAIR, section 3.3.
constexpr double kIdleCredits = 2;

// The position of a destination with a backlog. The smallest is served first.
struct QueuePosition {
  // False, and so served first, if the queue holds a message that is untried since a restart.
  bool has_no_untried_message;
  // The reservation entitles no message to be sent now. The destination competes by its weight.
  bool in_global_phase;
  // The first local tag, or in the global phase the first global one.
  double tag;
  auto key() const { return std::tie(has_no_untried_message, in_global_phase, tag); }
  bool operator<(const QueuePosition& other) const { return key() < other.key(); }
};

// Keeps the queues of all destinations and the tags of the queued messages.
struct FairQueue {
  const DecisionContext& context;
  const OutlierDetector& detector;
  // The destinations with queued messages.
  std::map<std::int64_t, Destination*> backlog{};
  // This is added to every stored global tag, so that all of them can be moved at once. In microseconds.
  double global_tag_shift = 0;

  // RePAIR's tag adjustment: moves all global tags by the same span, so that the smallest is now. Otherwise a
  // destination that becomes active would starve a backlogged one whose tags ran ahead of real time.
  void adjustGlobalTags() {
    double smallest = kUnboundedMicros;
    for (const auto& [id, destination] : backlog) {
      smallest = std::min(smallest, destination->tags.front().global + global_tag_shift);
    }
    if (smallest < kUnboundedMicros) {
      global_tag_shift += context.now - smallest;
    }
  }

  // Returns the step between the global tags of a destination: RePAIR's 1/w, in microseconds. All
  // destinations without a listed weight have the same step.
  double globalTagStep(const Destination& destination) const {
    for (const Endpoint* endpoint : destination.endpoints) {
      if (endpoint->isReady() && context.settings.weight_kind != WeightKind::none &&
          endpoint->info.weight > 0) {
        return kMicrosPerSecond / endpoint->info.weight;
      }
    }
    return kMicrosPerSecond;
  }

  // Queues a message and assigns a new tag to its destination. RePAIR's reservation M is one message in each
  // latency objective of the most urgent class queued.
  void push(Message& message, Micros not_before) {
    Destination& destination = *message.destination;
    Tag& last_tag = destination.last_tag;
    adjustGlobalTags();
    message.queued = true;
    message.not_before = not_before;
    destination.queued_messages.push_back(&message);
    double& period = destination.reservation_period = kUnboundedMicros;
    for (const Message* queued : destination.queued_messages) {
      period = std::min<double>(period, queued->message_class->latency_objective);
    }
    const double now = context.now;
    const double step = globalTagStep(destination);
    // A destination that is warming up after an outage gets no idle credit: with the backlog of the outage it
    // would be overloaded again.
    const bool may_have_credit =
        last_tag.global > kSmallestAssignedTag && !detector.isWarmingUp(destination.shared_scope.health);
    const double credit = destination.tags.empty() && may_have_credit ? kIdleCredits * step : 0;
    last_tag = {std::max(last_tag.local + period, now),
                std::max(last_tag.global + step, now - global_tag_shift - credit)};
    destination.tags.push_back(last_tag);
    backlog[destination.id] = &destination;
  }

  // Removes a message from its queue and leaves the tags as they are.
  void eraseMessage(Message& message) {
    Destination& destination = *message.destination;
    std::vector<Message*>& queued_messages = destination.queued_messages;
    queued_messages.erase(std::find(queued_messages.begin(), queued_messages.end(), &message));
    message.queued = false;
    if (queued_messages.empty()) {
      backlog.erase(destination.id);
    }
  }

  // Removes a message that is about to be sent, with the first tag. A message sent in the global phase does
  // not count against the reservation, so the remaining local tags move back by one period.
  void removeForSending(Message& message, bool in_global_phase) {
    Destination& destination = *message.destination;
    eraseMessage(message);
    destination.tags.pop_front();
    if (!in_global_phase) {
      return;
    }
    for (Tag& tag : destination.tags) {
      tag.local -= destination.reservation_period;
    }
    destination.last_tag.local -= destination.reservation_period;
  }

  // Removes a message that is not to be sent, with the last tag of its destination.
  void withdraw(Message& message) {
    Destination& destination = *message.destination;
    eraseMessage(message);
    destination.tags.pop_back();
    destination.last_tag.local -= destination.reservation_period;
    destination.last_tag.global -= globalTagStep(destination);
  }

  // Returns the destinations in the order in which they may use a free call slot. Destinations that
  // could send nothing in this round are left out.
  std::multimap<QueuePosition, Destination*> candidates() const {
    std::multimap<QueuePosition, Destination*> ordered;
    const auto is_untried = [](const Message* message) { return message->isUntriedAfterRestart(); };
    for (const auto& [id, destination] : backlog) {
      const Tag& first_tag = destination->tags.front();
      const bool reservation_due = first_tag.local <= context.now;
      const bool has_untried_message =
          std::any_of(destination->queued_messages.begin(), destination->queued_messages.end(), is_untried);
      if (destination->blocked_at != context.now) {
        ordered.insert(
            {{!has_untried_message, !reservation_due, reservation_due ? first_tag.local : first_tag.global},
             destination});
      }
    }
    return ordered;
  }
};

}  // namespace delivery
