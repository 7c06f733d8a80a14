# Shell functions that start the system on this machine, on free ports, and
# end what they started. To be sourced; needs $bin, and makes $dir.

dir=$(mktemp -d)
pids=()
token=demo-token
operator=demo-operator
platform=http://127.0.0.1:1

# Ends all that was started; the first (the platform's stand-in) last, as the
# others say goodbye to it.
stop_all() {
    local p
    for p in "${pids[@]:1}"; do
        kill -TERM "$p" 2>/dev/null || true
    done
    for p in "${pids[@]:1}" "${pids[@]:0:1}"; do
        kill -TERM "$p" 2>/dev/null || true
        wait "$p" 2>/dev/null || true
    done
    pids=()
}
trap 'stop_all; rm -rf "$dir"' EXIT

die() {
    echo "$(basename "$0"): $*" >&2
    tail -n 20 "$dir"/*.log >&2 || true
    exit 1
}

# until_true SECONDS COMMAND...: waits for a condition.
until_true() {
    local end=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ "$SECONDS" -lt "$end" ] || return 1
        sleep 0.05
    done
}

# start NAME COMMAND...: in the background; its pid goes to last_pid.
start() {
    local name=$1
    shift
    "$@" >"$dir/$name.out" 2>"$dir/$name.log" &
    last_pid=$!
    pids+=("$last_pid")
}

# field NAME KEY: value of key= in the listening line of a process's log.
field() {
    sed -nE "s/.*event=listening.* $2=([^ ]+).*/\1/p" "$dir/$1.log" |
        head -n 1
}

digest() {
    printf %s "$1" | b2sum -l 256 | cut -d' ' -f1
}

start_platform() {
    start platform "$bin/fake-platform" --port 0 \
        --port-file "$dir/platform.port"
    until_true 10 test -s "$dir/platform.port" || die "no platform stand-in"
    platform=http://127.0.0.1:$(cat "$dir/platform.port")
}

# write_configuration WORKERS: one rack of workers w1..wN, one service.
write_configuration() {
    local i
    cat >"$dir/configuration.yaml" <<EOF
version: 1
weights: {completion: 70, fragmentation: 30}
topology:
  regions:
    - name: demo
      failure_domains:
        - name: demo-a
          racks:
            - name: rack-1
              workers:
$(for i in $(seq "$1"); do
        echo "                - {name: w$i, accelerators: 8}"
    done)
operators:
  - {name: operator, token_hashes: [$(digest $operator)]}
organisations:
  - name: assessors
    token_hashes: [$(digest $token)]
    weight: 1
    guarantees: [{shape: worker, count: 1}]
classes:
  - {name: estimate, kind: request, priority: normal, repeatable: false,
     deadline_ms: 10000, keyed_when_table_down: refuse}
  - {name: preview, kind: request, priority: urgent, repeatable: true,
     deadline_ms: 10000, keyed_when_table_down: serve}
  - {name: training, kind: job, priority: normal, repeatable: true,
     deadline_ms: 0, grace_ms: 1000, checkpoint: true}
services:
  - {name: estimates, organisations: [assessors], classes: [estimate, preview],
     request_bytes: 65536, answer_bytes: 65536, queue_limit: 4096}
EOF
}

# start_entry NAME [SEED...]
start_entry() {
    local name=$1
    shift
    cat >"$dir/$name.yaml" <<EOF
name: $name
region: demo
failure_domain: demo-a
listen: {address: 127.0.0.1, http_port: 0, link_port: 0}
seeds: [$(printf '"%s",' "$@" | sed 's/,$//; s/^""$//')]
platform: {table_url: "$platform", objects_url: "$platform"}
drain_ms: 10000
limits: {deadline_ms_max: 10000}
configuration_file: $dir/configuration.yaml
EOF
    start "$name" "$bin/parsleyfall" serve "$dir/$name.yaml"
    until_true 10 grep -q event=listening "$dir/$name.log" || die "no $name"
}

# start_upstream NUMBER SLOTS SERVICE_MS: with the worker's task runner.
start_upstream() {
    start "upstream-$1" "$bin/fake-upstream" --port 0 --slots "$2" \
        --service-ms "$3" --port-file "$dir/up$1.port"
    until_true 10 test -s "$dir/up$1.port" || die "no upstream $1"
}

# start_agent NUMBER SLOTS SEED...: beside upstream NUMBER.
start_agent() {
    local n=$1 slots=$2 port=1
    shift 2
    [ ! -s "$dir/up$n.port" ] || port=$(cat "$dir/up$n.port")
    cat >"$dir/agent-$n.yaml" <<EOF
name: w$n
region: demo
failure_domain: demo-a
rack: rack-1
accelerators: 8
seeds: [$(printf '"%s",' "$@" | sed 's/,$//')]
services:
  - {name: estimates, url: "http://127.0.0.1:$port", slots: $slots,
     connections: $slots, timeout_ms: 60000}
runner_url: http://127.0.0.1:$port
lease_ms: 3000
drain_ms: 10000
EOF
    start "agent-$n" "$bin/parsleyfall-agent" run "$dir/agent-$n.yaml"
}

# heard HOST:PORT N: the entry hears N agents.
heard() {
    [ "$(metric "$1" parsleyfall_entry_agents)" = "$2" ]
}

# metric HOST:PORT NAME: value of a counter.
metric() {
    curl -m 5 -sf "http://$1/metrics" | awk -v n="$2" '$1 == n {print $2}'
}

# cpu_ms PID: processor time of all its threads so far. rss_kb PID: resident
# memory.
cpu_ms() {
    cat /proc/"$1"/task/*/schedstat | awk '{ns += $1} END {print ns / 1e6}'
}
rss_kb() {
    awk '/^VmRSS/ {print $2}' "/proc/$1/status"
}
