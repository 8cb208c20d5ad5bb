#!/usr/bin/env bash
# Measures what control costs at rest: entries as real processes in front of a
# stand-in platform that lists instances which do not exist. It prints a line
# for each size; docs/CAPACITY.md works the slopes out.
set -euo pipefail

bin=$(cd "$(dirname "$0")/../bin" && pwd)
base=${CAPACITY_PORT:-23000}
seconds=${CAPACITY_SECONDS:-15}
work=$(mktemp -d)
pids=()

stop_all() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  pids=()
}
cleanup() {
  trap - EXIT INT TERM
  stop_all
  rm -rf "$work"
}
trap cleanup EXIT
trap 'exit 130' INT TERM

"$bin/lemonctl" keys "$work" >/dev/null

metric() { curl -fs "127.0.0.1:$((base + 100 + $1))/metrics" | sed -n "s/^lemonstream_$2 //p"; }
# ticks N prints the processor time of entry N in hundredths of a second.
ticks() { awk '{print $14 + $15}' "/proc/${entry_pid[$1]}/stat"; }
field() { sed -n "s/^ *\"$1\": \"\\{0,1\\}\\([^\",]*\\)\"\\{0,1\\},\\{0,1\\}\$/\\1/p" | head -n 1; }

# window NAME ENTRIES INSTANCES POOLS measures for a while.
window() {
  local name=$1 entries=$2 instances=$3 pools=$4 n
  local peer0=() plat0=() cpu0=()
  for n in $(seq "$entries"); do
    peer0[n]=$(metric "$n" peer_sent_bytes)
    plat0[n]=$(metric "$n" platform_bytes)
    cpu0[n]=$(ticks "$n")
  done
  local counts0 counts1
  counts0=$(curl -fs "127.0.0.1:$base/standin/counts")
  sleep "$seconds"
  counts1=$(curl -fs "127.0.0.1:$base/standin/counts")
  local peer=0 plat=0 cpu=0 rss=0
  for n in $(seq "$entries"); do
    peer=$((peer + $(metric "$n" peer_sent_bytes) - peer0[n]))
    plat=$((plat + $(metric "$n" platform_bytes) - plat0[n]))
    cpu=$((cpu + $(ticks "$n") - cpu0[n]))
    rss=$((rss + $(awk '/^VmRSS/ {print $2}' "/proc/${entry_pid[$n]}/status")))
  done
  echo "$entries $instances $pools $peer $plat $cpu $rss $seconds $counts0 $counts1 $name" | awk '{
    split($9, a, "="); split($10, b, "="); split($11, c, "="); split($12, d, "=");
    printf "measure=control-%s entries=%d instances=%d pools=%d peer_sent_Bps=%.0f platform_Bps=%.0f cpu_core_percent=%.2f rss_MB=%.1f table_writes_ps=%.2f table_reads_ps=%.2f\n",
      $13, $1, $2, $3, $4/$1/$8, $5/$1/$8, $6/$1/$8, $7/$1/1024, (c[2]-a[2])/$8, (d[2]-b[2])/$8 }'
}

# measure ENTRIES INSTANCES POOLS
measure() {
  local entries=$1 instances=$2 pools=$3 n seeds="" operators="" config="$work/config.ini"
  "$bin/lemonstandin" platform --listen "127.0.0.1:$base" --phantoms "$instances" --pools "$pools" &
  pids+=("$!")
  for n in $(seq "$entries"); do
    seeds+="${seeds:+,}127.0.0.1:$((base + 200 + n))"
    operators+="${operators:+,}127.0.0.1:$((base + 100 + n))"
  done
  entry_pid=()
  for n in $(seq "$entries"); do
    cat >"$work/$n.ini" <<INI
[entry]
id = entry$n
zone = zone-1
platform = 127.0.0.1:$base
[listen]
callers = 127.0.0.1:$((base + 300 + n))
operators = 127.0.0.1:$((base + 100 + n))
peers = 127.0.0.1:$((base + 200 + n))
[peers]
seeds = $seeds
certificate = $work/certificate.pem
key = $work/key.pem
authority = $work/authority.pem
INI
    "$bin/lemonstreamd" run --settings "$work/$n.ini" 2>"$work/$n.log" &
    entry_pid[n]=$!
    pids+=("$!")
  done
  : >"$config"
  for n in $(seq 0 $((pools - 1))); do
    printf '[service s%02d]\npool = pool-%02d\nmin_available = 1\n' "$n" "$n" >>"$config"
  done
  for n in $(seq 48); do printf '[team t%02d]\nrate = 100\n' "$n" >>"$config"; done
  for _ in $(seq 600); do
    if [ "$(metric 1 instances 2>/dev/null)" = "$instances" ]; then break; fi
    sleep 0.1
  done
  "$bin/lemonctl" --entries "$operators" --output json rollout "$config" >"$work/plan.json"
  "$bin/lemonctl" --entries "$operators" confirm "$(field id <"$work/plan.json")" "$(field digest <"$work/plan.json")" >/dev/null
  sleep 20 # homes settle
  window at-rest "$entries" "$instances" "$pools"
  if [ -n "${CAPACITY_CHURN:-}" ]; then
    "$bin/lemonctl" --entries "$operators" --output json drain zone zone-1 >"$work/plan.json"
    "$bin/lemonctl" --entries "$operators" confirm "$(field id <"$work/plan.json")" "$(field digest <"$work/plan.json")" >/dev/null
    window zone-drain "$entries" "$instances" "$pools"
    "$bin/lemonctl" --entries "$operators" plan "$(field id <"$work/plan.json")" | grep progress
  fi
  stop_all
}

# crowd prints the memory of one entry under idle and slow callers.
crowd() {
  "$bin/lemonstandin" platform --listen "127.0.0.1:$base" --phantoms 50 --pools 5 &
  pids+=("$!")
  cat >"$work/1.ini" <<INI
[entry]
id = entry1
zone = zone-1
platform = 127.0.0.1:$base
[listen]
callers = 127.0.0.1:$((base + 301))
operators = 127.0.0.1:$((base + 101))
peers = 127.0.0.1:$((base + 201))
[peers]
certificate = $work/certificate.pem
key = $work/key.pem
authority = $work/authority.pem
INI
  "$bin/lemonstreamd" run --settings "$work/1.ini" 2>"$work/1.log" &
  local daemon=$!
  pids+=("$daemon")
  for _ in $(seq 100); do
    if curl -fs "127.0.0.1:$((base + 101))/livez" >/dev/null; then break; fi
    sleep 0.1
  done
  local before
  before=$(awk '/^VmRSS/ {print $2}' "/proc/$daemon/status")
  "$bin/lemonstandin" crowd --entry "127.0.0.1:$((base + 301))" --idle 5000 --slow 500 --for 8s >"$work/crowd.out" &
  pids+=("$!")
  for _ in $(seq 100); do
    if grep -q open "$work/crowd.out"; then break; fi
    sleep 0.1
  done
  sleep 3
  echo "measure=entry-memory-under-5000-idle-500-slow size=target policy=ours value=$(($(awk '/^VmRSS/ {print $2}' "/proc/$daemon/status") / 1024)) unit=MB before_MB=$((before / 1024))"
  stop_all
}

crowd
for size in "${@:-3:50:5 6:50:5 9:50:5 9:350:26 9:700:52}"; do
  for one in $size; do
    IFS=: read -r e i p <<<"$one"
    measure "$e" "$i" "$p"
  done
done
