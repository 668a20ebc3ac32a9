#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
program=target/review-2/case-$(basename "$folder")
[ -x "$program" ] && [ -x target/chervilturn-platform-node ] || exit 2
files=$(mktemp -d)
timeout -k 2 115 "$program" "$files" "$folder/record.txt"
result=$?
rm -rf "$files"
[ "$result" -le 1 ] || result=2
exit "$result"
