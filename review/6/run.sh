#!/bin/sh
# A request that crashes each engine after its first event, sent again each two seconds.
# TROUBLE=0: the engines serve it. CRASH=early: they crash before the first event.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/burdockhold-router ] && [ -x target/review-2/poison ] || exit 2
folder=$(mktemp -d) || exit 2
target/review-2/poison review/6/record.txt "$folder"
result=$?
rm -rf "$folder"
[ "$result" -le 1 ] || result=2
exit "$result"
