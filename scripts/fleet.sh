# Functions that start a small fleet on loopback; sourced by other scripts.
# Processes are tracked by process id. All are stopped and waited for when the script exits or is
# interrupted.

bin=${bin:-target/debug}
run=${run:-$(mktemp -d)}
key='a cluster key for demonstrations'
ctl=$bin/gentian-ctl
pids=()
trap 'stop_all; exit 130' INT TERM
trap stop_all EXIT

# start NAME COMMAND...: starts a process with its log in $run/NAME.log
start() {
  local name=$1
  shift
  "$@" >"$run/$name.log" 2>&1 &
  pids+=($!)
  last_pid=$!
}

# stop_all: stops the processes in the reverse order of their start and waits for all
stop_all() {
  trap - EXIT INT TERM
  local i
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
    kill -TERM "${pids[i]}" 2>/dev/null || true
  done
  for i in "${pids[@]}"; do
    wait "$i" 2>/dev/null || true
  done
}

# process_settings VM DOMAIN PEER_PORT ADMIN_PORT: prints the section [process] of a settings file
process_settings() {
  printf '[process]\nvm = %s\ndomain = %s\npeer_address = 127.0.0.1:%s\nadmin_address = 127.0.0.1:%s\n' "$@"
  printf 'key_value_address = 127.0.0.1:17900\nvm_list_address = 127.0.0.1:17901\ncluster_key = %s\n' "$key"
}

# start_platform OPTION...: starts the stand-ins of the key-value service, the list of VMs and the weight
# store; the options go to the weight store
start_platform() {
  start key-value "$bin/gentian-standin" key-value --address 127.0.0.1:17900
  start vm-list "$bin/gentian-standin" vm-list --address 127.0.0.1:17901
  start weight-store "$bin/gentian-standin" weight-store --address 127.0.0.1:17902 "$@"
}

# start_upstreams CONFIG OPTION...: starts a stand-in for each upstream of a configuration; the options go
# to the engines
start_upstreams() {
  local config=$1 name kind address slots
  shift
  while read -r name kind address slots; do
    if [ "$kind" = engine ]; then
      start "$name" "$bin/gentian-standin" engine --address "$address" --store 127.0.0.1:17902 \
        --slots "$slots" "$@"
    else
      start "$name" "$bin/gentian-standin" service --address "$address"
    fi
  done < <(awk '/^\[upstream /{n=$2; sub(/]/,"",n)} /^kind = /{k=$3} /^address = /{a=$3}
    /^slots = /{if (n) print n, k, a, $3; n=""}' "$config")
}

# start_controller N DOMAIN, start_entry N DOMAIN: write the settings of process N and start it
start_controller() {
  { process_settings "control-$1" "$2" "1710$1" "1720$1"; printf '[controller]\n'; } >"$run/controller-$1.ini"
  start "controller-$1" "$bin/gentian-controller" --settings "$run/controller-$1.ini"
}
start_entry() {
  { process_settings "entry-$1" "$2" "1730$1" "1740$1"; printf '[entry]\nlisten = 127.0.0.1:1700%s\n' "$1"; } >"$run/entry-$1.ini"
  start "entry-$1" "$bin/gentian-entry" --settings "$run/entry-$1.ini"
}

# wait_for COMMAND...: retries the command until it succeeds, for 20 s at most
wait_for() {
  local i
  for ((i = 0; i < 200; i++)); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.1
  done
  echo "timed out waiting for: $*" >&2
  return 1
}
