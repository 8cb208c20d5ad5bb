# Functions of the cases of the second review: the platform, workers and entries of a small deployment as
# processes on loopback addresses. A case sets $case to its folder before it reads this file.
# shellcheck shell=bash

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
cd "$root" || exit 2
standin=target/review-standin2
work=$(mktemp -d)
record=$case/record.txt
host=queue.example
prefix=/jobs/
service=svc1
declare -A worker_pid worker_rack entry_pid
all_pids=()

cleanup() {
  trap - EXIT INT TERM
  for pid in "${all_pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT
trap 'exit 2' INT TERM

# say writes a line to the record and to standard error.
say() {
  echo "$(date +%s%3N) $*" >>"$record"
  echo "$*" >&2
}

# give_up ends a case that could not run.
give_up() {
  say "not run: $*"
  exit 2
}

# now_ms prints the time in milliseconds.
now_ms() { date +%s%3N; }

# until_ok WHAT COMMAND... waits up to 15 s for a command to succeed.
until_ok() {
  local what=$1
  shift
  for _ in $(seq 150); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  give_up "$what"
}

# begin ENTRIES WORKERS takes free ports: one for the store, one a worker, and four an entry.
begin() {
  : >"$record"
  [ -x "$standin" ] || give_up "$standin is missing: run review/build-2.sh"
  [ -x target/lemonsched ] || give_up "target/lemonsched is missing: build by the deploy file"
  mapfile -t ports < <("$standin" ports $((1 + $2 + 4 * $1)))
  [ "${#ports[@]}" -eq $((1 + $2 + 4 * $1)) ] || give_up "no free ports"
  store=127.0.0.1:${ports[0]}
  worker_ports=("${ports[@]:1:$2}")
  entry_ports=("${ports[@]:1+$2}")
}

# start_store CONFIG [OPTION...] starts the platform's store with its first configuration.
start_store() {
  "$standin" store --address "$store" --config "$1" "${@:2}" 2>>"$work/store.log" &
  all_pids+=($!)
  until_ok "the store" curl -sf "http://$store/machines"
}

# start_worker NUMBER RACK CPU starts a worker, a new life of its machine.
start_worker() {
  "$standin" worker --address "127.0.0.1:${worker_ports[$1]}" --store "$store" --service "$service" \
    --machine "m-$1" --rack "$2" --cpu "$3" --memory 262144 --record "$work/worker-$1.jsonl" 2>>"$work/worker-$1.log" &
  worker_pid[$1]=$!
  worker_rack[$1]=$2
  all_pids+=($!)
}

# kill_worker NUMBER crashes a worker.
kill_worker() {
  kill -KILL "${worker_pid[$1]}"
  wait "${worker_pid[$1]}" 2>/dev/null || true
  echo "{\"at_ms\":$(now_ms),\"what\":\"killed\"}" >>"$work/worker-$1.jsonl"
}

# settings NUMBER writes the settings file of an entry.
settings() {
  local p=("${entry_ports[@]:4*$1:4}")
  cat >"$work/entry-$1.conf" <<EOF
nodeName=edge-z1-$1
role=entry
machineClass=edge
serves=edge
ip=127.0.0.1
zone=z1
region=r1
zones.z1=r1
listen.front=127.0.0.1:${p[0]}
listen.ready=127.0.0.1:${p[1]}
listen.control=127.0.0.1:${p[2]}
portRange=${p[3]},${p[3]}
seeds=
bootstrap=true
limits.cpuShare=0.4
limits.cores=1
limits.memoryMb=284
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=vip
heartbeatMs=1500
contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing
faultTolerance.machines=2
bounds.seedLagS=3
bounds.addrReuseS=2
bounds.contactMs=3000
bounds.ackMs=4000
bounds.catchUpS=4
bounds.drainMs=2000
bounds.graceS=6
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.rollbackSlackMs=250
bounds.maxStretchMs=5000
bounds.recoveryS=12
bounds.maxHoldMs=10000
bounds.stop_ms=400
bounds.gang_ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.far_x=2
bounds.save_s=0.5
bounds.restore_ms=250
bounds.notice_ms=4500
bounds.move_s=1.5
bounds.upkeep_s=2
bounds.requireFencing=false
bounds.leaseMs=3000
bounds.thawMs=300
bounds.pace_ms=100
bounds.harm_ms=4000
orders=call
platform.address=$store
platform.form=table
platform.writes_per_s=800
platform.reads_per_s=2000
platform.tx_ms=5.0
platform.part_writes_per_s=200
platform.row_bytes=65536
platform.across=false
platform.historyS=20
cloudApi.address=$store
cloudApi.ratePerS=64.0
cloudApi.dutyPerS=64.0
EOF
}

# start_entry NUMBER starts an entry with the command of the deploy file.
start_entry() {
  local command
  command=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
  [ -f "$work/entry-$1.conf" ] || settings "$1"
  # The command is split at spaces, as the deploy file says.
  # shellcheck disable=SC2086
  LEMONSTREAM_SETTINGS="$work/entry-$1.conf" $command >>"$work/entry-$1.log" 2>&1 &
  entry_pid[$1]=$!
  all_pids+=($!)
}

# ready NUMBER reports whether an entry is ready.
ready() { curl -sf "http://127.0.0.1:${entry_ports[4*$1+1]}/ready"; }

# fronts COUNT prints the addresses of the entries for clients, joined by commas.
fronts() {
  local list=()
  for n in $(seq 0 $(($1 - 1))); do list+=("127.0.0.1:${entry_ports[4*n]}"); done
  (
    IFS=,
    echo "${list[*]}"
  )
}

# config OPTIONS prints a configuration with one queue; OPTIONS are more fields of its route.
config() {
  cat <<EOF
{"version":3,"routes":[{"name":"r-1","host":"$host","pathPrefix":"$prefix","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":2500,"priority":0,"service":"$service","maxAttempts":4,"stretch":2.2}],"services":[{"name":"$service","healthPath":"/health","maxConns":64,"protocol":"h1","tls":false,"rejectsOverload":true,"headroom":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}
EOF
}

# finish CODE adds what the workers ran to the record and ends the case.
finish() {
  cat "$work"/worker-*.jsonl >>"$record"
  say "$(cat "$work/verdict")"
  if [ -n "${KEEP:-}" ]; then cp -r "$work" "$KEEP"; fi
  exit "$1"
}
