#include "protocol/settings_reader.h"

namespace delivery {
namespace {

constexpr int kDefaultMaxMessages = 20'000;

constexpr EnumName<Idempotency> kIdempotencyNames[] = {
    {"idempotent", Idempotency::idempotent},
    {"deduplicated", Idempotency::deduplicated},
    {"at_most_once", Idempotency::non_idempotent},
};

constexpr EnumName<DeduplicationScope> kDeduplicationScopeNames[] = {
    {"all", DeduplicationScope::all},
    {"zone", DeduplicationScope::zone},
    {"cell", DeduplicationScope::cell},
};

constexpr EnumName<LateDecay> kLateDecayNames[] = {
    {"line", LateDecay::linear},
    {"halves", LateDecay::halving},
};

// "live" is read as WeightKind::none, because live weights arrive in load reports and not in the endpoint
// list.
constexpr EnumName<WeightKind> kWeightKindNames[] = {
    {"silent", WeightKind::none},
    {"nominal", WeightKind::nominal},
    {"rough", WeightKind::rough},
    {"live", WeightKind::none},
};

constexpr EnumName<DiscoveryMode> kDiscoveryModeNames[] = {
    {"push", DiscoveryMode::push},
    {"ask", DiscoveryMode::poll},
};

MessageClass readMessageClass(const json& object) {
  MessageClass message_class;
  message_class.name = readString(object, "Name");
  message_class.latency_objective = readMilliseconds(object, "AimMs");
  message_class.deadline = readMilliseconds(object, "DeadlineMs");
  message_class.work_estimate_factor = readNumber(object, "AimStretch", 0);
  message_class.priority_weight = readNumber(object, "Worth", 1);
  message_class.late_weight_share = readNumber(object, "LateWorth", 0);
  message_class.idempotency =
      enumFromName(readString(object, "Idempotency"), kIdempotencyNames, "Idempotency");
  message_class.deduplication_scope =
      enumFromName(readString(object, "Group", "all"), kDeduplicationScopeNames, "Group");
  message_class.deduplication_window = readMilliseconds(object, "MemorySpanMs", 0);
  message_class.ordered = readBoolean(object, "KeepOrder", false);
  return message_class;
}

// `Kinds` lists the names of the destination kinds. The arrays in `Domain` hold one entry for each kind, in
// the same order. An entry that is missing or of another type leaves the default value unchanged.
void readDestinationKinds(const json& object, const json& domain, Settings& settings) {
  if (!isAbsent(object, "Kinds")) {
    for (const json& kind : readArray(object, "Kinds")) {
      settings.destination_kinds.push_back({kind.is_string() ? kind.get<std::string>() : "", false, 1});
    }
  }
  for (std::size_t i = 0; i < settings.destination_kinds.size(); ++i) {
    DestinationKind& kind = settings.destination_kinds[i];
    if (!isAbsent(domain, "RoutesApart") && i < readArray(domain, "RoutesApart").size() &&
        domain["RoutesApart"][i].is_boolean()) {
      kind.independent_routes = domain["RoutesApart"][i].get<bool>();
    }
    if (!isAbsent(domain, "PerCall") && i < readArray(domain, "PerCall").size() &&
        domain["PerCall"][i].is_number()) {
      kind.messages_per_call = domain["PerCall"][i].get<int>();
    }
  }
}

void readDomain(const json& object, Settings& settings) {
  const json& domain = readOptionalObject(object, "Domain");
  settings.call_slots = static_cast<int>(readNumber(domain, "CallSlots", 1));
  settings.late_decay = enumFromName(readString(domain, "Late", "line"), kLateDecayNames, "Late");
  if (!isAbsent(domain, "ZoneFee")) {
    for (const json& cost : readArray(domain, "ZoneFee")) {
      settings.zone_cost.push_back(cost.is_number() ? cost.get<double>() : 0);
    }
  }
  readDestinationKinds(object, domain, settings);
}

void readLimits(const json& object, Settings& settings) {
  const json& ceilings = readOptionalObject(object, "Ceilings");
  settings.max_messages = static_cast<int>(readNumber(ceilings, "MaxOpen", kDefaultMaxMessages));
  settings.max_attempts = static_cast<int>(readNumber(ceilings, "MaxAttempts", 1));
  settings.may_cancel = readBoolean(ceilings, "MayCancel", false);
  settings.may_hedge = readBoolean(ceilings, "ParallelTries", false);
  settings.retry_after_supported = readBoolean(ceilings, "RetryAfter", false);
  settings.connect_timeout = readMilliseconds(ceilings, "DialTimeoutMs", 0);
  settings.connection_idle_timeout = readMilliseconds(ceilings, "ConnIdleMs", 0);
  settings.max_retry_after = readMilliseconds(ceilings, "MaxRetryAfterMs", 0);
}

void readRules(const json& object, Settings& settings) {
  const json& rules = readOptionalObject(object, "Rules");
  settings.answer_slack = readMilliseconds(rules, "AnswerSlackMs", 0);
  settings.poll_interval = readMilliseconds(rules, "AskWithinMs", 0);
  settings.drain_grace = readMilliseconds(rules, "DrainGraceMs", 0);
  settings.overload_window = readMilliseconds(rules, "FallMs", 0);
  settings.slow_start_time = readMilliseconds(rules, "RampTimeMs", 0);
  settings.ordering_pause = readMilliseconds(rules, "OrderPauseMs", 0);
  settings.slow_start_share = readNumber(rules, "ColdShare", 1);
  settings.overload_factor = readNumber(rules, "OverloadFactor", 1);
}

void readTenants(const json& object, Settings& settings) {
  if (isAbsent(object, "Tenants")) {
    return;
  }
  for (const json& tenant : readArray(object, "Tenants")) {
    settings.tenants.push_back(
        {readString(tenant, "Name"), readNumber(tenant, "QuotaRps", 0), readNumber(tenant, "Share", 0)});
  }
}

void readZones(const json& object, Settings& settings) {
  if (isAbsent(object, "Azs")) {
    return;
  }
  for (const json& zone : readArray(object, "Azs")) {
    settings.zones.push_back(zone.is_string() ? zone.get<std::string>() : "");
  }
}

void requireInRange(bool is_in_range, const char* field) {
  if (!is_in_range) {
    throw InvalidInput(InputProblem::out_of_range, field, std::string("setting out of range: ") + field);
  }
}

void validateMessageClass(const MessageClass& message_class) {
  requireInRange(message_class.latency_objective > 0, "classes.aim");
  requireInRange(message_class.deadline >= message_class.latency_objective, "classes.deadline");
  requireInRange(message_class.deduplication_window >= 0, "classes.memory");
  requireInRange(message_class.priority_weight >= 0 && message_class.late_weight_share >= 0 &&
                     message_class.work_estimate_factor >= 0,
                 "classes.worth");
}

}  // namespace

void validateSettings(const Settings& settings) {
  requireInRange(!settings.classes.empty(), "classes");
  for (const MessageClass& message_class : settings.classes) {
    validateMessageClass(message_class);
  }
  for (const Tenant& tenant : settings.tenants) {
    requireInRange(tenant.quota >= 0, "tenants.quota");
  }
  for (const DestinationKind& kind : settings.destination_kinds) {
    requireInRange(kind.messages_per_call >= 1, "kinds.per_call");
  }
  requireInRange(settings.sender_count >= 1, "senders");
  requireInRange(settings.call_slots >= 1, "slots");
  requireInRange(settings.max_messages >= 1, "max_open");
  requireInRange(settings.max_attempts >= 1, "max_attempts");
  requireInRange(settings.tick >= 0 && settings.answer_slack >= 0, "tick");
  requireInRange(settings.drain_grace >= 0 && settings.poll_interval >= 0 && settings.ordering_pause >= 0,
                 "rules");
  requireInRange(settings.connect_timeout >= 0 && settings.connection_idle_timeout >= 0, "dial_timeout");
  requireInRange(settings.max_retry_after >= 0, "max_pause");
  requireInRange(settings.overload_window >= 0 && settings.slow_start_time >= 0, "fall_span");
  requireInRange(
      settings.slow_start_share > 0 && settings.slow_start_share <= 1 && settings.overload_factor > 0,
      "cold_share");
}

Settings readSettings(const json& object) {
  Settings settings;
  for (const json& message_class : readArray(object, "Categories")) {
    settings.classes.push_back(readMessageClass(message_class));
  }
  readTenants(object, settings);
  readZones(object, settings);
  settings.weight_kind =
      enumFromName(readString(object, "WeightKind", "silent"), kWeightKindNames, "WeightKind");
  settings.discovery_mode =
      enumFromName(readString(object, "Discovery", "push"), kDiscoveryModeNames, "Discovery");
  settings.sender_count = static_cast<int>(readNumber(object, "Balancers", 1));
  settings.tick = readMilliseconds(object, "TickMs", 0);
  settings.over_quota_weight = readNumber(object, "OverShareWorth", 1);
  readDomain(object, settings);
  readLimits(object, settings);
  readRules(object, settings);
  validateSettings(settings);
  return settings;
}

}  // namespace delivery
