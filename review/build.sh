#!/bin/sh
# Builds the stand-ins that the scripts start, into target/, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
CGO_ENABLED=1 go build -o target/review/rig ./review/rig
