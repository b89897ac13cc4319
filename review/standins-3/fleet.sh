# Shell functions that start a small deployment for a case: three entry
# processes with the command of the deploy file, the platform and the workers
# of one service. Sourced by the scripts; everything listens on 127.0.0.1. A
# script may set worker_names, worker_kinds and idle_machines, a number of
# machines that are off.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
entry=$root/target/verbenawell-entry
standins=$root/target/standins-3
work=$(mktemp -d)
record=$case_dir/record.txt
: > "$record"
declare -A worker_pids worker_ids worker_ports worker_kinds
entry_pids=()
other_pids=()

note() { echo "$(date +%s%3N) script $*" >> "$record"; }

cannot_run() {
  note "cannot run: $*"
  exit 2
}

# Prints free ports. Each is free when it is chosen; they lie below the range
# from which the kernel takes the ports of outgoing connections.
free_ports() {
  local count=$1 port
  while [ "$count" -gt 0 ]; do
    port=$((12000 + RANDOM % 18000))
    if ! (exec 3<> "/dev/tcp/127.0.0.1/$port") 2> /dev/null &&
      [ ! -e "$work/port-$port" ]; then
      : > "$work/port-$port"
      echo "$port"
      count=$((count - 1))
    fi
  done
}

end_all() {
  # Jobs of the shell that are killed are not reported.
  exec 2> /dev/null
  local pids=("${entry_pids[@]}" "${worker_pids[@]}" "${other_pids[@]}")
  kill -CONT "${pids[@]}" 2> /dev/null
  kill -KILL "${pids[@]}" 2> /dev/null
  wait 2> /dev/null
  rm -rf "$work"
}
trap end_all EXIT

# start_worker NAME SERVICE ID: starts a life of the worker on a machine.
start_worker() {
  local name=$1 service=$2 id=$3
  worker_ids[$name]=$id
  "$standins/worker" --port "${worker_ports[$name]}" \
    --machine_port "$machine_port" --id "$id" --machine "m-$name" \
    --service "$service" --kind "${worker_kinds[$name]:-a}" \
    --rack "r${name: -1}" --record "$record" \
    > "$work/worker-$id.log" 2>&1 &
  worker_pids[$name]=$!
  note "worker $id starts on machine m-$name"
}

# The settings of entry process N, as DEPLOY.md shows them.
settings() {
  local n=$1
  cat << END
{"node": "frontend-$n", "role": "entry", "machineClass": "frontend",
 "serves": ["frontend"], "ipAddress": "127.0.0.1", "zone": "z1",
 "region": "r", "zones": {"z1": "r"},
 "listen": {"frontend": "127.0.0.1:${front_ports[$n]}",
  "readiness": "127.0.0.1:${ready_ports[$n]}",
  "control": "127.0.0.1:${control_ports[$n]}"},
 "internalPortRange": [${peer_ports[$n]}, ${peer_ports[$n]}],
 "seeds": [], "bootstrap": true, "countsTowardTolerance": false,
 "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260,
  "fileDescriptors": 4100, "linkMbps": 1000.0, "diskMb": 0},
 "dataDirectory": null, "discovery": "platform", "entry": "virtual_ip",
 "heartbeatMs": 1500,
 "contracts": ["base", "drain", "config", "cost", "recover", "sched",
  "platform", "advice", "upkeep", "sharing"],
 "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
 "bounds": {"contactMs": 3000, "ackTimeoutMs": 4000, "drainMs": 2000,
  "graceS": 6, "maxHoldMs": 10000, "stopMs": 900, "gangTimeoutMs": 3000,
  "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14,
  "status_s": 120, "enforceFencing": false, "leaseMs": 3000},
 "orders": "call", "advice": "",
 "platform": {"address": "127.0.0.1:${store_ports[$n]}", "form": "log",
  "writesPerS": 600, "readsPerS": 2000, "parts": 24, "appendMs": 1.0,
  "ingressPerS": 20.0, "egressPerS": 80.0, "recordBytes": 262144,
  "requestBytes": 2097152, "keep_s": 300, "partitionMb": 200,
  "minTtlMs": 1000},
 "cloud": {"address": "127.0.0.1:$machine_port", "ratePerS": 64.0,
  "duties": [], "dutyPerS": 64.0}}
