#!/usr/bin/env bash
# Regenerates the Go code of the schema; needs protoc on the PATH. The results are
# committed, so building and testing need no generator.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/protoc-gen-go" google.golang.org/protobuf/cmd/protoc-gen-go
protoc -I. --plugin="$bin/protoc-gen-go" --go_out=. --go_opt=module=github.com/lavendercleat/lavendercleat \
  schema/options.proto schema/config.proto schema/peer.proto schema/fabric.proto schema/ledger.proto
go build -o "$bin/protoc-gen-plain" ./internal/tools/protoc-gen-plain
protoc -I. --plugin="$bin/protoc-gen-plain" --plain_out=. --plain_opt=module=github.com/lavendercleat/lavendercleat \
  schema/caller.proto schema/load.proto schema/operator.proto schema/settings.proto
gofmt -w schema/*.go
