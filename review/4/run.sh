#!/usr/bin/env bash
# A job with many times is handed in when all of them are due. The platform ends each entry that takes more
# than its memory, and starts it again. TROUBLE=0 hands in the same job when the first of its times is due.
set -euo pipefail
case=$(cd "$(dirname "$0")" && pwd)
. "$case/../common-2.sh"

memory_mb=284
entries=3

begin "$entries" 8
config >"$work/config.json"
start_store "$work/config.json"
for n in 0 1 2 3; do start_worker "$n" r1-1 16000; done
for n in 4 5 6 7; do start_worker "$n" r1-2 16000; done
for n in $(seq 0 $((entries - 1))); do start_entry "$n"; done
for n in $(seq 0 $((entries - 1))); do until_ok "entry $n" ready "$n"; done
say "started"
sleep 1

trouble=()
if [ "${TROUBLE:-1}" != 0 ]; then trouble=(--late); fi
"$standin" clients --fronts "$(fronts "$entries")" --host "$host" --prefix "$prefix" --record "$record" \
  --workers "$work/worker-*.jsonl" --capacity 128000 --large 100 --repeat 10000 --work 100 --cpu 100 \
  "${trouble[@]}" --until 45s >"$work/verdict" 2>>"$work/clients.log" &
clients=$!
all_pids+=("$clients")

# resident_mb PID prints the memory of a process in MB, 0 where it has ended.
resident_mb() { awk '/^VmRSS/ {mb = int($2 / 1024)} END {print mb + 0}' "/proc/$1/status" 2>/dev/null || echo 0; }

ends=()
most=()
for n in $(seq 0 $((entries - 1))); do
  ends[n]=0
  most[n]=0
done
while kill -0 "$clients" 2>/dev/null; do
  for n in $(seq 0 $((entries - 1))); do
    used=$(resident_mb "${entry_pid[$n]}")
    if [ "$used" -gt "${most[n]}" ]; then most[n]=$used; fi
    if [ "$used" -gt "$memory_mb" ]; then
      kill -KILL "${entry_pid[$n]}" 2>/dev/null || true
      wait "${entry_pid[$n]}" 2>/dev/null || true
      ends[n]=$((ends[n] + 1))
      say "entry $n had $used MB, over its $memory_mb, and was ended: time ${ends[n]}"
      (sleep 0.5) || true
      start_entry "$n"
    fi
  done
  sleep 0.1
done
code=0
wait "$clients" || code=$?
machines=0
for n in $(seq 0 $((entries - 1))); do
  if [ "${ends[n]}" -ge 3 ]; then machines=$((machines + 1)); fi
done
say "ended for their memory: ${ends[*]} times; most memory: ${most[*]} MB"
if [ "$machines" -ge 2 ]; then code=1; fi
finish "$code"
