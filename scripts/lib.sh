# Shared by the scripts; sourced, not run.

# A deployment on loopback, as separate processes. Set `base_port` first; an
# EXIT trap on `end_all` ends all that was started, by process id.

bin=target/release
domains=(half-way-tree new-kingston portmore)
worker_counts=(17 17 16)
pids=()
entries=""
declare -A pid_of

fail() { echo "error: $*" >&2; exit 1; }
http_port() { echo $((base_port + 10 + $1)); }
peer_port() { echo $((base_port + 50 + $1)); }
worker_port() { echo $((base_port + 100 + 100 * $1)); }

# Position in `domains` of instance $1 of $2 instances: the first domains have
# one more where they don't divide evenly.
domain_of() {
    local d left=$1 size
    for d in 0 1 2; do
        size=$((($2 + 2 - d) / 3))
        [ "$left" -le "$size" ] && { echo "$d"; return; }
        left=$((left - size))
    done
}

# Starts a process; its output goes to $work/NAME.log.
start() {
    local name=$1
    shift
    "$@" >"$work/$name.log" 2>&1 &
    pids+=($!)
}

wait_for() {
    local what=$1
    shift
    for _ in $(seq 100); do "$@" >/dev/null 2>&1 && return 0; sleep 0.1; done
    fail "$what did not come up; see $work"
}

# Ends every process started, in order of start, and forgets them.
end_processes() {
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do
        for _ in $(seq 100); do kill -0 "$pid" 2>/dev/null || break; sleep 0.1; done
        kill -KILL "$pid" 2>/dev/null || true
    done
    pids=()
    entries=""
    pid_of=()
}

end_all() {
    end_processes
    rm -rf "$work"
}

# Every other instance, as the settings of instance $1 of $2 list them.
peers_of() {
    local j list=""
    for ((j = 1; j <= $2; j++)); do
        [ "$j" = "$1" ] && continue
        list+="${list:+,}{\"instance\":\"entry-$j\",\"failure_domain\":\"${domains[$(domain_of $j "$2")]}\",\"peer_address\":\"127.0.0.1:$(peer_port $j)\"}"
    done
    echo "$list"
}

# Settings of instance $1 of $2; $3 is more JSON members, each after a comma.
write_settings() {
    cat >"$work/entry-$1.json" <<JSON
{
  "instance": "entry-$1",
  "failure_domain": "${domains[$(domain_of "$1" "$2")]}",
  "failure_domains": ["half-way-tree", "new-kingston", "portmore"],
  "http_address": "127.0.0.1:$(http_port "$1")",
  "peer_address": "127.0.0.1:$(peer_port "$1")",
  "peers": [$(peers_of "$1" "$2")],
  "platform": { "address": "$platform" }${3:-}
}
JSON
}

# Declarations of the backend servers, into $work/workers.
write_workers() {
    mkdir -p "$work/workers"
    local d n
    for d in 0 1 2; do
        for ((n = 0; n < worker_counts[d]; n++)); do
            cat >"$work/workers/${domains[d]}-$n.json" <<JSON
{ "kind": "backend_server", "name": "${domains[d]}-$n",
  "spec": { "service": "payrun", "failure_domain": "${domains[d]}",
            "address": "127.0.0.1:$(($(worker_port "$d") + n))", "slots": 8 } }
JSON
        done
    done
}

# Starts the platform's stand-in and the backend servers.
start_stand_ins() {
    platform=127.0.0.1:$base_port
    start platform $bin/trefoil-fake-platform --listen "$platform"
    local d
    for d in 0 1 2; do
        start "workers-$d" $bin/trefoil-fake-worker --listen "127.0.0.1:$(worker_port $d)" --count "${worker_counts[d]}" --slots 8
    done
    wait_for "the platform's stand-in" curl -sf "http://$platform/fake/counters"
}

# Starts $1 instances with more settings $2, and waits until they are ready.
start_entries() {
    local i
    for ((i = 1; i <= $1; i++)); do
        write_settings "$i" "$1" "${2:-}"
        start "entry-$i" $bin/trefoild --settings "$work/entry-$i.json"
        pid_of[$i]=${pids[-1]}
        entries+="${entries:+,}127.0.0.1:$(http_port "$i")"
    done
    for ((i = 1; i <= $1; i++)); do
        wait_for "entry-$i" curl -sf "http://127.0.0.1:$(http_port "$i")/readyz"
    done
    export TREFOIL_ENTRIES=$entries
}

# Declares teams, services and backend servers, and waits for them to be in force.
declare_all() {
    write_workers
    $bin/trefoilctl apply -f examples/blue-mahoe --wait
    $bin/trefoilctl apply -f "$work/workers" --wait | tail -3
}
