// Looks a key up in a map.
#pragma once

namespace delivery {

// The value of `key` in `map`; null if there is none.
template <class Map, class Key>
auto find(Map& map, const Key& key) {
  auto found = map.find(key);
  return found == map.end() ? nullptr : &found->second;
}

}  // namespace delivery
