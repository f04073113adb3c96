// Watches discovery's endpoint list with long polling: each request names the index of the list that is
// known, and discovery answers once it has a newer one.
#pragma once

#include <cstdint>
#include <functional>
#include <random>
#include <string>

#include "network/discovery_client.h"
#include "protocol/endpoint_list.h"

namespace delivery {

// Never gives up: a call that fails is retried with exponential backoff, and the last list stays in force.
class EndpointWatch {
 public:
  // Applies an answer and returns the index from which to watch on. If it throws, the answer could not be
  // read and the full list is requested.
  using OnAnswer = std::function<std::int64_t(const json& answer)>;

  // `seed`: of the backoff's jitter.
  EndpointWatch(DiscoveryClient client, std::uint64_t seed, OnAnswer on_answer);

  // `known_index`: of the list that is known already; EndpointList::kNoIndex requests the full list at once.
  void start(std::int64_t known_index);
  void changeServer(tcp::endpoint server, std::string host);  // requests the full list there, then watches it
  void stop() { client_.stop(); }

 private:
  void requestList();
  void onResponse(const HttpResponse& response);
  void retryWithBackoff();

  DiscoveryClient client_;
  OnAnswer on_answer_;
  std::mt19937_64 random_;
  std::int64_t known_index_ = EndpointList::kNoIndex;
  int consecutive_failures_ = 0;
};

}  // namespace delivery
