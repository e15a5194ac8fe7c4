#!/usr/bin/env bash
# Runs an example deployment with stand-ins and sends it a few requests.
set -euo pipefail
ROOT=$(cd "$(dirname "$0")/../.." && pwd)
. "$ROOT/bin/lib/processes.sh"

usage() {
    cat <<'EOF'
usage: bilberrygrade demo [--example lantern|veeliin] [--kill-entry] [--keep] [--host IP]

Runs entry daemons and stand-ins on the loopback host and sends prompts of 1 k, 30 k, 300 k and
1 M tokens and calls that may not be repeated. The last line is a summary in JSON.
  --kill-entry  kills an entry daemon in the middle of the demo
  --keep        keeps everything running after the demo until it is interrupted
  --host IP     loopback address to use (127.0.0.1)
EOF
}

example=lantern
host=127.0.0.1
kill_entry=false
keep=false
while [ $# -gt 0 ]; do
    case $1 in
        --example) example=$2; shift 2 ;;
        --host) host=$2; shift 2 ;;
        --kill-entry) kill_entry=true; shift ;;
        --keep) keep=true; shift ;;
        --help | -h) usage; exit 0 ;;
        *) echo "unknown option $1" >&2; usage >&2; exit 2 ;;
    esac
done
require_loopback "$host"
[ -d "$ROOT/examples/$example" ] || { echo "no example '$example'" >&2; exit 2; }

find_java
build_if_needed
prepare_run "$example" "$host"
. "$ROOT/bin/lib/deployment.sh"
start_deployment "$host"

demo_flags=()
if $kill_entry; then
    demo_flags+=(--allow-unknown)
    victim=${ENTRY_PIDS[1]}
    (sleep 1.5; kill -9 "$victim") &
fi
# shellcheck disable=SC2086
"$JAVA" $JVM_FLAGS -Xmx512m -cp "$STANDINS_JAR" io.bilberrygrade.standins.load.LoadMain demo \
    --file "$RUN_DIR/demo.yaml" "${demo_flags[@]}"

if $keep; then
    port=$(sed -n '/^callers:/,/^peers:/s/^  port: //p' "$RUN_DIR/entry-1.yaml")
    echo "callers and operators: $host:$port, operators' credential: $RUN_DIR/operator.key" >&2
    echo "interrupt to end" >&2
    wait
fi
