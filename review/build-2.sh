#!/usr/bin/env bash
# Builds the cases of the second review, with their stand-ins, into
# target/review-2. Needs nothing beyond what the programs' build needs.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for n in 4 5 6 7 8; do
    [ -f "review/$n/case.cc" ] || continue
    g++ -std=c++17 -O1 -Wall -Wextra -I review/lib2 \
        -o "target/review-2/case-$n" "review/$n/case.cc" -ljansson -pthread
done
