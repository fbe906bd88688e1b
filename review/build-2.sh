#!/usr/bin/env bash
# Builds the stand-ins of review/6 to review/10 into target/review-2. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standin review/standin-2/main.rs
