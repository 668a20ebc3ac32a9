#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review into target/review-2, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
output=target/review-2
mkdir -p "$output"
compile=(g++ -std=c++20 -O1 -Wall -Wextra -pthread -Ireview)
pids=()
for source in review/stand_ins-2/*.cpp; do
    "${compile[@]}" -c "$source" -o "$output/$(basename "$source" .cpp).o" &
    pids+=($!)
done
for number in 6 7 8 9 10; do
    if [ -f "review/$number/case.cpp" ]; then
        "${compile[@]}" -c "review/$number/case.cpp" -o "$output/case-$number.o" &
        pids+=($!)
    fi
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
for number in 6 7 8 9 10; do
    if [ -f "review/$number/case.cpp" ]; then
        "${compile[@]}" "$output/case-$number.o" "$output"/{backend,fleet,http_stream,store}.o -o "$output/case-$number"
    fi
done
