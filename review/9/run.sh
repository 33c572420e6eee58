#!/bin/sh
# A software version that turns bad 9 s after the order of a roll-out of 12 s. TROUBLE=0: it stays good.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/burdockhold-router ] && [ -x target/review-2/rollout ] || exit 2
folder=$(mktemp -d) || exit 2
target/review-2/rollout review/9/record.txt "$folder"
result=$?
rm -rf "$folder"
[ "$result" -le 1 ] || result=2
exit "$result"
