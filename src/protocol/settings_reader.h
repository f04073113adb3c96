// Reads the settings of the decision module from JSON, for the sender and for the simulator adapter.
#pragma once

#include "common/settings.h"
#include "protocol/json_fields.h"

namespace delivery {

// Throws an InvalidInput that names the first setting whose value is out of range.
void validateSettings(const Settings& settings);

// Reads and validates the settings. The field names are those in docs/ and of the simulator; time spans are
// in milliseconds. Throws an InvalidInput that names the field.
Settings readSettings(const json& object);

}  // namespace delivery
