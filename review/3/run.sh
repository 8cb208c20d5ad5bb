#!/usr/bin/env bash
# Three workers crash, one after another, each under the same sound job. Exits with 1 if the job is
# shown as failed although none of its runs ended so, 0 if not, 2 if the case could not run.
set -uo pipefail
. "$(dirname "$0")/../common.sh"

job=5c0e7a21d94b36f8

start_platform
configure '{"version":1,"routes":[{"name":"q","host":"h.example","pathPrefix":"/q/","timeoutMs":3000,"targetLatencyMs":600,"priority":0,"service":"s","maxAttempts":3,"stretch":1.6}],"services":[{"name":"s","rejectsOverload":true}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}'
for n in 1 2 3 4 5 6 7 8; do start_worker "m-$n" s; done
front=() ready=()
start_entries 3

call 0 POST "/q/$job" h.example '{"spec":"done/25000","steps":[{"count":1,"cpu":2000,"memMb":1024,"estimateMs":25000}]}'
[ "$status" = 200 ] || broken_setup "the job was not accepted: $status $answer"

started() { [ "$(grep -c "start $job.0.0.0" "$record")" -ge "$1" ]; }
for n in 1 2 3; do
  if [ "$trouble" = 0 ]; then break; fi
  until_ok 20 "the work unit did not start for the ${n}th time" started "$n"
  sleep 4
  worker=$(grep "start $job.0.0.0" "$record" | tail -n 1 | awk '{print $3}')
  machine=$(grep "worker $worker begins" "$record" | awk '{print $7}')
  note "killed $machine"
  end_process "worker-$machine" KILL
  sleep 2
  start_worker "$machine" s
done

for _ in $(seq 18); do
  sleep 2
  call 1 GET "/q/$job" h.example
  case $answer in *failed* | *completed*) break ;; esac
done
ends=$(grep -c "end $job.0.0.0 run .* failed" "$record")
echo "the job is answered $status $answer; $ends of its runs ended failed"
case $answer in
  *failed*)
    if [ "$ends" -lt 3 ]; then
      echo "LOST: shown as failed without cause"
      exit 1
    fi
    ;;
esac
exit 0
