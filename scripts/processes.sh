# Functions of the demos: processes in the background, and waits for conditions.
# shellcheck shell=bash

bin=$(cd "$(dirname "${BASH_SOURCE[0]}")/../bin" && pwd)
work=$(mktemp -d)
pids=()

cleanup() {
  trap - EXIT INT TERM
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT
trap 'exit 130' INT TERM

say() { echo "demo: $*" >&2; }

# start NAME COMMAND... runs a command in the background; its id is in $last.
start() {
  local name=$1
  shift
  "$@" >>"$work/$name.out" 2>>"$work/$name.log" &
  last=$!
  pids+=("$last")
}

# until_ok TEXT COMMAND... waits until the command succeeds.
until_ok() {
  local what=$1
  shift
  for _ in $(seq 600); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  say "gave up waiting for $what"
  tail -n 5 "$work"/entry* >&2
  exit 1
}
