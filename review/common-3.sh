# Functions of the cases of the third review: entries as separate processes that are started again when
# they end, and a stand-in of everything else. Source it with the folder of the case in $here.
# shellcheck shell=bash

root=$(cd "$here/../.." && pwd)
entry=$root/target/lemonsched
standin=$root/bin/standin3
work=$(mktemp -d)
port=${CASE_PORT:-$((20000 + RANDOM % 9000))}
loops=()
player=

# stop_all ends every process that this case has started, by its id.
stop_all() {
  trap - EXIT INT TERM
  touch "$work/over"
  for pid in "${loops[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  for file in "$work"/pid-*; do
    [ -f "$file" ] && kill -KILL "$(cat "$file")" 2>/dev/null || true
  done
  [ -n "$player" ] && kill -KILL "$player" 2>/dev/null || true
  wait 2>/dev/null || true
  if [ -n "${CASE_LOGS:-}" ]; then mkdir -p "$CASE_LOGS" && cp "$work"/*.log "$CASE_LOGS"/ || true; fi
  rm -rf "$work"
}

# keep_running NUMBER starts an entry, and again whenever it ends, as the platform does.
keep_running() {
  while [ ! -e "$work/over" ]; do
    LEMONSTREAM_SETTINGS="$work/entry-$1.conf" "$entry" >>"$work/entry-$1.log" 2>&1 &
    echo $! >"$work/pid-$1"
    wait $! || true
    sleep 0.5
  done
}

# play CASE ENTRIES TROUBLE plays a case of the stand-in and ends with its exit code. With TROUBLE 0 it is
# played without its disruption.
play() {
  local name=$1 entries=$2 trouble=$3 flags=() code=0
  if [ ! -x "$entry" ] || [ ! -x "$standin" ]; then
    echo "build the program by the deploy file, and then run review/build-3.sh" >&2
    exit 2
  fi
  if [ "$trouble" = 0 ]; then flags+=(-trouble=false); fi
  trap stop_all EXIT
  trap 'exit 2' INT TERM
  timeout -k 2 115 "$standin" -case "$name" -dir "$work" -record "$here/record.txt" -port "$port" "${flags[@]}" &
  player=$!
  local last=$((entries - 1))
  for _ in $(seq 100); do
    [ -e "$work/entry-$last.conf" ] && break
    sleep 0.05
  done
  for n in $(seq 0 "$last"); do
    keep_running "$n" &
    loops+=($!)
  done
  wait "$player" || code=$?
  player=
  case $code in
    0 | 1) exit "$code" ;;
    *) exit 2 ;;
  esac
}
