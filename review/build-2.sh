#!/bin/sh
# Builds the stand-ins that the scripts in review/4 to review/8 start, from the root of the repository.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2
