// Finds the end of a damaged frame from what is left of it, without a search for the next mark: a payload
// holds bytes that clients chose, and these may look like a frame.
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace delivery {

// Returns the size in bytes of the damaged frame that begins at `offset`, at which a frame has to begin. Its
// fields have to confirm the size:
// - version 2: two of the three of length, payload with its checksum, and header checksum
// - version 1: the payload has its checksum, or the mark is intact and a valid frame or the end of `data`
//   follows
// Returns nothing if they do not, as after damage to several fields or after a block that is out of place.
std::optional<std::size_t> sizeOfDamagedFrame(std::string_view data, std::size_t offset);

}  // namespace delivery
