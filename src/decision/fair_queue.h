// Reservation-based fair queuing (RePAIR, 3.1) of destinations: local tags by reservation, global by weight.
#pragma once

#include "decision/outlier_detection.h"

namespace delivery {

constexpr double kIdleCredits = 2;  // sigma in RePAIR, section 3.3

struct QueuePosition {  // of a destination; the smallest is served first
  bool has_no_untried, in_global_phase;
  double tag;
  auto key() const { return std::tie(has_no_untried, in_global_phase, tag); }
  bool operator<(const QueuePosition& other) const { return key() < other.key(); }
};

struct FairQueue {
  const Turn& turn;
  const OutlierDetector& detector;
  std::map<std::int64_t, Destination*> backlog{};  // destinations with queued messages
  double global_shift = 0;                         // added to every stored global tag

  // Tag adjustment: moves all global tags so that the smallest is now.
  void adjustGlobalTags() {
    double smallest = 1e300;
    for (const auto& [id, destination] : backlog) {
      smallest = std::min(smallest, destination->tags.front().global + global_shift);
    }
    if (smallest < 1e300) {
      global_shift += turn.now - smallest;
    }
  }

  double globalStep(const Destination& destination) const {  // 1/w, in microseconds
    for (const Endpoint* endpoint : destination.endpoints) {
      if (endpoint->isReady() && turn.settings.weight_kind != WeightKind::none && endpoint->info.weight > 0) {
        return kMicrosPerSecond / endpoint->info.weight;
      }
    }
    return kMicrosPerSecond;
  }

  // Tag assignment, with M = one start for each objective of the most urgent class queued.
  void push(Message& message, Micros not_before) {
    Destination& destination = *message.destination;
    Tag& last = destination.last_tag;
    adjustGlobalTags();
    message.queued = true;
    message.not_before = not_before;
    destination.queued.push_back(&message);
    double& period = destination.reservation_period = 1e300;
    for (const Message* queued : destination.queued) {
      period = std::min<double>(period, queued->rules->latency_objective);
    }
    const double now = turn.now, step = globalStep(destination);
    // No idle credit after an outage: with its backlog it would overload the destination again.
    const bool known = last.global > -1e17 && !detector.isWarmingUp(destination.shared.health);
    const double credit = destination.tags.empty() && known ? kIdleCredits * step : 0;
    last = {std::max(last.local + period, now), std::max(last.global + step, now - global_shift - credit)};
    destination.tags.push_back(last);
    backlog[destination.id] = &destination;
  }

  void erase(Message& message) {
    Destination& destination = *message.destination;
    destination.queued.erase(std::find(destination.queued.begin(), destination.queued.end(), &message));
    message.queued = false;
    if (destination.queued.empty()) {
      backlog.erase(destination.id);
    }
  }

  // Removes a message to send, with the first tag. A start in the global phase leaves the reservation
  // unchanged.
  void start(Message& message, bool in_global_phase) {
    Destination& destination = *message.destination;
    erase(message);
    destination.tags.pop_front();
    if (!in_global_phase) {
      return;
    }
    for (Tag& tag : destination.tags) {
      tag.local -= destination.reservation_period;
    }
    destination.last_tag.local -= destination.reservation_period;
  }

  // Removes a message that is not to be sent, with its destination's last tag.
  void withdraw(Message& message) {
    Destination& destination = *message.destination;
    erase(message);
    destination.tags.pop_back();
    destination.last_tag.local -= destination.reservation_period;
    destination.last_tag.global -= globalStep(destination);
  }

  // Destinations in the order in which they may use a free slot.
  std::multimap<QueuePosition, Destination*> candidates() const {
    std::multimap<QueuePosition, Destination*> order;
    const auto untried = [](const Message* each) { return each->isRecoveredUntried(); };
    for (const auto& [id, destination] : backlog) {
      const Tag& first = destination->tags.front();
      const bool due = first.local <= turn.now;
      const bool has_untried = std::any_of(destination->queued.begin(), destination->queued.end(), untried);
      if (destination->blocked_at != turn.now) {
        order.insert({{!has_untried, !due, due ? first.local : first.global}, destination});
      }
    }
    return order;
  }
};

}  // namespace delivery
