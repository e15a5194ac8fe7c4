#!/usr/bin/env bash
# Measures placement policies side by side on the same arrivals, against real daemons and stand-ins.
set -euo pipefail
ROOT=$(cd "$(dirname "$0")/../.." && pwd)
. "$ROOT/bin/lib/processes.sh"

usage() {
    cat <<'EOF'
usage: bilberrygrade measure routing [options]

Runs 5 entry daemons and 16 stand-in engines, which share a process, on the loopback host for each
cell, sends a seeded open-loop workload and prints a table. Every policy gets the same arrivals.
  --policies LIST  of round-robin, least-outstanding, full, and full with one mechanism off:
                   no-affinity, no-confinement, no-admission, no-gang, no-shares (default: all)
  --loads LIST     fractions of the engines' prefill rate (0.5,0.8,1.0,1.5)
  --faults LIST    of none, engine, entry, dc; what is lost in mid-run; others than none run at
                   load 0.8 only (none)
  --seconds N      duration of the arrivals of a cell (30)
  --seed N         seed of the arrivals (7)
  --prefill-rate N tokens a second of one engine (40000)
  --no-slowdown    leaves out the runs without long prompts
  --json FILE      writes all cells as JSON
  --plot FILE      writes a plot of time to first token by length as SVG
  --logs DIR       keeps the processes' logs there
  --host IP        loopback address to use (127.0.0.1)
EOF
}

policies=round-robin,least-outstanding,full,no-affinity,no-confinement,no-admission,no-gang,no-shares
loads=0.5,0.8,1.0,1.5
faults=none
seconds=30
seed=7
rate=40000
slowdown=true
host=127.0.0.1
logs=""
report_flags=()
while [ $# -gt 0 ]; do
    case $1 in
        --policies) policies=$2; shift 2 ;;
        --loads) loads=$2; shift 2 ;;
        --faults) faults=$2; shift 2 ;;
        --seconds) seconds=$2; shift 2 ;;
        --seed) seed=$2; shift 2 ;;
        --prefill-rate) rate=$2; shift 2 ;;
        --no-slowdown) slowdown=false; shift ;;
        --json | --plot) report_flags+=("$1" "$2"); shift 2 ;;
        --logs) logs=$2; shift 2 ;;
        --host) host=$2; shift 2 ;;
        --help | -h) usage; exit 0 ;;
        *) echo "unknown option $1" >&2; usage >&2; exit 2 ;;
    esac
done
require_loopback "$host"

readonly ENGINES=16 FIRST_ENGINE_CONTROL_PORT=21051 DATA_CENTRES=3 MEMORY_TOKENS=400000 FAULT_LOAD=0.8

# Prints the policy section of an entry daemon's settings.
policy_section() { # policy
    case $1 in
        round-robin) echo 'policy: {placement: ROUND_ROBIN, disabled: [PREFIX_AFFINITY, CONFINEMENT, ADMISSION, GANG_STEWARD, CLASS_SHARES, TEAM_FAIRNESS]}' ;;
        least-outstanding) echo 'policy: {placement: LEAST_OUTSTANDING, disabled: [PREFIX_AFFINITY, CONFINEMENT, ADMISSION, GANG_STEWARD, CLASS_SHARES, TEAM_FAIRNESS]}' ;;
        full) echo 'policy: {placement: PREDICTIVE, disabled: []}' ;;
        no-affinity) echo 'policy: {placement: PREDICTIVE, disabled: [PREFIX_AFFINITY]}' ;;
        no-confinement) echo 'policy: {placement: PREDICTIVE, disabled: [CONFINEMENT]}' ;;
        no-admission) echo 'policy: {placement: PREDICTIVE, disabled: [ADMISSION]}' ;;
        no-gang) echo 'policy: {placement: PREDICTIVE, disabled: [GANG_STEWARD]}' ;;
        no-shares) echo 'policy: {placement: PREDICTIVE, disabled: [CLASS_SHARES]}' ;;
        *) echo "unknown policy $1" >&2; return 2 ;;
    esac
}

# Ends an engine through its control port.
end_engine() { # number
    curl -sf -o /dev/null -X POST -d '{"dieNow":true}' \
        "http://$host:$((FIRST_ENGINE_CONTROL_PORT + $1 - 1))/faults" || true
}

# Ends what a fault takes away.
lose() { # fault
    local i
    case $1 in
        engine) end_engine 1 ;;
        entry) kill -9 "${ENTRY_PIDS[1]}" ;;
        dc)
            kill -9 "${ENTRY_PIDS[2]}"
            for ((i = DATA_CENTRES; i <= ENGINES; i += DATA_CENTRES)); do
                end_engine "$i"
            done
            ;;
    esac
}

# Loses a part of the deployment in the middle of the measured period.
lose_in_mid_run() { # fault
    local fault=$1 i
    [ "$fault" = none ] && return
    for i in $(seq 600); do
        [ -f "$RUN_DIR/started" ] && break
        sleep 0.1
    done
    sleep $((seconds / 2))
    lose "$fault"
}

run_cell() ( # policy load fault number flags...
    local policy=$1 load=$2 fault=$3 number=$4
    shift 4
    prepare_run lantern "$host"
    sed -i "s/memory_tokens: .*/memory_tokens: $MEMORY_TOKENS/" \
        "$RUN_DIR/configuration/endpoints.yaml"
    for settings in "$RUN_DIR"/entry-*.yaml; do
        policy_section "$policy" >>"$settings"
    done
    . "$ROOT/bin/lib/deployment.sh"
    ONE_STANDIN=true PREFILL_RATE=$rate start_deployment "$host"
    lose_in_mid_run "$fault" &
    # shellcheck disable=SC2086
    "$JAVA" $JVM_FLAGS -Xmx1g -XX:+UseSerialGC -cp "$STANDINS_JAR" \
        io.bilberrygrade.standins.load.LoadMain cell \
        --policy "$policy" --load "$load" --fault "$fault" --seconds "$seconds" --seed "$seed" \
        --capacity $((ENGINES * rate)) --model lantern-assistant \
        --entries "$host:21201" "$host:21202" "$host:21203" "$host:21204" "$host:21205" \
        --classes "$RUN_DIR/configuration/classes.yaml" --started "$RUN_DIR/started" \
        --output "$RESULTS/$(printf '%03d' "$number").json" "$@"
    wait $! || true
    if [ -n "$logs" ]; then
        mkdir -p "$logs/$number-$policy-$load-$fault"
        cp "$RUN_DIR"/*.log "$logs/$number-$policy-$load-$fault"
    fi
)

for policy in ${policies//,/ }; do
    policy_section "$policy" >/dev/null
done
find_java
build_if_needed
RESULTS=$(mktemp -d)
trap 'rm -rf "$RESULTS"' EXIT
number=0
for fault in ${faults//,/ }; do
    fault_loads=$loads
    [ "$fault" = none ] || fault_loads=$FAULT_LOAD
    for load in ${fault_loads//,/ }; do
        for policy in ${policies//,/ }; do
            number=$((number + 1))
            echo "cell $number: $policy at load $load, lost: $fault" >&2
            run_cell "$policy" "$load" "$fault" "$number"
            if $slowdown && [ "$fault" = none ]; then
                number=$((number + 1))
                run_cell "$policy" "$load" "$fault" "$number" --without-long
            fi
        done
    done
done
"$JAVA" -Djava.awt.headless=true -cp "$STANDINS_JAR" io.bilberrygrade.standins.load.LoadMain report \
    --directory "$RESULTS" "${report_flags[@]}"
