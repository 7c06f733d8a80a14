#!/usr/bin/env bash
# After a worker has failed one task, a gang that only it can run does not start
# there for a minute, though the worker is sound and idle again.
set -u
case_dir=$(cd "$(dirname "$0")" && pwd)
cd "$case_dir/../.."
. review/standins-3/lib.sh

start_all 2

# submit JOB COUNT GANG
submit() {
    [[ $(call 1 POST "/q/$1" "{\"task-spec\": \"2000\", \"steps\": [{
        \"count\": $2, \"cpu\": 1000, \"mem-mb\": 100, \"gpu\": 1,
        \"estimated-ms\": 2000, \"required-label\": \"b\"$3}]}") == 200* ]] ||
        cannot_run "job $1 not accepted"
}

# For 6.5 s the worker of kind b fails all that it starts; one job comes.
[ "$trouble" = 0 ] || tell 1 "grey on"
submit 00000000000000d1 1 ""
sleep 6.5
[ "$trouble" = 0 ] || tell 1 "grey off"
# The worker is sound. The last job of the traffic comes.
sleep 3
job=00000000000000d2
submit "$job" 4 ', "gang": true'
# finish_s after the end of the traffic the job is asked for.
sleep 14
begun=$(starts_of "$job")
s1=$(state 1 "/q/$job")
sleep 3.5
s2=$(state 2 "/q/$job")
later=$(starts_of "$job")
if [ "$begun" = 0 ] && [ "$later" = 0 ]; then
    finish 1 "LOST: nothing of the job has run ($s1, $s2), and its worker is idle"
fi
[ "$s2" = completed ] || cannot_run "shown as ${s2:-nothing}"
finish 0 "held: completed"
