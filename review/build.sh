#!/usr/bin/env bash
# Builds the scenarios with their stand-ins, in target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++20 -O2 -Wall -pthread)
objects=()
jobs=()
wait_for_jobs() {
  for job in "${jobs[@]}"; do wait "$job"; done
  jobs=()
}
for name in Record Store Worker Proxy Deployment; do
  g++ "${flags[@]}" -c "review/standins/$name.cpp" -o "target/review/$name.o" &
  jobs+=($!)
  objects+=("target/review/$name.o")
done
wait_for_jobs
for case in review/[0-9]; do
  [ -e "$case/scenario.cpp" ] || continue
  g++ "${flags[@]}" "$case/scenario.cpp" "${objects[@]}" -lcpp-httplib \
    -o "target/review/case-$(basename "$case")" &
  jobs+=($!)
done
wait_for_jobs
