#!/bin/sh
# Builds the stand-ins of the scripts of the cases 6 to 10 into target/review-2/. Run it after the build of the deploy file;
# it needs only packages that the deploy file names, and no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 9 10; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-2/case-$number" "review/$number/main.cpp"
done
