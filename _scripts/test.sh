#!/usr/bin/env bash
# Runs all tests with the race detector, except those listed in KNOWN-RED.txt.
set -euo pipefail
cd "$(dirname "$0")/.."
red=$(grep -E '^Test' KNOWN-RED.txt | paste -sd'|' - || true)
skip=()
if [ -n "$red" ]; then
  skip=(-skip "^($red)\$")
fi
exec go test -race -count=1 -timeout 15m "${skip[@]}" ./... "$@"
