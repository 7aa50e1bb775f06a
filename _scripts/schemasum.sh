#!/usr/bin/env bash
# Prints the SHA-256 sum of the schema and of the code generated from it.
set -euo pipefail
cd "$(dirname "$0")/.."
cat proto/*.proto internal/wire/*/*.go | sha256sum | cut -d' ' -f1
