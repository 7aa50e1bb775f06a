#!/usr/bin/env bash
# Runs all tests with the race detector, except those listed in KNOWN-RED.txt.
set -euo pipefail
cd "$(dirname "$0")/.."
# Each entry starts with the name of a test; every part of the name is matched whole.
red=$(grep -E '^Test' KNOWN-RED.txt | sed -e 's#/#$/^#g' -e 's#^#^#' -e 's#$#$#' | paste -sd'|' - || true)
skip=()
if [ -n "$red" ]; then
  skip=(-skip "$red")
fi
exec go test -race -count=1 -timeout 15m "${skip[@]}" ./... "$@"
