#!/bin/sh
# Regenerates peerv1 from the protocol file. Needs protoc; the output is committed.
set -eu
cd "$(dirname "$0")"
PATH="$PATH:$(go env GOPATH)/bin"
protoc -I proto \
  --go_out=../.. --go_opt=module=github.com/primrosewell/primrosewell \
  --connect-go_out=../.. --connect-go_opt=module=github.com/primrosewell/primrosewell \
  primrosewell/peer/v1/peer.proto
