#!/bin/sh
# Builds what the scripts of review/11 to review/15 start, beside the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review3
go build -ldflags=-linkmode=external -o target/review3/rig3 ./review/_rig3
