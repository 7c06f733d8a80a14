#!/usr/bin/env bash
# A worker starts again under its id, and then its agent is started again. The
# run that the worker has begun meanwhile counts as over, and is started a
# second time.
set -u
case_dir=$(cd "$(dirname "$0")" && pwd)
cd "$case_dir/../.."
. review/standins-3/lib.sh

start_all 3 --same-id
job=0000000000000101
task=$job.0.0.0

# The worker of kind b ends, and is back after 1 s under its id. Meanwhile a
# job comes that it can run.
if [ "$trouble" != 0 ]; then
    tell 1 "crash 1000"
    sleep 0.2
fi
[[ $(call 1 POST "/q/$job" '{"task-spec": "800", "steps": [{"count": 1,
    "cpu": 1000, "mem-mb": 100, "gpu": 1, "estimated-ms": 800,
    "required-label": "b"}]}') == 200* ]] || cannot_run "job not accepted"
has_started() {
    [ "$(count start "$task")" -gt 0 ]
}
until_true 10 has_started || cannot_run "the subtask has not started"
# The agent's process is killed, and started again after a short delay.
if [ "$trouble" != 0 ]; then
    say "agent 1: killed"
    kill -KILL "${agent_pid[1]}"
    sleep 0.3
    start agent-1-again target/bin/parsleyfall-agent run "$dir/agent-1.yaml"
    say "agent 1: started again"
fi
sleep 12
last=$(state 2 "/q/$job")
starts=$(starts_of "$job")
seen=$(count seen "$task")
if [ "$starts" -gt 1 ] && [ "$seen" -gt 0 ]; then
    finish 1 "TWICE: started $starts times, ended as done $(count done "$task") times"
fi
[ "$last" = completed ] || cannot_run "shown as ${last:-nothing}"
finish 0 "held: started $starts times"
