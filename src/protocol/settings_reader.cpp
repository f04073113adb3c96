// Reads the settings; see settings_reader.h.
#include "protocol/settings_reader.h"

namespace delivery {
namespace {

MessageClass readClass(const json& c) {
  MessageClass m;
  m.name = text(c, "Name");
  m.latency_objective = span(c, "AimMs");
  m.deadline = span(c, "DeadlineMs");
  m.objective_stretch = number(c, "AimStretch", 0);
  m.priority_weight = number(c, "Worth", 1);
  m.late_weight_share = number(c, "LateWorth", 0);
  m.idempotency = oneOf<Idempotency>(text(c, "Idempotency"),
                                     {{"idempotent", Idempotency::idempotent},
                                      {"deduplicated", Idempotency::with_key},
                                      {"at_most_once", Idempotency::non_idempotent}},
                                     "Idempotency");
  m.deduplication_scope = oneOf<DeduplicationScope>(text(c, "Group", "all"),
                                                    {{"all", DeduplicationScope::all},
                                                     {"zone", DeduplicationScope::zone},
                                                     {"cell", DeduplicationScope::cell}},
                                                    "Group");
  m.deduplication_window = span(c, "MemorySpanMs", 0);
  m.ordered = truth(c, "KeepOrder", false);
  return m;
}

void readDomain(const json& o, Settings& s) {
  const json& d = optionalObject(o, "Domain");
  s.call_slots = static_cast<int>(number(d, "CallSlots", 1));
  s.late_decay = oneOf<LateDecay>(text(d, "Late", "line"),
                                  {{"line", LateDecay::linear}, {"halves", LateDecay::halving}}, "Late");
  if (!absent(d, "ZoneFee"))
    for (const json& z : array(d, "ZoneFee"))
      s.zone_cost.push_back(z.is_number() ? z.get<double>() : 0);
  if (!absent(o, "Kinds"))
    for (const json& k : array(o, "Kinds"))
      s.destination_kinds.push_back({k.is_string() ? k.get<std::string>() : "", false, 1});
  for (std::size_t i = 0; i < s.destination_kinds.size(); ++i) {
    if (!absent(d, "RoutesApart") && i < array(d, "RoutesApart").size() && d["RoutesApart"][i].is_boolean())
      s.destination_kinds[i].independent_routes = d["RoutesApart"][i].get<bool>();
    if (!absent(d, "PerCall") && i < array(d, "PerCall").size() && d["PerCall"][i].is_number())
      s.destination_kinds[i].messages_per_call = d["PerCall"][i].get<int>();
  }
}

void readLimits(const json& o, Settings& s) {
  const json& c = optionalObject(o, "Ceilings");
  s.max_messages = static_cast<int>(number(c, "MaxOpen", 20000));
  s.max_attempts = static_cast<int>(number(c, "MaxAttempts", 1));
  s.may_cancel = truth(c, "MayCancel", false);
  s.may_hedge = truth(c, "ParallelTries", false);
  s.retry_after_supported = truth(c, "RetryAfter", false);
  s.connect_timeout = span(c, "DialTimeoutMs", 0);
  s.connection_idle_timeout = span(c, "ConnIdleMs", 0);
  s.max_retry_after = span(c, "MaxRetryAfterMs", 0);
  const json& r = optionalObject(o, "Rules");
  s.answer_slack = span(r, "AnswerSlackMs", 0);
  s.poll_interval = span(r, "AskWithinMs", 0);
  s.drain_grace = span(r, "DrainGraceMs", 0);
  s.overload_window = span(r, "FallMs", 0);
  s.slow_start_time = span(r, "RampTimeMs", 0);
  s.ordering_pause = span(r, "OrderPauseMs", 0);
  s.slow_start_share = number(r, "ColdShare", 1);
  s.overload_factor = number(r, "OverloadFactor", 1);
}

void require(bool good, const char* field) {
  if (!good)
    bad(std::string("settings: ") + field);
}

}  // namespace

void validateSettings(const Settings& s) {
  require(!s.classes.empty(), "classes");
  for (const auto& c : s.classes) {
    require(c.latency_objective > 0, "classes.aim");
    require(c.deadline >= c.latency_objective, "classes.deadline");
    require(c.deduplication_window >= 0, "classes.memory");
    require(c.priority_weight >= 0 && c.late_weight_share >= 0 && c.objective_stretch >= 0, "classes.worth");
  }
  for (const auto& t : s.tenants)
    require(t.quota >= 0, "tenants.quota");
  for (const auto& k : s.destination_kinds)
    require(k.messages_per_call >= 1, "kinds.per_call");
  require(s.sender_count >= 1, "senders");
  require(s.call_slots >= 1, "slots");
  require(s.max_messages >= 1, "max_open");
  require(s.max_attempts >= 1, "max_attempts");
  require(s.tick >= 0 && s.answer_slack >= 0, "tick");
  require(s.drain_grace >= 0 && s.poll_interval >= 0 && s.ordering_pause >= 0, "rules");
  require(s.connect_timeout >= 0 && s.connection_idle_timeout >= 0, "dial_timeout");
  require(s.max_retry_after >= 0, "max_pause");
  require(s.overload_window >= 0 && s.slow_start_time >= 0, "fall_span");
  require(s.slow_start_share > 0 && s.slow_start_share <= 1 && s.overload_factor > 0, "cold_share");
}

Settings readSettings(const json& o) {
  Settings s;
  for (const json& c : array(o, "Categories"))
    s.classes.push_back(readClass(c));
  if (!absent(o, "Tenants"))
    for (const json& t : array(o, "Tenants"))
      s.tenants.push_back({text(t, "Name"), number(t, "QuotaRps", 0), number(t, "Share", 0)});
  if (!absent(o, "Azs"))
    for (const json& z : array(o, "Azs"))
      s.zones.push_back(z.is_string() ? z.get<std::string>() : "");
  s.weight_kind = oneOf<WeightKind>(text(o, "WeightKind", "silent"),
                                    {{"silent", WeightKind::none},
                                     {"nominal", WeightKind::nominal},
                                     {"rough", WeightKind::rough},
                                     {"live", WeightKind::none}},
                                    "WeightKind");
  s.discovery_mode =
      oneOf<DiscoveryMode>(text(o, "Discovery", "push"),
                           {{"push", DiscoveryMode::push}, {"ask", DiscoveryMode::poll}}, "Discovery");
  s.sender_count = static_cast<int>(number(o, "Balancers", 1));
  s.tick = span(o, "TickMs", 0);
  s.over_quota_weight = number(o, "OverShareWorth", 1);
  readDomain(o, s);
  readLimits(o, s);
  validateSettings(s);
  return s;
}

}  // namespace delivery
