#!/usr/bin/env bash
# A job with many work units can never be done: each of them fails. TROUBLE=0 hands in the same job with work
# units that succeed.
set -euo pipefail
case=$(cd "$(dirname "$0")" && pwd)
. "$case/../common-2.sh"

begin 3 8
config >"$work/config.json"
start_store "$work/config.json"
for n in 0 1 2 3; do start_worker "$n" r1-1 16000; done
for n in 4 5 6 7; do start_worker "$n" r1-2 16000; done
for n in 0 1 2; do start_entry "$n"; done
for n in 0 1 2; do until_ok "entry $n" ready "$n"; done
say "started"
sleep 1

trouble=()
if [ "${TROUBLE:-1}" != 0 ]; then trouble=(--fail); fi
code=0
"$standin" clients --fronts "$(fronts 3)" --host "$host" --prefix "$prefix" --record "$record" \
  --workers "$work/worker-*.jsonl" --capacity 128000 --large 10000 --work 8000 --cpu 10 "${trouble[@]}" \
  --until 45s >"$work/verdict" 2>>"$work/clients.log" || code=$?
finish "$code"
