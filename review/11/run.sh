#!/bin/sh
# Case 11: the store returns from a copy, and a key that is then taken away goes on opening routes. About 23 s.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/burdockhold-router ] && [ -x target/review-3/drill ] || exit 2
folder=$(mktemp -d) || exit 2
# timeout leads a process group of its own, in which all that the case starts stays.
timeout -k 5 100 target/review-3/drill target/burdockhold-router "$folder/record" "${TROUBLE:-1}" &
group=$!
finish() {
    driver=$(cat "/proc/$group/task/$group/children" 2> /dev/null)
    kill -s KILL -- "-$group" 2> /dev/null
    rm -rf "$folder" ${driver:+"/tmp/burdockhold-router-${driver%% *}-"*}
}
trap 'finish; exit 2' INT TERM
wait $group
result=$?
cp "$folder/record" review/11/record.txt 2>/dev/null
finish
[ "$result" = 0 ] || [ "$result" = 1 ] || result=2
exit $result
