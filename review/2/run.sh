#!/usr/bin/env bash
# A queue is led to another service twice, and a client sends its job again after its 2xx. Then the
# queue's route is removed and one of another name is added in its place, and a client sends the next job
# again. Exits with 1 if a work unit ran twice, 0 if none did, 2 if the case could not run.
set -uo pipefail
. "$(dirname "$0")/../common.sh"

# TROUBLE=0 does the same without the disruption.
trouble=${TROUBLE:-1}

# configuration VERSION SERVICE [ROUTE] leads the queue to a service.
configuration() {
  cat <<END
{"version":$1,"routes":[{"name":"${3:-q}","host":"h.example","pathPrefix":"/q/","timeoutMs":3000,"targetLatencyMs":600,"priority":0,"service":"$2","maxAttempts":3,"stretch":1.6}],"services":[{"name":"a","rejectsOverload":true},{"name":"b","rejectsOverload":true},{"name":"c","rejectsOverload":true}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}
END
}

job=5c0e7a21d94b36f8
next=5c0e7a21d94b36f9
body='{"spec":"done/15000","steps":[{"count":1,"cpu":500,"memMb":256,"estimateMs":15000}]}'

start_platform
configure "$(configuration 1 a)"
for service in a b c; do
  for n in 1 2; do start_worker "m-$service$n" "$service"; done
done
front=() ready=()
start_entries 3

# hand_in JOB hands a job in and waits for its start.
hand_in() {
  call 0 POST "/q/$1" h.example "$body"
  [ "$status" = 200 ] || broken_setup "the job was not accepted: $status $answer"
  until_ok 10 "the work unit did not start" grep -q "start $1.0.0.0" "$record"
  sleep 0.5
}

# change VERSION SERVICE [ROUTE] changes the configuration, unless the case runs without disruption.
change() { if [ "$trouble" != 0 ]; then configure "$(configuration "$@")"; fi; }

hand_in "$job"
change 4 b
sleep 1.8
change 9 c
sleep 2
# The same id is sent again, seconds after its 2xx, to another entry.
call 1 POST "/q/$job" h.example "$body"
sleep 2

hand_in "$next"
change 12 a q2
sleep 2.2
call 1 POST "/q/$next" h.example "$body"
sleep 18
call 2 GET "/q/$job" h.example
call 2 GET "/q/$next" h.example
"$stand" judge "$record"
