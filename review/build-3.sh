#!/usr/bin/env bash
# Builds the stand-in that the scripts of the third review start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o bin/standin3 ./review/standin3
