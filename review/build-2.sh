#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, after the build of deploy/balancer.toml: one program, from the standard
# library alone, with the compiler that builds stairshed. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
exec rustc --edition 2021 -O -o target/review-2/review-2 review/stand-2/main.rs
