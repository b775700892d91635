#!/usr/bin/env bash
# Builds every stand-in that the cases of the second review start: one program for each case, with
# the standard library only. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
    source=review/$number/case.rs
    [ -e "$source" ] || continue
    rustc --edition 2024 -O -o "target/review-2/case-$number" "$source"
done
