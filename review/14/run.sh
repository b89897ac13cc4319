#!/usr/bin/env bash
# One worker crashes and is back a second later. The work items that last and
# ran there must run again, since all other workers are nearly empty.
set -uo pipefail
case_dir=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
. "$case_dir/../standins-3/fleet.sh"

jobs=()
for n in 1 2 3 4 5 6 7 8; do jobs+=("5c0e7a21d94b36f$n"); done
start_fleet '{"version": 7, "routes": [{"name": "r-1", "host": "host.example",
 "pathPrefix": "/lasting/", "kind": "non_idempotent", "timeoutMs": 3000,
 "targetDurationMs": 2500, "priority": 0, "service": "svc", "maxAttempts": 4,
 "stretch": 2.2}], "services": [{"name": "svc", "healthPath": "/health",
 "connectionLimit": 64, "protocol": "h1", "tls": false,
 "enforcesCapacity": false, "standby": false}],
 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144}}'

for job in "${jobs[@]}"; do
  answer=$(call POST 0 "/lasting/$job" '{"specification": "lasts", "steps":
   [{"count": 1, "cpu": 400, "memoryRequestMb": 256, "estimatedMs": 900,
   "longRunning": true}]}')
  [ "${answer%% *}" = 200 ] || cannot_run "a job is not accepted"
done
sleep 10

name=$(worker_of "${jobs[0]}.0.0.0")
[ -n "$name" ] || cannot_run "no work item runs"
crashed=${worker_ids[$name]}
crashed_ms=$(date +%s%3N)
if [ "${TROUBLE:-1}" != 0 ]; then
  note "worker $crashed crashes"
  kill -KILL "${worker_pids[$name]}"
  wait "${worker_pids[$name]}" 2> /dev/null
  sleep 1
  start_worker "$name" svc "i-$name-2"
fi
# Longer than 6 s after the last run and 3 s more, and than any wait seen.
sleep 25

late=0
for job in "${jobs[@]}"; do
  starts=$(grep -c " start $job.0.0.0 run" "$record")
  last=$(grep " start $job.0.0.0 run" "$record" | tail -1)
  if [[ $last != *" worker $crashed "* ]]; then
    waited=$((${last%% *} - crashed_ms))
    note "work item $job.0.0.0 runs again $waited ms after the crash"
    [ "$waited" -le 9000 ] || late=$((late + 1))
  elif [ "${TROUBLE:-1}" = 0 ] && [ "$starts" = 1 ]; then
    note "work item $job.0.0.0 has run all the while"
  else
    note "work item $job.0.0.0 has not run since the crash"
    late=$((late + 1))
  fi
done
if [ "$late" != 0 ]; then
  note "broken: $late work items did not run for over 9 s after their last run"
  exit 1
fi
note "held"
