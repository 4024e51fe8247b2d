#!/usr/bin/env bash
# Compiles the stand-ins that the scripts start; the daemons come from the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q .
