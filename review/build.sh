#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -buildvcs=false -o target/reviewstand ./review/standin
