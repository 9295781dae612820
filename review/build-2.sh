#!/bin/sh
# Builds the stand-ins and the player of the cases 4 to 8, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -tags=review -o target/review-2 ./review/harness-2
