#!/usr/bin/env bash
# Builds the project's programs that the cases start, and the review's own stand-ins, without a
# network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --bin basaltarchd --bin basaltarch-standin
cargo build --release --locked --offline --manifest-path review/harness/Cargo.toml \
  --target-dir target/review
