#!/bin/sh
# Builds what the scripts of the second review start, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --bin basaltarchd --bin basaltarch-standin
cargo build --release --locked --offline --manifest-path review/harness-2/Cargo.toml \
  --target-dir target/review-2
