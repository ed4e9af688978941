#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
export STAIRSHED=$root/target/release/stairshed RECORD=$here/record.txt
if [ ! -x "$STAIRSHED" ] || [ ! -x "$root/target/review-2/review-2" ]; then
    echo "build first: the command of deploy/balancer.toml, then review/build-2.sh"
    exit 2
fi
WORK_FOLDER=$(mktemp -d) || exit 2
export WORK_FOLDER
"$root/target/review-2/review-2" busy &
run=$!
trap 'kill "$run" 2>/dev/null' INT TERM
trap 'rm -rf "$WORK_FOLDER"' EXIT
wait "$run"
