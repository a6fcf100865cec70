#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/snipeway-platform ] && [ -x target/review-2/release/review-late-copy ] || exit 2
exec timeout --kill-after=5 110 target/review-2/release/review-late-copy "$PWD" "$PWD/review/5"
