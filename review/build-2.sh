#!/usr/bin/env bash
# Builds what the scripts of the second review start besides the project's own programs.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/rig ./review/_rig2
