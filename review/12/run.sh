#!/bin/sh
# Case 12: without fencing, holders of a duty take turns within lease_ms. About 14 s.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/burdockhold-router ] && [ -x target/review-3/turns ] || exit 2
folder=$(mktemp -d) || exit 2
timeout 100 target/review-3/turns target/burdockhold-router "$folder/record" "${TROUBLE:-1}"
result=$?
cp "$folder/record" review/12/record.txt 2>/dev/null
rm -rf "$folder"
[ "$result" = 0 ] || [ "$result" = 1 ] || result=2
exit $result
