// Tests the endpoint list of the discovery service: snapshots, deltas, and responses that can't be read.
#include "protocol/endpoint_list.h"

#include <gtest/gtest.h>

namespace delivery {
namespace {

json makeEntry(const std::string& name, const std::string& status = "Ready") {
  return {{"name", name}, {"address", "10.0.0.4:6379"}, {"zone", "a"},  {"type", "partner"},
          {"group", 7},   {"status", status},           {"weight", 2.5}};
}

json makeResponse(std::int64_t index, bool is_snapshot, json endpoints) {
  return {{"index", index}, {"snapshot", is_snapshot}, {"endpoints", std::move(endpoints)}};
}

TEST(EndpointList, SnapshotReplacesTheListAndDeltaChangesIt) {
  EndpointList list;
  EXPECT_EQ(EndpointList::kNoIndex, list.index());
  EXPECT_EQ(EndpointUpdateKind::full,
            list.apply(makeResponse(3, true, {makeEntry("a"), makeEntry("b")})).kind);
  EXPECT_EQ(3, list.index());

  const EndpointListUpdate delta =
      list.apply(makeResponse(4, false, {makeEntry("b", "Gone"), makeEntry("c")}));
  EXPECT_EQ(EndpointUpdateKind::delta, delta.kind);
  ASSERT_EQ(2u, delta.endpoints.size());
  EXPECT_EQ(EndpointState::removed, delta.endpoints[0].endpoint.state);
  EXPECT_TRUE(list.contains("a"));
  EXPECT_FALSE(list.contains("b"));
  EXPECT_TRUE(list.contains("c"));

  list.apply(makeResponse(5, true, json::array({makeEntry("d", "Terminating")})));
  EXPECT_FALSE(list.contains("a"));
  EXPECT_TRUE(list.contains("d"));
}

TEST(EndpointList, AllFieldsOfAnEntryAreRead) {
  EndpointList list;
  const EndpointListUpdate update =
      list.apply(makeResponse(1, true, json::array({makeEntry("a", "Terminating")})));
  ASSERT_EQ(1u, update.endpoints.size());
  const ListedEndpoint& listed = update.endpoints[0];
  EXPECT_EQ("a", listed.endpoint.id);
  EXPECT_EQ("a", listed.endpoint.zone);
  EXPECT_EQ("partner", listed.endpoint.kind);
  EXPECT_EQ(7, listed.endpoint.destination);
  EXPECT_EQ(2.5, listed.endpoint.weight);
  EXPECT_EQ(EndpointState::draining, listed.endpoint.state);
  EXPECT_EQ("10.0.0.4:6379", listed.address);
}

TEST(EndpointList, JsonRestoresTheListIncludingUnknownFields) {
  EndpointList list;
  json entry_with_unknown_field = makeEntry("a");
  entry_with_unknown_field["since_ms"] = 12;
  list.apply(makeResponse(9, true, json::array({entry_with_unknown_field})));
  EndpointList restored;
  restored.apply(json::parse(list.toText()));
  EXPECT_EQ(9, restored.index());
  EXPECT_EQ(list.toText(), restored.toText());
  EXPECT_EQ(12, json::parse(restored.toText())["endpoints"][0]["since_ms"]);
}

TEST(EndpointList, UnreadableResponseLeavesTheListUnchanged) {
  EndpointList list;
  list.apply(makeResponse(3, true, json::array({makeEntry("a")})));
  const std::string before = list.toText();
  json entry_without_group = makeEntry("b");
  entry_without_group.erase("group");
  for (const json& unreadable : {json(7), json::object(), json{{"index", 4}, {"endpoints", 5}},
                                 makeResponse(4, true, {makeEntry("b"), 5}),
                                 makeResponse(4, true, {makeEntry("b"), makeEntry("c", "Sleeping")}),
                                 makeResponse(4, true, {makeEntry("c"), entry_without_group})}) {
    EXPECT_THROW(list.apply(unreadable), InvalidInput) << unreadable;
    EXPECT_EQ(before, list.toText()) << unreadable;
  }
}

}  // namespace
}  // namespace delivery
