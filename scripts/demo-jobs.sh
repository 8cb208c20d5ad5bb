#!/usr/bin/env bash
# Runs the scheduler's path on this machine: a stand-in of the users' platform with
# six workers, three entries and callers with jobs of each kind, each its own
# process. Meanwhile the store is away, an entry is killed, another is stopped, and
# a wave of maintenance is asked for. The last line is counted by the callers, the
# workers and the instances, not by the entries.
set -euo pipefail

bin=$(cd "$(dirname "$0")/../bin" && pwd)
port=${DEMO_JOBS_PORT:-23000}
work=$(mktemp -d)
declare -A pid

cleanup() {
  trap - EXIT INT TERM
  for id in "${pid[@]}"; do kill -KILL "$id" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT
trap 'exit 130' INT TERM

say() { echo "demo: $*" >&2; }

# start NAME COMMAND... runs a command in the background.
start() {
  local name=$1
  shift
  "$@" >>"$work/$name.out" 2>>"$work/$name.log" &
  pid[$name]=$!
}

start_entry() { LEMONSTREAM_SETTINGS="$work/entry-$1.conf" start "entry$1" "$bin/lemonsched"; }

# until_ok TEXT COMMAND... waits until the command succeeds.
until_ok() {
  local what=$1
  shift
  for _ in $(seq 600); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  say "gave up waiting for $what"
  tail -n 5 "$work"/*.out >&2
  exit 1
}

ready() { curl -sf "http://127.0.0.1:$((port + 3 * $1 + 1))/ready"; }
control() { curl -sf -X POST "http://$store/control/$1"; }
no_instance_left() { curl -sf "http://$store/control/verdict" | grep -q '"wave_left":null'; }

say "starting the platform and three entries"
start site "$bin/lemonstandin" site --dir "$work" --entries 3 --port "$port"
until_ok "the site" test -s "$work/site.json"
store=$(sed 's/.*"store":"\([^"]*\)".*/\1/' "$work/site.json")
for n in 0 1 2; do start_entry "$n"; done
for n in 0 1 2; do until_ok "entry $n" ready "$n"; done

say "callers hand in 100 jobs"
"$bin/lemonstandin" jobs --dir "$work" --count 100 >"$work/counts" 2>"$work/callers.log" &
callers=$!
pid[callers]=$callers
sleep 1
say "the store is away for 1.5 s"
control "away?ms=1500"
sleep 2.5
say "a wave over all instances, two at a time"
control wave
say "an entry is killed and started again"
kill -KILL "${pid[entry0]}"
wait "${pid[entry0]}" 2>/dev/null || true
start_entry 0
sleep 2
say "another is stopped in order and started again"
kill -TERM "${pid[entry1]}"
wait "${pid[entry1]}" 2>/dev/null || true
start_entry 1
wait "$callers"
until_ok "the end of the wave" no_instance_left
cat "$work/counts"
grep -q 'lost=0 doubled=0 cut=0 wrong=0$' "$work/counts"
