#!/bin/sh
# Runs the case; see claim.txt. Needs the build of deploy/system.toml and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
standin=target/review-2/release/review-standin-2
[ -x target/release/hollyreach ] && [ -x "$standin" ] || exit 2
exec "$standin" planned-stop review/6/record.txt
