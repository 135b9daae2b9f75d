#!/usr/bin/env bash
# Measures cold starts, fairness and idle memory at the fleet sizes of the given configuration:
# measure-cold.sh vitale|tbilvardi.
# Runs six entries and three controllers. Normal load starts with empty engines (25 s, flows -cold) and
# continues (20 s, flows -warm), and then goes on while one organisation also sends five times its rate
# (20 s, normal flows -flood, added flow FLOOD).
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --quiet --release --workspace
bin=target/release
source scripts/fleet.sh
name=${1:-vitale}
config=config/$name.ini

case $name in
  vitale)
    interval=667ms desk=/desk book=/planner flood=lega-sicula flood_rate=250
    domains=(palermo catania agrigento)
    flows=(vitale-office:12 lega-sicula:10 club-palermo:3 club-catania:3 crew-chiefs:2)
    ;;
  tbilvardi)
    interval=334ms desk=/advisor book=/orders flood=wedding-planners flood_rate=250
    domains=(mtskheta gori rustavi kaspi)
    flows=(head-office:14 wedding-planners:10 shops-east:4 shops-west:4 church-halls:2)
    ;;
  *) echo "usage: $0 vitale|tbilvardi" >&2; exit 2 ;;
esac

start_platform --load-interval "$interval" --model-time 2s
start_upstreams "$config"
for i in 1 2 3; do start_controller $i "${domains[$((i % ${#domains[@]}))]}"; done
for i in 1 2 3 4 5 6; do start_entry $i "${domains[$((i % ${#domains[@]}))]}"; done
wait_for "$ctl" publish --key-value 127.0.0.1:17900 "$config"
ready() { "$ctl" call "127.0.0.1:1740$1" /readyz; }
for i in 1 2 3 4 5 6; do wait_for ready $i; done

adapters=$(sed -n 's/^\[adapter \(.*\)\]/\1/p' "$config" | paste -sd, | sed 's/,/, /g')
{
  printf '[load]\ntargets = 127.0.0.1:17001, 127.0.0.1:17002, 127.0.0.1:17003, 127.0.0.1:17004, 127.0.0.1:17005, 127.0.0.1:17006\nspan = 65s\nseed = 11\n'
  for phase in cold:0s:25s warm:25s:45s flood:45s:65s; do
    IFS=: read -r label begin end <<<"$phase"
    for flow in "${flows[@]}"; do
      printf '[flow %s-%s]\nkey = demo-key-%s\npath = %s/v1/completions\nmodels = %s\nmax_tokens = 20\nrate = %s\nstart = %s\nend = %s\n' \
        "${flow%:*}" "$label" "${flow%:*}" "$desk" "$adapters" "${flow#*:}" "$begin" "$end"
    done
  done
  printf '[flow bookings]\nkey = demo-key-%s\npath = %s/visits\nrate = 10\n' "${flows[4]%:*}" "$book"
  printf '[flow FLOOD]\nkey = demo-key-%s\npath = %s/v1/completions\nmodels = %s\nmax_tokens = 40\nrate = %s\nstart = 45s\n' \
    "$flood" "$desk" "$adapters" "$flood_rate"
} >"$run/load.ini"
"$bin/gentian-load" "$run/load.ini"

engines=$(sed -n '/kind = engine/{n;s/address = //p}' "$config")
for event in load unload overcommitted overloaded saw-key run; do
  count=0
  for engine in $engines; do
    n=$("$ctl" call "$engine" /control/journal | { grep -o "\"event\":\"$event\"" || true; } | wc -l)
    count=$((count + n))
  done
  echo "engines' journals: $count $event"
done
used=$("$ctl" status $engines | sed -n 's/.*"memory_used":\([0-9]*\).*/\1/p' | awk '{s += $1} END {printf "%.0f", s / 2^30}')
echo "memory held at the end: $used GiB of $(($(echo "$engines" | wc -l) * 80)) GiB"
