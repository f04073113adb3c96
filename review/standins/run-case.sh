#!/usr/bin/env bash
# Plays the case in the folder $1. Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 plays it without the disruption. Writes record.txt into the case's folder.
set -u
case_folder=$(cd "$1" && pwd) || exit 2
review=$(cd "$case_folder/.." && pwd)
ROOT=$(cd "$review/.." && pwd)
RUN=$(sed -n 's/^run *= *"\(.*\)" *$/\1/p' "$ROOT/deploy/balancer.toml")
player=$review/build/case-$(basename "$case_folder")
if [ -z "$RUN" ] || [ ! -x "$ROOT/build/message_sender" ]; then
  echo "build the project first, with the command in deploy/balancer.toml" >&2
  exit 2
fi
if [ ! -x "$player" ] || [ "$case_folder/case.cpp" -nt "$player" ] ||
  [ "$review/standins/standins.h" -nt "$player" ]; then
  "$review/build.sh" || exit 2
fi
WORK=$(mktemp -d) || exit 2
trap 'rm -rf "$WORK"' EXIT
export ROOT RUN WORK
export RECORD=$case_folder/record.txt
timeout -k 2 115 "$player"  # the sender ends with the player
code=$?
cp "$WORK/sender.log" "$case_folder/sender.log" 2>/dev/null
[ $code -le 1 ] && exit $code
exit 2
