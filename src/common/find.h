// Looks a key up in a map.
#pragma once

namespace delivery {

// Returns a pointer to the value of `key` in `map`, or null if the map does not hold the key.
template <class Map, class Key>
auto findOrNull(Map& map, const Key& key) {
  auto found = map.find(key);
  return found == map.end() ? nullptr : &found->second;
}

}  // namespace delivery
