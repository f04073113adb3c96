// Discovery's list of endpoints: reading it from JSON, and writing it for the journal. No sockets.
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
  std::string address;  // "10.0.0.4:6379", unchecked
};

// What one answer of discovery says.
struct EndpointListUpdate {
  EndpointUpdateKind kind = EndpointUpdateKind::delta;  // full: the answer is a snapshot
  std::vector<ListedEndpoint> endpoints;                // in the answer's order
};

// The endpoints listed at present. They are kept in discovery's own form, so that fields that this program
// does not know outlast a restart.
class EndpointList {
 public:
  static constexpr std::int64_t kNoIndex = -1;

  // Applies an answer of discovery. Throws InvalidInput when it can't be read; then nothing has changed.
  EndpointListUpdate apply(const json& answer);

  json toJson() const;                           // a snapshot that apply() accepts
  std::int64_t index() const { return index_; }  // discovery's version of the list; kNoIndex: none read yet
  bool contains(const std::string& endpoint) const { return entries_.count(endpoint) > 0; }

 private:
  std::int64_t index_ = kNoIndex;
  std::map<std::string, json> entries_;  // by the endpoint's name
};

}  // namespace delivery
