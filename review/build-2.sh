#!/usr/bin/env bash
# Builds what the cases of the second review start beside the deploy file's programs.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-standin2 ./review/standin2
