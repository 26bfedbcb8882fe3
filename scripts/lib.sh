# Functions to run a deployment on loopback as separate processes. To be sourced.
#
# Callers set `base_port` and `work`, a temporary directory. `end_all`, set as an EXIT
# trap, ends all started processes by their ids and removes `work`.

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

# Prints the index in `domains` of instance $1 of $2 instances, which are distributed
# evenly; the first domains have one more if there is a remainder.
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
    fail "$what did not become ready; see $work"
}

# Ends all started processes, in order of their start.
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

# Prints the `peers` setting of instance $1 of $2: all other instances.
peers_of() {
    local j list=""
    for ((j = 1; j <= $2; j++)); do
        [ "$j" = "$1" ] && continue
        list+="${list:+,}{\"instance\":\"entry-$j\",\"failure_domain\":\"${domains[$(domain_of $j "$2")]}\",\"peer_address\":\"127.0.0.1:$(peer_port $j)\"}"
    done
    echo "$list"
}

# Writes the settings of instance $1 of $2; $3 is further JSON members, each preceded by a
# comma.
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

# Writes declarations of the backend servers to $work/workers.
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

# Starts the fake platform and the fake backend servers.
start_fakes() {
    platform=127.0.0.1:$base_port
    start platform $bin/trefoil-fake-platform --listen "$platform"
    local d
    for d in 0 1 2; do
        start "workers-$d" $bin/trefoil-fake-worker --listen "127.0.0.1:$(worker_port $d)" --count "${worker_counts[d]}" --slots 8
    done
    wait_for "the fake platform" curl -sf "http://$platform/fake/counters"
}

# Starts $1 instances with further settings $2 and waits until they are ready.
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

# Declares teams, services and backend servers, and waits until they are in force.
declare_all() {
    write_workers
    $bin/trefoilctl apply -f examples/blue-mahoe --wait
    $bin/trefoilctl apply -f "$work/workers" --wait | tail -3
}
