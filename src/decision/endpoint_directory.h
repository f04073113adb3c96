// The endpoint list as last received, and when it is polled for.
#pragma once

#include "decision/rate_limiter.h"

namespace delivery {

struct EndpointDirectory {
  Turn& turn;
  const RateLimiter& limiter;
  Micros poll_at = turn.settings.discovery_mode == DiscoveryMode::poll ? 0 : kNever;
  int failed_polls = 0;
  std::map<std::string, Endpoint> endpoints{};  // also removed ones
  std::map<std::int64_t, Destination> destinations{};
  DestinationKind default_kind{};

  Destination& destination(std::int64_t id) {
    destinations[id].id = id;
    return destinations[id];
  }

  void poll() {
    turn.wakeAt(poll_at);
    if (poll_at > turn.now) {
      return;
    }
    turn.actions.emplace_back(SubscribeEndpoints{});
    poll_at = kNever;
  }

  void update(const EndpointsChanged& change) {
    if (change.kind == EndpointUpdateKind::failed) {  // exponential backoff with jitter
      failed_polls = std::min(failed_polls + 1, 6);
      const double base = std::max<Micros>(1, turn.settings.poll_interval) / 64.0;
      const double jitter = 0.5 + std::uniform_real_distribution<double>(0, 1)(turn.random);
      const auto pause = static_cast<Micros>(base * std::exp2(failed_polls) * jitter / 2);
      if (turn.settings.discovery_mode == DiscoveryMode::poll) {
        poll_at = turn.now + pause;
      }
      return;
    }
    failed_polls = 0;
    if (change.kind != EndpointUpdateKind::delta) {
      for (auto& [id, endpoint] : endpoints) {
        endpoint.info.state = EndpointState::removed;
      }
    }
    for (const EndpointInfo& info : change.endpoints) {
      update(info);
    }
  }

  void update(const EndpointInfo& info) {
    Endpoint& endpoint = endpoints[info.id];
    endpoint.info = info;
    endpoint.kind = &default_kind;
    for (const DestinationKind& kind : turn.settings.destination_kinds) {
      if (kind.name == info.kind) {
        endpoint.kind = &kind;
      }
    }
    if (Destination& target = destination(info.destination); endpoint.destination != &target) {
      move(endpoint, target);
    }
    limiter.recordListedLimit(endpoint.scope().rate, info.weight);
  }

  void move(Endpoint& endpoint, Destination& target) {
    if (endpoint.destination) {
      std::vector<Endpoint*>& left = endpoint.destination->endpoints;
      left.erase(std::find(left.begin(), left.end(), &endpoint));
    }
    endpoint.destination = &target;
    // At random, or all senders would crowd the endpoint that is listed first.
    endpoint.last_used = -kNever + static_cast<Micros>(turn.random() % 1000);
    target.endpoints.push_back(&endpoint);
  }
};

}  // namespace delivery
