#!/bin/sh
# Builds the stand-ins of the scripts in review/1, review/2 and review/3 with the standard library only.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standin/Cargo.toml --target-dir target/review
