#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-harness ] && [ -x target/lavendercleat ] || { echo "build first: deploy/system.toml and review/build.sh" >&2; exit 2; }
exec target/review-harness cancel review/2/record.txt
