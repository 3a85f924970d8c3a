#!/usr/bin/env bash
# Plays the case; 1: the rule was broken, 0: it held, 2: it could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
for program in target/review-2/standin-2 target/release/bitternlatch-dispatch; do
    [ -x "$program" ] || { echo "could not run: $program has not been built" >&2; exit 2; }
done
exec target/review-2/standin-2 start-in-outage review/10
