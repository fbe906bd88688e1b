#!/bin/sh
# Builds the stand-in of the third review. It has no dependencies, so no network is needed.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --offline --locked \
    --manifest-path review/standin-3/Cargo.toml --target-dir target/review-3
