#!/usr/bin/env bash
# The store says nothing to two of six entries, one of which owns the service, and does late what they
# asked it to write. A client hands a job in at the other one, gets no 2xx, and withdraws the job.
# Exits with 1 if the job runs later all the same, 0 if not, 2 if the case could not run.
set -uo pipefail
. "$(dirname "$0")/../common.sh"

# TROUBLE=0 does the same without the disruption.
trouble=${TROUBLE:-1}

job=5c0e7a21d94b36f8

start_platform
configure '{"version":1,"routes":[{"name":"q","host":"h.example","pathPrefix":"/q/","timeoutMs":3000,"targetLatencyMs":600,"priority":0,"service":"s","maxAttempts":3,"stretch":1.6}],"services":[{"name":"s","rejectsOverload":true}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}'
for n in 1 2 3 4; do start_worker "m-$n" s; done
front=() ready=()
start_entries 6
sleep 2

owner=$(grep -l '"msg":"service taken".*"service":"s"' "$work"/entry-*.log | head -n 1 | sed 's/.*entry-\([0-9]*\).log/\1/')
[ -n "$owner" ] || broken_setup "no entry owns the service"
other=$(((owner + 1) % 6))
third=$(((owner + 2) % 6))
note "entry $owner owns the service"

if [ "$trouble" != 0 ]; then
  for n in "$owner" "$other"; do curl -sf -X POST "http://$platform/stand/silence/$n?ms=2500&late_ms=5500" || broken_setup "no silence"; done
  sleep 0.4
fi
call "$other" POST "/q/$job" h.example '{"spec":"done/20000","steps":[{"count":1,"cpu":500,"memMb":256,"estimateMs":20000}]}'
call "$third" DELETE "/q/$job" h.example
case $status in 200 | 410) ;; *) broken_setup "the cancelling was not acknowledged: $status $answer" ;; esac
acknowledged=$(date +%s%3N)

sleep 18
call "$third" GET "/q/$job" h.example
at=$(grep "start $job.0.0.0" "$record" | tail -n 1 | cut -d' ' -f1)
if [ -n "$at" ] && ! grep -q "end $job.0.0.0 run" "$record"; then
  echo "UNASKED: started $((at - acknowledged)) ms after the cancelling was acknowledged, and runs on 18 s after it"
  exit 1
fi
echo "the cancelled job does not run"
exit 0