END
}

# start_entry N: starts entry process N with the command of the deploy file.
start_entry() {
  local n=$1 command
  command=$(sed -n 's/^run = "\(.*\)"/\1/p' "$root/deploy/system.toml")
  settings "$n" > "$work/settings-$n.json"
  # shellcheck disable=SC2086
  (cd "$root" && VERBENAWELL_SETTINGS=$work/settings-$n.json exec $command) \
    >> "$case_dir/entry-$n.log" 2>&1 &
  entry_pids[$n]=$!
  note "entry process $n starts"
}

# start_fleet CONFIG: platform, workers of the service "svc" and three entry
# processes; returns when all of these are ready.
start_fleet() {
  [ -x "$entry" ] && [ -x "$standins/worker" ] || cannot_run "not built"
  local n ports names=("${worker_names[@]:-}") count name
  [ -n "${names[0]}" ] || names=(w0 w1 w2 w3 w4 w5)
  count=${#names[@]}
  mapfile -t ports < <(free_ports $((16 + count)))
  machine_port=${ports[0]}
  store_ports=("${ports[@]:1:3}")
  front_ports=("${ports[@]:4:3}")
  ready_ports=("${ports[@]:7:3}")
  control_ports=("${ports[@]:10:3}")
  peer_ports=("${ports[@]:13:3}")
  echo "$1" > "$work/config.json"
  "$standins/platform" --machine_port "$machine_port" \
    --store_ports "$(IFS=,; echo "${store_ports[*]}")" \
    --idle_machines "${idle_machines:-0}" \
    --config "$work/config.json" > "$work/platform.log" 2>&1 &
  other_pids+=($!)
  sleep 0.3
  for ((n = 0; n < count; ++n)); do
    name=${names[$n]}
    worker_ports[$name]=${ports[16 + n]}
    start_worker "$name" svc "i-$name-1"
  done
  rm -f "$case_dir"/entry-*.log
  for n in 0 1 2; do start_entry "$n"; done
  for n in 0 1 2; do
    local turns=0
    until curl -sf -o /dev/null "http://127.0.0.1:${ready_ports[$n]}/api/readiness"; do
      sleep 0.1
      turns=$((turns + 1))
      [ "$turns" -lt 100 ] || cannot_run "entry process $n is not ready"
    done
  done
  sleep 3
}

# call METHOD N PATH [BODY]: a consumer's call; prints the status and the body.
call() {
  local method=$1 n=$2 path=$3 answer
  answer=$(curl -s -m 5 -X "$method" -H 'Host: host.example' \
    -H 'X-Deadline-Milliseconds: 3000' -H 'Content-Type: application/json' \
    ${4:+-d "$4"} -w ' %{http_code}' "http://127.0.0.1:${front_ports[$n]}$path")
  answer="${answer##* } ${answer% *}"
  note "consumer $method $path at $n: $answer"
  echo "$answer"
}

# Makes the life of a worker fail all that it runs, or ends that.
set_failing() {
  note "worker ${worker_ids[$1]} fails what it runs: $2"
  curl -s -m 2 -d "" -o /dev/null \
    "http://127.0.0.1:${worker_ports[$1]}/standin/failing?on=$2" ||
    cannot_run "worker $1 does not answer"
}

# The name of the worker where the newest start of a work item went.
worker_of() {
  local id name
  id=$(grep " start $1 run" "$record" | tail -1 | sed 's/.* worker \([^ ]*\) .*/\1/')
  for name in "${!worker_ids[@]}"; do
    [ "${worker_ids[$name]}" = "$id" ] && echo "$name"
  done
}
