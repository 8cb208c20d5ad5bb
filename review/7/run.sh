#!/usr/bin/env bash
# One large job that can never be done. Do jobs of its queue that are accepted afterwards run?
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
# shellcheck source=../common-3.sh
. "$here/../common-3.sh"
play large-job-never-done 3 "${TROUBLE:-1}"
