#include "protocol/endpoint_list.h"

#include <utility>

namespace delivery {

namespace {

constexpr EnumWord<EndpointState> kEndpointStateWords[] = {
    {"Ready", EndpointState::ready},
    {"Terminating", EndpointState::draining},
    {"Gone", EndpointState::removed},
};

ListedEndpoint parseEndpoint(const json& entry) {
  if (!entry.is_object()) {
    throw InvalidInput(InputProblem::wrong_type, "endpoints", "an endpoint is not an object");
  }
  ListedEndpoint listed;
  listed.endpoint.id = readString(entry, "name");
  listed.endpoint.zone = readString(entry, "zone", "");
  listed.endpoint.kind = readString(entry, "type", "");
  listed.endpoint.destination = readInteger(entry, "group");
  listed.endpoint.weight = readNumber(entry, "weight", 0);
  listed.endpoint.state = enumFromWord(readString(entry, "status"), kEndpointStateWords, "status");
  listed.address = readString(entry, "address", "");
  return listed;
}

}  // namespace

EndpointListUpdate EndpointList::apply(const json& answer) {
  if (!answer.is_object()) {
    throw InvalidInput(InputProblem::wrong_type, "", "the list is not an object");
  }
  const std::int64_t index = readInteger(answer, "index");
  const bool is_snapshot = readBoolean(answer, "snapshot", false);
  const json& listed_entries = readArray(answer, "endpoints");
  EndpointListUpdate update;
  update.kind = is_snapshot ? EndpointUpdateKind::full : EndpointUpdateKind::delta;
  for (const json& entry : listed_entries) {
    update.endpoints.push_back(parseEndpoint(entry));
  }

  // The whole answer has been read, so it can be applied.
  if (is_snapshot) {
    entries_.clear();
  }
  for (std::size_t i = 0; i < update.endpoints.size(); ++i) {
    const EndpointInfo& endpoint = update.endpoints[i].endpoint;
    if (endpoint.state == EndpointState::removed) {
      entries_.erase(endpoint.id);
    } else {
      entries_[endpoint.id] = listed_entries[i];
    }
  }
  index_ = index;
  return update;
}

json EndpointList::toJson() const {
  json endpoints = json::array();
  for (const auto& [name, entry] : entries_) {
    endpoints.push_back(entry);
  }
  return {{"index", index_}, {"snapshot", true}, {"endpoints", std::move(endpoints)}};
}

}  // namespace delivery
