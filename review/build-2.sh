#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2/. Run it after the build of the deploy file; it needs
# only packages that the deploy file names.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for name in lost_return lost_lapsed session_values quota_return; do
    g++ -std=c++20 -O1 -Wall -Wextra -I review/standin-2 "review/standin-2/$name.cpp" -o "target/review-2/$name" -lpthread
done
