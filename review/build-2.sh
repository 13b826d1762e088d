#!/bin/bash
# Builds the stand-ins and the scripts' program of the second review. It needs only the compiler.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/review-2 review/harness-2/main.rs
