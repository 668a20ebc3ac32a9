#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start beside the programs of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
for source in review/stand_ins-3/case_*.cpp; do
    g++ -std=c++20 -O2 "$source" review/stand_ins-3/harness.cpp -o "$out/$(basename "$source" .cpp)" -pthread
done
