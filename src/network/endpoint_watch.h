// Watches the endpoint list of the discovery server by long polling: each request contains the index of the
// known list, and the server responds once it has a newer list.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <random>
#include <string>

#include "network/discovery_client.h"
#include "protocol/endpoint_list.h"

namespace delivery {

// A request that fails is retried with exponential backoff, without a limit on the number of attempts. The
// last list stays in use meanwhile.
class EndpointWatch {
 public:
  // Applies a received list and returns its index, from which the watch continues. An exception means that
  // the list is unreadable; the full list is then requested.
  using OnEndpointList = std::function<std::int64_t(const json& list)>;

  // `seed`: for the random jitter of the backoff. A list of more than `max_list_values` JSON values is
  // unreadable.
  EndpointWatch(DiscoveryClient client, std::uint64_t seed, std::size_t max_list_values,
                OnEndpointList on_endpoint_list);

  // `known_index`: the index of the list that is already known. EndpointList::kNoIndex requests the full list
  // at once.
  void start(std::int64_t known_index);
  // Requests the full list from the new server and watches it from then on.
  void changeServer(tcp::endpoint server, std::string host);
  void stop() { client_.stop(); }

 private:
  void requestList();
  void onResponse(const HttpResponse& response);
  void retryWithBackoff();

  DiscoveryClient client_;
  OnEndpointList on_endpoint_list_;
  std::mt19937_64 random_;
  std::size_t max_list_values_;
  std::int64_t known_index_ = EndpointList::kNoIndex;
  int consecutive_failures_ = 0;
};

}  // namespace delivery
