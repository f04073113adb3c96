// The endpoint list of the discovery service: reads it from JSON and writes it for the journal. Uses no
// sockets.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/events.h"
#include "protocol/json_fields.h"

namespace delivery {

struct ListedEndpoint {
  EndpointInfo endpoint;
  std::string address;  // host and port such as "10.0.0.4:6379"; not validated here
};

// The content of one response of the discovery service.
struct EndpointListUpdate {
  EndpointUpdateKind kind = EndpointUpdateKind::delta;  // full if the response is a snapshot
  std::vector<ListedEndpoint> endpoints;                // in the order of the response
};

// The endpoints that are listed at present. The entries are kept as the JSON that discovery sent, so that
// fields that this program does not know survive a restart.
class EndpointList {
 public:
  static constexpr std::int64_t kNoIndex = -1;

  // Applies a response of the discovery service. Throws InvalidInput if the response can't be read; the list
  // is then unchanged.
  EndpointListUpdate apply(const json& response);

  // Returns a snapshot in JSON that apply() accepts.
  std::string toText() const;

  // The version of the list at the discovery service; kNoIndex if no list has been read yet.
  std::int64_t index() const { return index_; }

  bool contains(const std::string& endpoint) const { return entries_.count(endpoint) > 0; }

 private:
  std::int64_t index_ = kNoIndex;
  // The entries as JSON text, by endpoint name. A parsed entry takes several times as much memory.
  std::map<std::string, std::string> entries_;
};

}  // namespace delivery
