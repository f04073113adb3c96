// The endpoint directory: the endpoints and destinations of the list as last received, and when the list is
// polled for.
#pragma once

#include "decision/rate_limiter.h"

namespace delivery {

// The pause doubles with each failed poll in a row, at most this many times. poll_interval is its upper
// bound.
constexpr int kMaxPollBackoffDoublings = 6;

// The pause before any doubling, as a divisor of poll_interval: 2 to the power of the doublings.
constexpr double kPollBackoffDivisor = 64.0;

// The jitter of the pause after a failed poll is a random factor from this value to this value plus 1.
constexpr double kMinPollJitter = 0.5;

// The range in microseconds of the random offsets of Endpoint::last_used_at for endpoints not used yet.
constexpr int kUnusedEndpointOffsets = 1000;

// Keeps endpoints and destinations. Neither is ever erased, so pointers to them stay valid.
struct EndpointDirectory {
  DecisionContext& context;
  const RateLimiter& limiter;
  // When to poll for the list. kNever: it is not polled for, as it is pushed or a poll is under way.
  Micros poll_at = context.settings.discovery_mode == DiscoveryMode::poll ? 0 : kNever;
  // The number of consecutive failed polls, counted up to kMaxPollBackoffDoublings.
  int failed_polls = 0;
  // All endpoints that were ever listed, by their id.
  std::map<std::string, Endpoint> endpoints{};
  std::map<std::int64_t, Destination> destinations{};
  // The kind of the endpoints whose listed kind is not in the settings.
  DestinationKind default_kind{};

  // Returns the destination with this id, a new one if it is not known.
  Destination& destination(std::int64_t id) {
    destinations[id].id = id;
    return destinations[id];
  }

  // Asks for the list if a poll is due, else for a wake-up when it will be.
  void poll() {
    context.wakeAt(poll_at);
    if (poll_at > context.now) {
      return;
    }
    context.actions.emplace_back(SubscribeEndpoints{});
    poll_at = kNever;
  }

  // Applies a new list, or schedules the next poll after a failed one.
  void update(const EndpointsChanged& change) {
    if (change.kind == EndpointUpdateKind::failed) {
      // Exponential backoff with jitter: the longest pause is a quarter to three quarters of the interval.
      failed_polls = std::min(failed_polls + 1, kMaxPollBackoffDoublings);
      const double base = std::max<Micros>(1, context.settings.poll_interval) / kPollBackoffDivisor;
      const double jitter = kMinPollJitter + std::uniform_real_distribution<double>(0, 1)(context.random);
      const auto pause = static_cast<Micros>(base * std::exp2(failed_polls) * jitter / 2);
      if (context.settings.discovery_mode == DiscoveryMode::poll) {
        poll_at = context.now + pause;
      }
      return;
    }
    failed_polls = 0;
    // A whole list no longer holds the endpoints that it does not name.
    if (change.kind != EndpointUpdateKind::delta) {
      for (auto& [id, endpoint] : endpoints) {
        endpoint.info.state = EndpointState::removed;
      }
    }
    for (const EndpointInfo& info : change.endpoints) {
      update(info);
    }
  }

  // Applies one entry of the list.
  void update(const EndpointInfo& info) {
    Endpoint& endpoint = endpoints[info.id];
    endpoint.info = info;
    endpoint.kind = &default_kind;
    for (const DestinationKind& kind : context.settings.destination_kinds) {
      if (kind.name == info.kind) {
        endpoint.kind = &kind;
      }
    }
    if (Destination& listed_destination = destination(info.destination);
        endpoint.destination != &listed_destination) {
      assignDestination(endpoint, listed_destination);
    }
    limiter.recordListedLimit(endpoint.governingScope().rate, info.weight);
  }

  // Adds an endpoint to a destination and removes it from its earlier one.
  void assignDestination(Endpoint& endpoint, Destination& new_destination) {
    if (endpoint.destination) {
      std::vector<Endpoint*>& former_endpoints = endpoint.destination->endpoints;
      former_endpoints.erase(std::find(former_endpoints.begin(), former_endpoints.end(), &endpoint));
    }
    endpoint.destination = &new_destination;
    // Among equal endpoints the least recently used one is chosen. Without a random offset all senders would
    // crowd the endpoint that is listed first.
    endpoint.last_used_at = kLongAgo + static_cast<Micros>(context.random() % kUnusedEndpointOffsets);
    new_destination.endpoints.push_back(&endpoint);
  }
};

}  // namespace delivery
