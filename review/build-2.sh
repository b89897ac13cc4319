#!/usr/bin/env bash
# Builds cases 6 to 10, with their stand-ins, in
# target/review-2/. The commands of the deploy file build the project's program.
set -euo pipefail
cd "$(dirname "$0")"
out=../target/review-2
mkdir -p "$out"
pids=()
for case in {6..10}/case.cpp; do
  [ -e "$case" ] || continue
  g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -o "$out/${case%%/*}" "$case" standins-2/*.cpp &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
