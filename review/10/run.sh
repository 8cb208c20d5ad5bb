#!/usr/bin/env bash
# Fourteen large jobs come at once. Do the entries keep within their memory?
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
# shellcheck source=../common-3.sh
. "$here/../common-3.sh"
play large-jobs-at-once 3 "${TROUBLE:-1}"
