#!/usr/bin/env bash
# Runs all tests with the race detector and with a fixed seed for property tests, except
# the tests listed in KNOWN-RED.txt. Arguments are passed on to go test. The tests of
# internal/proof/crowd measure the memory of processes and run after all others, by themselves.
set -euo pipefail
cd "$(dirname "$0")/.."

# Each entry of KNOWN-RED.txt starts with the name of a test. Every part of the name, which slashes
# separate, must match as a whole.
red=$(grep -E '^Test' KNOWN-RED.txt | sed -e 's#/#$/^#g' -e 's#^#^#' -e 's#$#$#' | paste -sd'|' - || true)
opts=(-race -count=1 -timeout 15m)
if [ -n "$red" ]; then
  opts+=(-skip "$red")
fi

# Only the tests of packages that import rapid accept its seed flag.
find='{{if eq . "pgregory.net/rapid"}}{{$.ImportPath}}{{"\n"}}{{end}}'
uses="{{range .TestImports}}$find{{end}}{{range .XTestImports}}$find{{end}}"
mapfile -t seeded < <(go list -f "$uses" ./... | grep . | sort -u)
crowd=$(go list ./internal/proof/crowd)
mapfile -t plain < <(go list ./... | grep -vxF "$(printf '%s\n' "${seeded[@]}" "$crowd")")

status=0
go test "${opts[@]}" "$@" "${seeded[@]}" -rapid.seed=1 || status=1
go test "${opts[@]}" "$@" "${plain[@]}" || status=1
go test "${opts[@]}" "$@" "$crowd" || status=1
exit "$status"
