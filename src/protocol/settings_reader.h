// Reads the settings that the sender and the simulator's adapter are both given, from their JSON form.
#pragma once

#include "common/settings.h"
#include "protocol/json_fields.h"

namespace delivery {

// Throws InvalidInput that names the first setting whose value is out of range.
void validateSettings(const Settings& settings);

// Reads and validates the settings. Field names are those of docs/ and of the simulator; spans are in
// milliseconds. Throws InvalidInput that names the field.
Settings readSettings(const json& object);

}  // namespace delivery
