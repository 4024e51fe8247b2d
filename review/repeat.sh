#!/usr/bin/env bash
# Runs the script of a case several times and prints its exit codes.
# Usage: review/repeat.sh CASE [TIMES]
set -uo pipefail
cd "$(dirname "$0")"
for _ in $(seq "${2:-5}"); do
    "$1/run.sh" >/dev/null 2>&1
    echo "$1: $?"
done
