#!/bin/sh
# Builds the stand-ins of the scripts in review/11 to review/15 into target/review-3.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
CXX=${CXX:-g++}
FLAGS="-std=c++17 -O1 -I. -Ireview/standins-3/shim -DBURDOCKHOLD_ROUTER=\"target/burdockhold-router\""
SUPPORT="testing/support_platform.cc testing/support_address.cc testing/soak_relay.cc \
    burdockhold/duty_lease.cc burdockhold/free_port.cc"
for name in turns relayed drill; do
    # shellcheck disable=SC2086
    $CXX $FLAGS -o target/review-3/$name review/standins-3/$name.cc $SUPPORT -lxxhash -lpthread
done
# Case 15 uses a stand-in that the second review built but gave no case.
$CXX -std=c++17 -O1 -pthread -I review/standins-2 -o target/review-3/moves review/standins-2/moves.cc
