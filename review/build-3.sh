#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15: each one holds its stand-ins. They need only the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/case.rs; do
  number=$(basename "$(dirname "$source")")
  rustc --edition 2021 -O -A warnings --crate-name "case_$number" -o "target/review-3/case-$number" "$source"
done
