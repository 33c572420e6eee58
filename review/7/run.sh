#!/bin/sh
# Engines stop in the middle of an event and end their answer with the last chunk. TROUBLE=0: all answers are whole.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/burdockhold-router ] && [ -x target/review-2/torn ] || exit 2
folder=$(mktemp -d) || exit 2
target/review-2/torn review/7/record.txt "$folder"
result=$?
rm -rf "$folder"
[ "$result" -le 1 ] || result=2
exit "$result"
