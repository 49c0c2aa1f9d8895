#!/bin/sh
# Builds what the scripts of the second review start beside the gateway: one program with the stand-ins
# of the platform, the endpoints and the clients.
set -eu
cd "$(dirname "$0")/.."
CGO_ENABLED=1 go build -o target/rig2 ./review/rig2
