#!/usr/bin/env bash
# Measures the time to the first token through an entry and directly, at 1, 50 and 500 open streams, in
# one run, and the threads and memory of the entry at each number of streams.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --quiet --release --workspace
bin=target/release
source scripts/fleet.sh

start_platform --model-time 100ms
start engine "$bin/gentian-standin" engine --address 127.0.0.1:18301 --store 127.0.0.1:17902 \
  --slots 600 --fresh-slots 600 --first-token 30ms --token-interval 32ms
start_controller 1 palermo
start_entry 1 palermo
wait_for "$ctl" publish --key-value 127.0.0.1:17900 config/bench.ini
ready() { "$ctl" call 127.0.0.1:17401 /readyz; }
wait_for ready
warm() { GENTIAN_KEY=demo-key-bench "$ctl" call 127.0.0.1:17001 /bench/v1/completions '{"model":"bench-model","max_tokens":1}'; }
wait_for warm

scenario() { # NAME TARGET PATH OPEN
  printf '[load]\ntargets = %s\nspan = 8s\n[flow %s-%s]\nkey = demo-key-bench\npath = %s\n' "$2" "$1" "$4" "$3"
  printf 'models = bench-model\nmax_tokens = 40\nopen = %s\n' "$4"
}
for open in 1 50 500; do
  scenario direct 127.0.0.1:18301 /v1/completions "$open" >"$run/direct.ini"
  scenario entry 127.0.0.1:17001 /bench/v1/completions "$open" >"$run/entry.ini"
  "$bin/gentian-load" "$run/direct.ini"
  "$bin/gentian-load" "$run/entry.ini" &
  load=$!
  sleep 4
  awk -v open="$open" '/^(Threads|VmRSS)/{print "entry at " open " open streams: " $0}' "/proc/$last_pid/status"
  wait "$load"
done
