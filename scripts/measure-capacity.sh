#!/usr/bin/env bash
# Measures the costs for docs/CAPACITY.md: processor time per thread, memory, datagram bytes and calls of
# the key-value service, for several numbers of entries, several loads and a large configuration.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --quiet --release --workspace
bin=target/release
source scripts/fleet.sh
span=6 # seconds of each sample

# entry_at N: starts entry N with ports from a separate range, which has room for more entries
entry_at() {
  local n=$1
  printf '[process]\nvm = entry-%d\ndomain = palermo\npeer_address = 127.0.0.1:%d\nadmin_address = 127.0.0.1:%d\nkey_value_address = 127.0.0.1:17900\ncluster_key = %s\n[entry]\nlisten = 127.0.0.1:%d\n' \
    "$n" $((21000 + n)) $((22000 + n)) "$key" $((23000 + n)) >"$run/entry-$n.ini"
  start "entry-$n" "$bin/gentian-entry" --settings "$run/entry-$n.ini"
}
ticks() { # PID THREAD: prints the CPU time in clock ticks of the threads with this name
  cat /proc/"$1"/task/*/stat 2>/dev/null | awk -v name="($2)" '$2 == name {sum += $14 + $15} END {print sum + 0}'
}
number() { # ADDRESS FIELD: prints a numeric field of a status page
  "$ctl" status "$1" | sed -n "s/.*\"$2\":\([0-9]*\).*/\1/p"
}
calls() { "$ctl" call 127.0.0.1:17900 /control/counts | sed -n 's/.*"calls":\([0-9]*\).*/\1/p'; }
rss() { awk '/^VmRSS/{print $2}' "/proc/$1/status"; }

start_platform --model-time 100ms
start engine "$bin/gentian-standin" engine --address 127.0.0.1:18301 --store 127.0.0.1:17902 \
  --slots 600 --fresh-slots 600 --first-token 30ms --token-interval 32ms
start_controller 1 palermo
controller=$last_pid
wait_for "$ctl" publish --key-value 127.0.0.1:17900 config/bench.ini

# sample LABEL ENTRY_PID ENTRY_ADMIN: prints rates measured over $span seconds; clock ticks per second are
# printed as percent of a core, which assumes 100 ticks per second
sample() {
  local c0 d0 k0 b0 s0 e0 cc0
  c0=$(ticks "$2" control) d0=$(ticks "$2" datagrams) b0=$(number "$3" datagram_bytes_sent)
  s0=$(number "$3" datagram_bytes_received) k0=$(calls) cc0=$(ticks "$controller" control)
  e0=$(number 127.0.0.1:17201 datagram_bytes_received)
  sleep "$span"
  printf '%-26s entry: control %5.2f%% datagrams %5.2f%% of a core, sent %6.0f B/s, received %6.0f B/s, %6d kB; holder: control %5.2f%%, received %7.0f B/s; key-value calls %5.1f/s\n' "$1" \
    "$(echo "($(ticks "$2" control) - $c0) / $span" | bc -l)" "$(echo "($(ticks "$2" datagrams) - $d0) / $span" | bc -l)" \
    "$(echo "($(number "$3" datagram_bytes_sent) - $b0) / $span" | bc -l)" \
    "$(echo "($(number "$3" datagram_bytes_received) - $s0) / $span" | bc -l)" "$(rss "$2")" \
    "$(echo "($(ticks "$controller" control) - $cc0) / $span" | bc -l)" \
    "$(echo "($(number 127.0.0.1:17201 datagram_bytes_received) - $e0) / $span" | bc -l)" \
    "$(echo "($(calls) - $k0) / $span" | bc -l)"
}

entry_at 1
first=$last_pid
ready() { "$ctl" call 127.0.0.1:$((22000 + $1)) /readyz; }
wait_for ready 1
sample "1 entry, idle" "$first" 127.0.0.1:22001
for rate in ${rates:-20 80 160}; do
  printf '[load]\ntargets = 127.0.0.1:23001\nspan = %ss\n[flow load]\nkey = demo-key-bench\npath = /bench/v1/completions\nmodels = bench-model\nmax_tokens = 8\nrate = %s\n' $((span + 4)) "$rate" >"$run/load.ini"
  "$bin/gentian-load" "$run/load.ini" >"$run/load.out" &
  load=$!
  sleep 2
  sample "1 entry, $rate calls/s" "$first" 127.0.0.1:22001
  wait "$load"
done
for count in ${counts:-9 27 81}; do
  for ((n = 2; n <= count; n++)); do
    [ -e "$run/entry-$n.ini" ] || entry_at "$n"
  done
  wait_for ready "$count"
  sample "$count entries, idle" "$first" 127.0.0.1:22001
done

echo "== large configuration: 330 models, 2,800 adapters, 300 organisations, 3,100 upstreams"
scripts/make-config.sh 330 2800 300 3100 >"$run/large.ini"
wc -c <"$run/large.ini" | xargs echo "bytes:"
echo "check:"; time "$ctl" check "$run/large.ini"
echo "publish:"; time "$ctl" publish --key-value 127.0.0.1:17900 "$run/large.ini"
in_force() { [ "$(number "127.0.0.1:$((22000 + $1))" config_version)" = "$2" ]; }
begin=$(date +%s.%N)
for ((n = 1; n <= 81; n++)); do wait_for in_force "$n" 2; done
echo "in force at 81 entries $(echo "$(date +%s.%N) - $begin" | bc) s after publish returned"
awk '{ if ($0 == "[organisation organisation-007]") hit = 1; if (hit && /^rate/) { $0 = "rate = 3001"; hit = 0 } print }' "$run/large.ini" >"$run/small-change.ini"
begin=$(date +%s.%N)
"$ctl" publish --key-value 127.0.0.1:17900 "$run/small-change.ini"
for ((n = 1; n <= 81; n++)); do wait_for in_force "$n" 3; done
echo "one changed rate in force at 81 entries $(echo "$(date +%s.%N) - $begin" | bc) s after publish began"
sample "81 entries, large, idle" "$first" 127.0.0.1:22001
echo "controller memory: $(rss "$controller") kB"
