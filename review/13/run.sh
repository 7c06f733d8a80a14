#!/usr/bin/env bash
# One request ends an entry: GET of a path with a byte that is not UTF-8, on the
# port of the product's own interface and its metrics.
set -u
case_dir=$(cd "$(dirname "$0")" && pwd)
cd "$case_dir/../.."
. review/standins-3/lib.sh

start_all 3
path=/caf%C3%A9
[ "$trouble" = 0 ] || path=/caf%E9

# has_ended ENTRY
has_ended() {
    ! kill -0 "${entry_pid[$1]}" 2>/dev/null
}

ends=0
for round in 1 2 3; do
    for n in 1 2; do
        answer=$(request "$net.$n:$http" GET "$path" | head -n 1)
        say "entry $n: GET $path -> ${answer:-no answer}"
        sleep 1
        has_ended "$n" || continue
        wait "${entry_pid[$n]}"
        say "entry $n: its process has ended by itself, status $?"
        ends=$((ends + 1))
        # The platform starts a process that has ended again.
        start_entry "$n"
            until_true 10 is_ready "$n" || cannot_run "entry $n is not back"
    done
done
[[ $(call 3 POST /q/0000000000000131 '{"task-spec": "500", "steps": [{
    "count": 1, "cpu": 1000, "mem-mb": 100, "gpu": 1,
    "estimated-ms": 500}]}') == 200* ]] || say "no job is accepted"
if [ "$ends" -ge 6 ]; then
    finish 1 "Fault: processes of 2 of 14 machines ended by themselves, 3 times each"
fi
[ "$ends" = 0 ] || cannot_run "$ends ends"
finish 0 "held: no process has ended"
