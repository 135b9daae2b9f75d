#!/usr/bin/env bash
# Shows the main features with stand-ins: publishes a configuration, streams a completion from an adapter
# that is not loaded yet, makes a booking once, and stops all processes, on Ctrl-C too.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --quiet --workspace
source scripts/fleet.sh

config=config/vitale.ini
start_platform
start_upstreams "$config"
start_controller 1 palermo
start_controller 2 catania
start_entry 1 palermo
start_entry 2 catania
wait_for "$ctl" show --key-value 127.0.0.1:17900
"$ctl" publish --key-value 127.0.0.1:17900 "$config"
ready() { "$ctl" call "127.0.0.1:1740$1" /readyz; }
wait_for ready 1
wait_for ready 2

export GENTIAN_KEY=demo-key-club-palermo
echo "== a streamed completion from an adapter that is not loaded yet, through entry 1"
time "$ctl" call 127.0.0.1:17001 /desk/v1/completions \
  '{"model":"flood-noto","prompt":"When is the sheet flooded?","max_tokens":6,"stream":true}'
echo "== the same adapter, now loaded, through entry 2"
time "$ctl" call 127.0.0.1:17002 /desk/v1/completions \
  '{"model":"flood-noto","prompt":"And the pebbling?","max_tokens":6,"stream":true}'
echo "== a booking, and the same booking through the other entry"
"$ctl" call 127.0.0.1:17001 /planner/bookings '{"club":"noto"}' --idempotency-key visit-1
"$ctl" call 127.0.0.1:17002 /planner/bookings '{"club":"noto"}' --idempotency-key visit-1
echo "== a short load test"
"$bin/gentian-load" config/demo-load.ini
echo "== status"
"$ctl" status 127.0.0.1:17201 127.0.0.1:17202 127.0.0.1:17401 127.0.0.1:17402
echo "logs: $run"
