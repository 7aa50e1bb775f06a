#!/usr/bin/env bash
# Compares load through an entry with load directly to an endpoint, in alternating runs, and then
# loads one entry at higher rates to find its limit. Takes about two minutes; uses ports 19000 to
# 19999.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
go build -o "$dir/cg" ./cmd/chervilgauge
pids=()
stop() {
  for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$dir"
}
trap stop EXIT

"$dir/cg" standin all -port 19000 -endpoints 4 -slots 64 -run 0 > "$dir/standin.out" &
pids+=($!)
cat > "$dir/entry.jsonc" <<J
{"name": "entry-1", "centre": "north",
 "listen": {"callers": "127.0.0.1:19801", "operators": "127.0.0.1:19802",
            "peers": "127.0.0.1:19803", "health": "127.0.0.1:19804"},
 "log": {"url": "http://127.0.0.1:19000"}, "list": {"url": "http://127.0.0.1:19001"},
 "limits": {"conns": 64}, "stop": {"lag": "0s"}}
J
sleep 0.5
"$dir/cg" serve "$dir/entry.jsonc" 2> "$dir/entry.log" &
pids+=($!)
ops=(-addr 127.0.0.1:19802)
until "$dir/cg" status "${ops[@]}" 2>/dev/null | grep -q true; do sleep 0.1; done
"$dir/cg" pool put main "${ops[@]}" > /dev/null
"$dir/cg" service put plan -pool main "${ops[@]}" > /dev/null
for n in 1 2 3 4; do
  "$dir/cg" instance put "inst-$n" -endpoint "127.0.0.1:$((19100 + n))" -pool main -rack r1 \
    -centre north -slots 64 -conns 512 "${ops[@]}" > /dev/null
done
until [ "$("$dir/cg" status "${ops[@]}" | grep -c 'serving *up')" = 4 ]; do sleep 0.1; done
sleep 1

# Runs the load once and prints its row of results.
shot() { # direct|entry rate
  local to=(-addr 127.0.0.1:19801)
  if [ "$1" = direct ]; then
    to=(-direct -addr 127.0.0.1:19101)
  fi
  printf '%-7s %6d' "$1" "$2"
  "$dir/cg" load "${to[@]}" -rate "$2" -once 0 -length 5s 2> /dev/null | tail -1
}

echo "target    rate   service  answered  failed  not-run  unknown  cut  unsent  per second  p50 ms  p99 ms  max ms"
for r in ${RATES:-1000 10000}; do
  for _ in 1 2 3; do
    shot direct "$r"
    shot entry "$r"
  done
done
for r in ${TOP:-15000 20000 25000}; do
  shot entry "$r"
done
