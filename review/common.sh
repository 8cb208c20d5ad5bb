# Functions of the cases: the product's entries and the stand-ins as processes, and the record.
# shellcheck shell=bash

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
case_dir=$(cd "$(dirname "$0")" && pwd)
stand=$root/target/reviewstand
work=$(mktemp -d)
record=$work/record.txt
declare -A pid_of

cleanup() {
  trap - EXIT INT TERM
  for pid in "${pid_of[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  for pid in "${pid_of[@]}"; do until_gone "$pid"; done
  if [ -f "$record" ]; then cp "$record" "$case_dir/record.txt"; fi
  rm -rf "$work"
}
trap cleanup EXIT
trap 'exit 2' INT TERM

note() { echo "$(date +%s%3N) $*" >>"$record"; }

broken_setup() {
  echo "the case could not run: $*" >&2
  tail -n 3 "$work"/*.log >&2 || true
  exit 2
}

# start NAME COMMAND... starts a process of the case.
start() {
  local name=$1
  shift
  "$@" >>"$work/$name.log" 2>&1 &
  pid_of[$name]=$!
  disown
}

# until_gone PID waits until a process has ended, 10 s at most.
until_gone() {
  for _ in $(seq 100); do
    kill -0 "$1" 2>/dev/null || return 0
    sleep 0.1
  done
}

# end_process NAME SIGNAL ends a process that the case started, and waits for it.
end_process() {
  kill "-$2" "${pid_of[$1]}" 2>/dev/null || true
  until_gone "${pid_of[$1]}"
  unset "pid_of[$1]"
}

# until_ok SECONDS TEXT COMMAND... waits until a command succeeds.
until_ok() {
  local tries=$(($1 * 10)) what=$2
  shift 2
  for _ in $(seq "$tries"); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  broken_setup "$what"
}

for program in "$root/target/lemonsched" "$stand"; do
  [ -x "$program" ] || broken_setup "$program is not built"
done

start_platform() {
  start platform "$stand" platform "$work"
  until_ok 10 "the platform does not answer" test -s "$work/platform" -a -s "$work/door-7"
  platform=$(cat "$work/platform")
}

# configure JSON writes the configuration as the operator does.
configure() {
  curl -sf -X POST --data-binary "$1" "http://$platform/stand/op/config" || broken_setup "the configuration was not taken"
}

# start_worker MACHINE SERVICE starts the worker of a machine, always at the same address.
declare -A address_of
start_worker() {
  [ -n "${address_of[$1]:-}" ] || address_of[$1]=127.0.0.1:$("$stand" ports 1)
  start "worker-$1" "$stand" worker "$platform" "$1" "$2" "$record" "${address_of[$1]}"
}

# settings NUMBER FRONT READY PEER writes the settings of an entry, like those of a small deployment.
settings() {
  cat >"$work/entry-$1.conf" <<END
nodeName=entry-$1
role=entry
machineClass=edge
serves=edge
ip=127.0.0.1
zone=z1
region=r1
zones.z1=r1
listen.front=127.0.0.1:$2
listen.ready=127.0.0.1:$3
portRange=$4,$4
bootstrap=true
inTolerance=false
limits.cpuShare=0.4
limits.cores=1
limits.memoryMb=284
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=vip
heartbeatMs=1500
contracts=base,drain,config,cost,recover,sched,platform,upkeep,sharing
faultTolerance.machines=2
faultTolerance.zones=0
faultTolerance.regions=0
bounds.contactMs=3000
bounds.ackMs=4000
bounds.drainMs=2000
bounds.graceS=6
bounds.lossSlackMs=200
bounds.configApplyMs=2000
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
orders=call
platform.address=$(cat "$work/door-$1")
platform.form=table
platform.writes_per_s=800
platform.reads_per_s=2000
platform.tx_ms=5.0
platform.part_writes_per_s=200
platform.row_bytes=65536
platform.across=false
platform.historyS=20
cloudApi.address=$platform
cloudApi.ratePerS=64.0
cloudApi.dutyPerS=64.0
END
}

# start_entry NUMBER starts an entry as the deploy file does.
start_entry() {
  cd "$root" || broken_setup "no root"
  LEMONSTREAM_SETTINGS="$work/entry-$1.conf" start "entry-$1" target/lemonsched
}

# start_entries COUNT starts entries and waits until each is ready.
start_entries() {
  local ports n
  read -ra ports <<<"$("$stand" ports $(($1 * 3)))"
  for n in $(seq 0 $(($1 - 1))); do
    front[n]=127.0.0.1:${ports[$((n * 3))]}
    ready[n]=127.0.0.1:${ports[$((n * 3 + 1))]}
    settings "$n" "${ports[@]:$((n * 3)):3}"
    start_entry "$n"
  done
  for n in $(seq 0 $(($1 - 1))); do
    until_ok 20 "entry $n is not ready" curl -sf "http://${ready[$n]}/ready"
  done
}

# call ENTRY METHOD PATH HOST [BODY] calls an entry as a client does; status and answer are in
# $status and $answer.
call() {
  local out
  note "client $2 $3 at entry $1 ${5:-}"
  out=$(curl -s --max-time 3 -X "$2" -H "Host: $4" -H 'Content-Type: application/json' -H 'Deadline-Ms: 3000' \
    ${5:+--data-binary "$5"} -w '\n%{http_code}' "http://${front[$1]}$3") || true
  status=${out##*$'\n'}
  answer=${out%$'\n'*}
  note "client $2 $3 at entry $1 is answered $status $answer"
}
