#!/usr/bin/env bash
# Builds what the scripts of the review start, beside the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/rig ./review/_rig
