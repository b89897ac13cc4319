#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 11 to 15 start, in target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/standins-3
for name in platform worker; do
  g++ -std=c++20 -O1 -pthread "review/standins-3/$name.cpp" \
    -o "target/standins-3/$name" -lcpp-httplib -lgflags -lssl -lcrypto &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
