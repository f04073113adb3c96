// The settings that both the adapter and the sender are given, from JSON to Settings.
#pragma once

#include "protocol/json_fields.h"

namespace delivery {

Settings readSettings(const json& o);  // throws BadInput naming the field

}  // namespace delivery
