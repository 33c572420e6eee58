#!/usr/bin/env bash
# Builds the programs of the review's cases into target/review. Run it from anywhere.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review
for source in review/[1-5]/*.cc; do
    program=target/review/$(basename "$source" .cc)
    ${CXX:-g++} -std=c++17 -O1 -Wall -Wextra -pthread -I. review/standins/standins.cc "$source" -o "$program"
    echo "review: built $program"
done
