// The settings that both the adapter and the sender are given, from JSON to Settings.
#pragma once

#include "protocol/json_fields.h"

namespace delivery {

// Throws InvalidInput naming the first field whose value can't be.
void validateSettings(const Settings& settings);

Settings readSettings(const json& o);  // throws InvalidInput naming the field

}  // namespace delivery
