#!/usr/bin/env bash
# Regenerates the code under internal/wire from proto/.
set -euo pipefail
cd "$(dirname "$0")/.."
gen() {
  local template=$1 path=$2
  go tool -modfile=_tools/go.mod buf generate proto --template "$template" --path "$path"
}
rm -f internal/wire/*/*.pb.go
plugin() { printf '{"local":["go","tool","-modfile=_tools/go.mod","%s"],"out":".","opt":["module=chervilgauge.example/chervilgauge%s"]}' "$1" "${2:-}"; }
template() { local IFS=,; printf '{"version":"v2","plugins":[%s]}' "$*"; }
gen "$(template "$(plugin protoc-gen-go)")" proto/record.proto
gen "$(template "$(plugin protoc-gen-go)" "$(plugin protoc-gen-go-grpc)")" proto/operator.proto
gen "$(template "$(plugin protoc-gen-go)" "$(plugin protoc-gen-go-drpc)")" proto/peer.proto
gen "$(template "$(plugin protoc-gen-go)" "$(plugin protoc-gen-go-drpc)")" proto/work.proto
_scripts/schemasum.sh > internal/wire/schema.sha256
