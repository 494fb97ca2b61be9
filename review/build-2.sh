#!/usr/bin/env bash
# Builds the stand-ins and tests of the second review into target/review-2. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --release --offline --locked --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2
