#!/usr/bin/env bash
# Runs a case of the second review: run-case.sh N. Exit code 1: the rule was broken; 0: it held; 2: the case could
# not run. The program of the case starts the sender with the deploy file's `run` and ends it; should the program
# itself be ended, the kernel ends its senders.
set -u
case=$1
review=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
ROOT=$(dirname "$review")
RUN=$(sed -n 's/^run *= *"\(.*\)".*$/\1/p' "$ROOT/deploy/balancer.toml")
export ROOT RUN
record=$review/$case/record.txt
program=$review/build-2/case-$case
if [ -z "$RUN" ] || [ ! -x "$program" ] || [ ! -x "$ROOT/build/message_sender" ]; then
  echo "cannot run: build the project and review/build-2.sh first" | tee "$record"
  exit 2
fi
timeout -k 2 115 "$program" >"$record" 2>&1
code=$?
tail -n 1 "$record"
case $code in
0 | 1) exit "$code" ;;
*)
  echo "ended with code $code" >>"$record"
  exit 2
  ;;
esac
