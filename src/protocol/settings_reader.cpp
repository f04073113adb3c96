#include "protocol/settings_reader.h"

namespace delivery {
namespace {

constexpr int kDefaultMaxMessages = 20'000;

constexpr EnumWord<Idempotency> kIdempotencyWords[] = {
    {"idempotent", Idempotency::idempotent},
    {"deduplicated", Idempotency::deduplicated},
    {"at_most_once", Idempotency::non_idempotent},
};

constexpr EnumWord<DeduplicationScope> kDeduplicationScopeWords[] = {
    {"all", DeduplicationScope::all},
    {"zone", DeduplicationScope::zone},
    {"cell", DeduplicationScope::cell},
};

constexpr EnumWord<LateDecay> kLateDecayWords[] = {
    {"line", LateDecay::linear},
    {"halves", LateDecay::halving},
};

// Live weights arrive as load reports, not in the endpoint list.
constexpr EnumWord<WeightKind> kWeightKindWords[] = {
    {"silent", WeightKind::none},
    {"nominal", WeightKind::nominal},
    {"rough", WeightKind::rough},
    {"live", WeightKind::none},
};

constexpr EnumWord<DiscoveryMode> kDiscoveryModeWords[] = {
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
      enumFromWord(readString(object, "Idempotency"), kIdempotencyWords, "Idempotency");
  message_class.deduplication_scope =
      enumFromWord(readString(object, "Group", "all"), kDeduplicationScopeWords, "Group");
  message_class.deduplication_window = readMilliseconds(object, "MemorySpanMs", 0);
  message_class.ordered = readBoolean(object, "KeepOrder", false);
  return message_class;
}

// `Kinds` names the kinds of destination; `Domain` holds one entry for each of them, in the same order.
// Entries that are missing or of another type keep their defaults.
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
  settings.late_decay = enumFromWord(readString(domain, "Late", "line"), kLateDecayWords, "Late");
  if (!isAbsent(domain, "ZoneFee")) {
    for (const json& fee : readArray(domain, "ZoneFee")) {
      settings.zone_cost.push_back(fee.is_number() ? fee.get<double>() : 0);
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

void require(bool is_valid, const char* field) {
  if (!is_valid) {
    throw InvalidInput(InputProblem::out_of_range, field, std::string("settings: ") + field);
  }
}

void validateMessageClass(const MessageClass& message_class) {
  require(message_class.latency_objective > 0, "classes.aim");
  require(message_class.deadline >= message_class.latency_objective, "classes.deadline");
  require(message_class.deduplication_window >= 0, "classes.memory");
  require(message_class.priority_weight >= 0 && message_class.late_weight_share >= 0 &&
              message_class.work_estimate_factor >= 0,
          "classes.worth");
}

}  // namespace

void validateSettings(const Settings& settings) {
  require(!settings.classes.empty(), "classes");
  for (const MessageClass& message_class : settings.classes) {
    validateMessageClass(message_class);
  }
  for (const Tenant& tenant : settings.tenants) {
    require(tenant.quota >= 0, "tenants.quota");
  }
  for (const DestinationKind& kind : settings.destination_kinds) {
    require(kind.messages_per_call >= 1, "kinds.per_call");
  }
  require(settings.sender_count >= 1, "senders");
  require(settings.call_slots >= 1, "slots");
  require(settings.max_messages >= 1, "max_open");
  require(settings.max_attempts >= 1, "max_attempts");
  require(settings.tick >= 0 && settings.answer_slack >= 0, "tick");
  require(settings.drain_grace >= 0 && settings.poll_interval >= 0 && settings.ordering_pause >= 0, "rules");
  require(settings.connect_timeout >= 0 && settings.connection_idle_timeout >= 0, "dial_timeout");
  require(settings.max_retry_after >= 0, "max_pause");
  require(settings.overload_window >= 0 && settings.slow_start_time >= 0, "fall_span");
  require(settings.slow_start_share > 0 && settings.slow_start_share <= 1 && settings.overload_factor > 0,
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
      enumFromWord(readString(object, "WeightKind", "silent"), kWeightKindWords, "WeightKind");
  settings.discovery_mode =
      enumFromWord(readString(object, "Discovery", "push"), kDiscoveryModeWords, "Discovery");
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
