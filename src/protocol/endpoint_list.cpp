#include "protocol/endpoint_list.h"

#include <utility>

namespace delivery {

namespace {

constexpr EnumName<EndpointState> kEndpointStateNames[] = {
    {"Ready", EndpointState::ready},
    {"Terminating", EndpointState::draining},
    {"Gone", EndpointState::removed},
};

ListedEndpoint parseEndpoint(const json& entry) {
  if (!entry.is_object()) {
    throw InvalidInput(InputProblem::wrong_type, "endpoints",
                       "entry of the endpoint list is not a JSON object");
  }
  ListedEndpoint listed;
  listed.endpoint.id = readString(entry, "name");
  listed.endpoint.zone = readString(entry, "zone", "");
  listed.endpoint.kind = readString(entry, "type", "");
  listed.endpoint.destination = readInteger(entry, "group");
  listed.endpoint.weight = readNumber(entry, "weight", 0);
  listed.endpoint.state = enumFromName(readString(entry, "status"), kEndpointStateNames, "status");
  listed.address = readString(entry, "address", "");
  return listed;
}

}  // namespace

EndpointListUpdate EndpointList::apply(const json& response) {
  if (!response.is_object()) {
    throw InvalidInput(InputProblem::wrong_type, "", "endpoint list is not a JSON object");
  }
  const std::int64_t index = readInteger(response, "index");
  const bool is_snapshot = readBoolean(response, "snapshot", false);
  const json& listed_entries = readArray(response, "endpoints");
  EndpointListUpdate update;
  update.kind = is_snapshot ? EndpointUpdateKind::full : EndpointUpdateKind::delta;
  for (const json& entry : listed_entries) {
    update.endpoints.push_back(parseEndpoint(entry));
  }

  // The whole response has been read without an error, so it can be applied.
  if (is_snapshot) {
    entries_.clear();
  }
  for (std::size_t i = 0; i < update.endpoints.size(); ++i) {
    const EndpointInfo& endpoint = update.endpoints[i].endpoint;
    if (endpoint.state == EndpointState::removed) {
      entries_.erase(endpoint.id);
    } else {
      entries_[endpoint.id] = listed_entries[i].dump();
    }
  }
  index_ = index;
  return update;
}

std::string EndpointList::toText() const {
  std::string text = R"({"endpoints":[)";
  for (const auto& [name, entry] : entries_) {
    if (text.back() == '}') {
      text += ',';
    }
    text += entry;
  }
  return text + R"(],"index":)" + std::to_string(index_) + R"(,"snapshot":true})";
}

}  // namespace delivery
