#!/usr/bin/env bash
# Builds the program of each case, with its stand-ins, into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread -I.)
pids=()
for source in common/*.cc [1-5]/case.cc; do
  [ -e "$source" ] || continue
  name=${source//\//-}
  g++ "${flags[@]}" -c "$source" -o "bin/${name%.cc}.o" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
for case in [1-5]/case.cc; do
  number=${case%%/*}
  g++ -pthread -o "bin/case-$number" "bin/$number-case.o" bin/common-*.o -lboost_json
done
