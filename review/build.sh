#!/bin/sh
# Builds the stand-ins of the scripts: the project's store, and the clients and workers of `review/harness`. Run it after
# the build of the deploy file. It needs no network.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --bin fulmartrestle-standin-log
mkdir -p target/review
rustc --edition 2024 -O -o target/review/harness review/harness/main.rs
