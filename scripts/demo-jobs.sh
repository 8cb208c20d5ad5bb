#!/usr/bin/env bash
# Runs the scheduler's path on this machine: a stand-in of the users' platform with
# six workers, three entries and callers with jobs of each kind, each its own
# process. Meanwhile the store is away, an entry is killed, another is stopped, and
# a wave of maintenance is asked for. The last line is counted by the callers, the
# workers and the instances, not by the entries.
set -euo pipefail

port=${DEMO_JOBS_PORT:-23000}
. "$(dirname "$0")/processes.sh"

entry_pid=()
start_entry() {
  LEMONSTREAM_SETTINGS="$work/entry-$1.conf" start "entry$1" "$bin/lemonsched"
  entry_pid[$1]=$last
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
start callers "$bin/lemonstandin" jobs --dir "$work" --count 100
callers=$last
sleep 1
say "the store is away for 1.5 s"
control "away?ms=1500"
sleep 2.5
say "a wave over all instances, two at a time"
control wave
say "an entry is killed and started again"
kill -KILL "${entry_pid[0]}"
wait "${entry_pid[0]}" 2>/dev/null || true
start_entry 0
sleep 2
say "another is stopped in order and started again"
kill -TERM "${entry_pid[1]}"
wait "${entry_pid[1]}" 2>/dev/null || true
start_entry 1
wait "$callers"
until_ok "the end of the wave" no_instance_left
cat "$work/callers.out"
grep -q 'lost=0 doubled=0 cut=0 wrong=0$' "$work/callers.out"
