#!/bin/sh
# Builds every stand-in that the cases start, without a network. Run it after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")"
exec cargo build --release --locked --offline --manifest-path standins/Cargo.toml --target-dir ../target/review
