#!/usr/bin/env bash
# One of eight workers fails what it runs for some seconds, then is sound again.
# The work items that last and ran there must run again: it has room for them.
set -uo pipefail
case_dir=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
worker_names=(w0 w1 w2 w3 w4 w5 w6 w7)
. "$case_dir/../standins-3/fleet.sh"

jobs=()
for n in {10..25}; do jobs+=("5c0e7a21d94b36$n"); done
start_fleet '{"version": 7, "routes": [{"name": "r-1", "host": "host.example",
 "pathPrefix": "/lasting/", "kind": "non_idempotent", "timeoutMs": 3000,
 "targetDurationMs": 2500, "priority": 0, "service": "svc", "maxAttempts": 4,
 "stretch": 2.2}], "services": [{"name": "svc", "healthPath": "/health",
 "connectionLimit": 64, "protocol": "h1", "tls": false,
 "enforcesCapacity": false, "standby": false}],
 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144}}'

# A worker has room for two of the work items.
for job in "${jobs[@]}"; do
  answer=$(call POST 0 "/lasting/$job" '{"specification": "lasts", "steps":
   [{"count": 1, "cpu": 1900, "memoryRequestMb": 256, "estimatedMs": 900,
   "longRunning": true}]}')
  [ "${answer%% *}" = 200 ] || cannot_run "a job is not accepted"
done
sleep 8

name=$(worker_of "${jobs[0]}.0.0.0")
[ -n "$name" ] || cannot_run "no work item runs"
if [ "${TROUBLE:-1}" != 0 ]; then
  set_failing "$name" yes
  sleep 6
  set_failing "$name" no
else
  sleep 6
fi
# 6 s from the last run, 4 calm seconds and the 3 s that the rule gives, twice.
sleep 26

# Without an end, the newest run is at work.
stranded=0
for job in "${jobs[@]}"; do
  last=$(grep " $job.0.0.0 run" "$record" | grep " start \| end " | tail -1)
  if [[ $last == *" end "* ]]; then
    note "work item $job.0.0.0 has not run for" \
      "$(($(date +%s%3N) - ${last%% *})) ms"
    stranded=$((stranded + 1))
  fi
done
if [ "$stranded" != 0 ]; then
  note "broken: $stranded work items do not run; worker ${worker_ids[$name]} is" \
    "sound again and empty"
  exit 1
fi
note "held"
