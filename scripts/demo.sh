#!/usr/bin/env bash
# Runs the whole path on this machine: a stand-in platform, 12 stand-in
# endpoints of two services over four availability zones, three entries and
# eight callers, each its own process, while things fail. The last line is
# counted by the callers and the endpoints, not by the entries.
set -euo pipefail

base=${DEMO_PORT:-21000}
seconds=${DEMO_SECONDS:-26}
. "$(dirname "$0")/processes.sh"

ctl() { "$bin/lemonctl" --entries "$operators" --operator demo "$@"; }
# field NAME reads a field of JSON as lemonctl prints it.
field() { sed -n "s/^ *\"$1\": \"\\{0,1\\}\\([^\",]*\\)\"\\{0,1\\},\\{0,1\\}\$/\\1/p" | head -n 1; }

platform=127.0.0.1:$base
zones=(montreal laval quebec-ville sherbrooke)
services=(guichet recharge)
keys=$work/keys
mkdir "$keys" "$work/ran"
"$bin/lemonctl" keys "$keys" >/dev/null

say "starting the platform, 12 endpoints and 3 entries"
start platform "$bin/lemonstandin" platform --listen "$platform" --lag 300ms
endpoint_pid=()
for n in $(seq 0 11); do
  zone=${zones[$((n % 4))]}
  start "endpoint$n" "$bin/lemonstandin" endpoint --id "w$n" --pool "${services[$((n / 6))]}" \
    --rack "$zone-r$((n / 4 % 2))" --zone "$zone" --listen "127.0.0.1:$((base + 100 + n))" \
    --platform "$platform" --executions "$work/ran/w$n.ran" --work 8ms
  endpoint_pid+=("$last")
done

seeds="127.0.0.1:$((base + 31)),127.0.0.1:$((base + 32)),127.0.0.1:$((base + 33))"
entries=""
operators=""
entry_pid=()
for n in 1 2 3; do
  cat >"$work/entry$n.ini" <<INI
[entry]
id = entry$n
zone = ${zones[$n]}
platform = $platform
[listen]
callers = 127.0.0.1:$((base + 10 + n))
operators = 127.0.0.1:$((base + 20 + n))
peers = 127.0.0.1:$((base + 30 + n))
[peers]
seeds = $seeds
certificate = $keys/certificate.pem
key = $keys/key.pem
authority = $keys/authority.pem
[limits]
entries = 3
[times]
home_interval = 15s
poll_interval = 300ms
tell_interval = 300ms
silent_after = 2s
lease_length = 3s
INI
  start "entry$n" "$bin/lemonstreamd" run --settings "$work/entry$n.ini"
  entry_pid+=("$last")
  entries+="${entries:+,}127.0.0.1:$((base + 10 + n))"
  operators+="${operators:+,}127.0.0.1:$((base + 20 + n))"
done

cat >"$work/config1.ini" <<'INI'
[service guichet]
pool = guichet
min_available = 3
[service recharge]
pool = recharge
min_available = 3
[waves]
first = 1
reserve_racks = 0
INI
sed 's/objective.*//; s/first = 1/first = 2/' "$work/config1.ini" >"$work/config2.ini"

# change ARGS... makes a plan and confirms it; the plan's id is in $plan.
change() {
  ctl --output json "$@" >"$work/plan.json"
  plan=$(field id <"$work/plan.json")
  ctl confirm "$plan" "$(field digest <"$work/plan.json")" >/dev/null
}
state_is() { [ "$(ctl --output json plan "$plan" | field state)" = "$1" ]; }
enrolled() { [ "$(ctl instances | grep -c serving)" -eq 12 ]; }
ready() { for n in 1 2 3; do curl -fs "127.0.0.1:$((base + 20 + n))/readyz" || return 1; done; }

until_ok "12 enrolled instances" enrolled
change rollout "$work/config1.ini"
until_ok "the first configuration" state_is done
until_ok "three ready entries" ready

say "callers start, for $seconds s"
start callers "$bin/lemonstandin" callers --entries "$entries" --killed "127.0.0.1:$((base + 13))" \
  --services guichet,recharge --callers 8 --for "${seconds}s" --pause 10ms --executions "$work/ran"
callers=$last
sleep 2

say "a configuration changes"
begin=$(date +%s%N)
change rollout "$work/config2.ini"
until_ok "the configuration to be in force everywhere" state_is done
rollout=$((($(date +%s%N) - begin) / 1000000))

say "an entry is killed"
kill -KILL "${entry_pid[2]}"
sleep 1
say "an endpoint is killed"
kill -KILL "${endpoint_pid[11]}"
sleep 1

say "the table goes away for 3 s"
curl -fs -X POST "http://$platform/standin/fault?mode=down"
sleep 3
curl -fs -X POST "http://$platform/standin/fault?mode="

say "a rack is drained, by intent, plan and confirmation"
ctl drain rack montreal-r0 >&2 || true
begin=$(date +%s%N)
change drain rack montreal-r0
until_ok "the drain" state_is done
drain=$((($(date +%s%N) - begin) / 1000000))
moves=$(ctl --output json plan "$plan" | field moves)

say "a rack is maintained: drained, rebooted and readmitted"
change maintain rack laval-r0
until_ok "the maintenance" state_is done
moves=$((moves + $(ctl --output json plan "$plan" | field moves)))

say "an entry is stopped in order"
kill -TERM "${entry_pid[1]}"

status=0
wait "$callers" || status=$?
ctl pools >&2
ctl report >&2 || true
echo "demo: $(tail -n 1 "$work/callers.out") moves=$moves rollout=${rollout}ms drain=${drain}ms"
if [ "$status" -ne 0 ]; then
  cat "$work/callers.log" >&2
  if [ -n "${DEMO_KEEP:-}" ]; then cp -r "$work" "$DEMO_KEEP"; fi
fi
exit "$status"
