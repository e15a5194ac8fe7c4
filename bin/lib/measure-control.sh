#!/usr/bin/env bash
# Measures what control costs idle daemons as the numbers of daemons, endpoints and teams grow.
set -euo pipefail
ROOT=$(cd "$(dirname "$0")/../.." && pwd)
. "$ROOT/bin/lib/processes.sh"

usage() {
    cat <<'EOF'
usage: bilberrygrade measure control [options]

Runs idle entry daemons in one process and all stand-ins in another, on the loopback host, and
prints messages and bytes a second per daemon and processor time and memory of their process, with
lines through them. Daemons share a JVM; the line's base is its fixed cost, the slope a daemon's.
  --sizes LIST     daemons:endpoints:teams of each run
  --warm-up N      seconds before a run is sampled (8)
  --seconds N      seconds of sampling (15)
  --json FILE      keeps one JSON object a run
  --host IP        loopback address to use (127.0.0.1)
EOF
}

sizes=4:16:10,8:16:10,16:16:10,32:16:10,64:16:10,8:64:10,8:200:10,8:600:10,8:16:11000
warm_up=8
seconds=15
host=127.0.0.1
json=""
while [ $# -gt 0 ]; do
    case $1 in
        --sizes) sizes=$2; shift 2 ;;
        --warm-up) warm_up=$2; shift 2 ;;
        --seconds) seconds=$2; shift 2 ;;
        --json) json=$2; shift 2 ;;
        --host) host=$2; shift 2 ;;
        --help | -h) usage; exit 0 ;;
        *) echo "unknown option $1" >&2; usage >&2; exit 2 ;;
    esac
done
require_loopback "$host"

readonly CONFIG_PORT=22401

find_java
build_if_needed
RUN_DIR=$(mktemp -d)
trap stop_all EXIT
samples="$RUN_DIR/samples.json"

readonly MAIN=io.bilberrygrade.standins.load.control.ControlMain
# shellcheck disable=SC2086
CONTROL=(env BILBERRYGRADE_LOG_LEVEL=ERROR "$JAVA" $JVM_FLAGS -XX:+UseSerialGC
    -cp "$STANDINS_JAR")

measure() { # daemons endpoints teams
    local fleet=(--host "$host" --folder "$RUN_DIR/$1-$2-$3"
        --daemons "$1" --endpoints "$2" --teams "$3") pid
    "${CONTROL[@]}" -Xmx1g "$MAIN" standins "${fleet[@]}" >"$RUN_DIR/standins.log" 2>&1 &
    pid=$!
    PIDS+=("$pid")
    wait_for "http://$host:$CONFIG_PORT/v1/manifest"
    "${CONTROL[@]}" -Xmx3g "$MAIN" daemons "${fleet[@]}" --warm-up "$warm_up" \
        --seconds "$seconds" >>"$samples"
    kill -9 "$pid"
    wait "$pid" 2>/dev/null || true
}

IFS=, read -ra runs <<<"$sizes"
for run in "${runs[@]}"; do
    IFS=: read -r daemons endpoints teams <<<"$run"
    echo "measuring $daemons daemons, $endpoints endpoints, $teams teams ..." >&2
    measure "$daemons" "$endpoints" "$teams"
done
[ -z "$json" ] || cp "$samples" "$json"
"${CONTROL[@]}" -Xmx256m "$MAIN" table --file "$samples"
