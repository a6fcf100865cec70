#!/bin/sh
# Needs the build of deploy/system.toml and review/build.sh. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
program=../../target/review/release/drain_cut
[ -x "$program" ] || { echo "run review/build.sh first" >&2; exit 2; }
exec "$program" .
