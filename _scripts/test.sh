#!/usr/bin/env bash
# Runs all tests with the race detector and with fixed seeds for property tests.
set -euo pipefail
cd "$(dirname "$0")/.."
exec go test -race -count=1 -timeout 10m ./... "$@"
