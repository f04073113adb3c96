#!/usr/bin/env bash
# Builds the stand-ins and the players of the cases into review/build. The project's own programs are built
# with the command in deploy/balancer.toml.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
pids=()
for source in */case.cpp; do
  number=${source%/case.cpp}
  "${CXX:-g++}" -std=c++17 -O2 -Wall -Wextra -pthread -I standins "$source" -o "build/case-$number" &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
