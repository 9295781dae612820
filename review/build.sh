#!/usr/bin/env bash
# Builds the stand-ins of the cases. The project's programs are built as the deploy file says.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags=review -o target/review-harness ./review/harness
