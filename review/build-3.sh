#!/usr/bin/env bash
# Builds the stand-ins of the third review; they need nothing but Python itself.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review/standins3 review/1[1-5]
