#!/bin/sh
# Builds the stand-ins of the second review's scripts into target/review-2. Needs only g++.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.cc; do
    name=$(basename "$source" .cc)
    g++ -std=c++17 -O1 -Wall -Wextra -pthread -I review/standins-2 "$source" -o "target/review-2/$name"
done
