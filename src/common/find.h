// Looks a key up in a map without a comparison with its end.
#pragma once

namespace delivery {

// Returns a pointer to the value of `key` in `map`, null if there is none.
template <class Map, class Key>
auto findOrNull(Map& map, const Key& key) {
  auto found = map.find(key);
  return found == map.end() ? nullptr : &found->second;
}

}  // namespace delivery
