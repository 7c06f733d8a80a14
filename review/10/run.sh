#!/usr/bin/env bash
# A start that got no answer is carried out by the worker's next lifetime, after
# the task has ended as done and its job has been shown as completed.
set -u
case_dir=$(cd "$(dirname "$0")" && pwd)
cd "$case_dir/../.."
. review/standins-3/lib.sh

job=00000000000000b1
task=$job.0.0.0
start_all 3 --same-id

# is_seen: the end has been taken note of.
is_seen() {
    [ "$(count seen "$task")" -gt 0 ]
}

# Order of events: the first start of the task gets no answer and is under way
# for 9 s; the agent's next try starts the task, which ends as done; the worker
# crashes and is back under its id; the first start arrives.
[ "$trouble" = 0 ] || tell 1 "late 9000"
[[ $(call 1 POST "/q/$job" '{"task-spec": "1500", "steps": [{"count": 1,
    "cpu": 1000, "mem-mb": 100, "gpu": 1, "estimated-ms": 1500,
    "required-label": "b"}]}') == 200* ]] || cannot_run "job not accepted"
until_true 6 is_state 1 "/q/$job" completed ||
    cannot_run "the job was not completed before the crash"
until_true 5 is_seen ||
    cannot_run "the end was not taken note of"
[ "$trouble" = 0 ] || tell 1 "crash 500"
sleep 9
state 2 "/q/$job" >/dev/null

starts=$(starts_of "$job")
[ "$(count done "$task")" -ge 1 ] || cannot_run "no end"
if [ "$starts" -gt 1 ]; then
    finish 1 "TWICE: started $starts times, though it had ended as done"
fi
finish 0 "held: started once"
