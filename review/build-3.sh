#!/usr/bin/env bash
# Builds what the scripts of the third review start beside the program of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -ldflags=-linkmode=external -o target/rig3 ./review/rig3
