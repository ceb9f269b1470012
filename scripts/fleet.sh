# Functions that start and stop a small fleet on loopback; sourced by scripts/demo.
# Variables that must be set: bin (folder of the programs), run (an empty folder), base (first port).

pids=()

start() { # name, command...
    local name=$1
    shift
    "$@" > "$run/$name.out" 2> "$run/$name.log" &
    pids+=($!)
    echo $! > "$run/$name.pid"
}

settings() { # name, data centre, offset
    local http=$((base + $3)) tcp=$((base + $3 + 1)) udp=$((base + $3 + 2))
    cat > "$run/$1.yaml" <<YAML
name: $1
dataCentre: $2
listen:
  http: 127.0.0.1:$http
  tcp: 127.0.0.1:$tcp
  udp: 127.0.0.1:$udp
members: [127.0.0.1:$((base + 102)), 127.0.0.1:$((base + 112))]
platform: 127.0.0.1:$base
threads: 16
YAML
}

wait_for() { # seconds, command...
    local end=$((SECONDS + $1))
    shift
    until "$@" > /dev/null 2>&1; do
        [ $SECONDS -lt $end ] || { echo "timed out waiting for: $*" >&2; return 1; }
        sleep 0.1
    done
}

stop_all() {
    for pid in "${pids[@]}"; do
        kill -TERM "$pid" 2> /dev/null || true
    done
    for pid in "${pids[@]}"; do
        wait "$pid" 2> /dev/null || true
    done
}
