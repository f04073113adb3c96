#!/usr/bin/env bash
# Builds the stand-ins of the second review: one program for each of its cases, in review/build-2/. Needs a C++17
# compiler and nlohmann-json, which the deploy file's build needs as well.
set -eu
cd "$(dirname "${BASH_SOURCE[0]}")"
mkdir -p build-2
for number in 6 7 8 9 10; do
  [ -f "$number/case.cpp" ] || continue
  "${CXX:-c++}" -std=c++17 -O1 -Wall -Wextra -pthread -I stand-ins-2 "$number/case.cpp" -o "build-2/case-$number" &
done
for job in $(jobs -p); do wait "$job"; done
