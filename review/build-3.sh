#!/bin/sh
# Builds the stand-ins of the third review: after the build of the deploy file, from the root of the repository.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standin-3/Cargo.toml --target-dir target/review-3
