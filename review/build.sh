#!/bin/sh
# Builds the stand-ins of the scripts into target/review/. Needs g++ and nlohmann-json, which deploy/system.toml lists.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for main in review/[1-5]/main.cpp; do
    [ -e "$main" ] || continue
    number=$(basename "$(dirname "$main")")
    g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "target/review/case-$number" "$main"
done
