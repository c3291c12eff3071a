#!/usr/bin/env bash
# Builds the programs that the scripts of the cases 11 to 15 start besides the project's own: one for each case, which
# holds its stand-ins. Needs only packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/main.cpp; do
    [ -e "$source" ] || continue
    case_number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -o "target/review-3/case-$case_number" "$source" -pthread
done
