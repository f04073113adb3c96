#!/usr/bin/env bash
exec "$(dirname "${BASH_SOURCE[0]}")/../stand-ins-2/run-case.sh" 10
