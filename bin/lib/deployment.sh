# Starts all processes of the example in RUN_DIR. Sourced after processes.sh. With ONE_STANDIN set
# to true, all stand-ins share one process, which starts sooner; ENGINE_PIDS stays empty then.

ENTRY_PIDS=()
ENGINE_PIDS=()
STANDIN_ARGUMENTS=()

# Prints the fields of the example's endpoints: id, port, model or service, memory.
example_endpoints() {
    awk '$2 == "id:" {id = $3}
        $1 == "address:" {split($2, a, ":"); port = a[2]}
        $1 == "models:" {gsub(/[\[\],]/, "", $2); model = $2}
        $1 == "memory_tokens:" {memory = $2}
        $1 == "checks_fencing:" {print "engine", id, port, model, memory, $2}
        $1 == "service:" {print "service", id, port, $2, 0, "true"}' \
        "$RUN_DIR/configuration/endpoints.yaml"
}

# Starts a stand-in, or keeps its arguments for the one process of all of them.
add_standin() { # name arguments...
    if [ "${ONE_STANDIN:-false}" != true ]; then
        start_standin "$@"
        return
    fi
    shift
    [ ${#STANDIN_ARGUMENTS[@]} -eq 0 ] || STANDIN_ARGUMENTS+=(--)
    STANDIN_ARGUMENTS+=("$@")
}

start_deployment() { # host
    local host=$1 kind id port what memory fencing entry settings
    local config_port instances_port
    config_port=$(sed -n 's/.*configuration: .*:\([0-9]*\)$/\1/p' "$RUN_DIR/entry-1.yaml")
    instances_port=$(sed -n 's/.*instances: .*:\([0-9]*\)$/\1/p' "$RUN_DIR/entry-1.yaml")
    add_standin config config --host "$host" --port "$config_port" \
        --control-port $((config_port + 50)) --directory "$RUN_DIR/configuration"
    add_standin instances instances --host "$host" --port "$instances_port" \
        --control-port $((instances_port + 50)) --file "$RUN_DIR/instances.yaml" --lag 10s
    while read -r kind id port what memory fencing; do
        case $kind in
            engine)
                add_standin "$id" engine --host "$host" --port "$port" \
                    --control-port $((port + 50)) --model "$what" --memory-tokens "$memory" \
                    --prefill-rate "${PREFILL_RATE:-200000}" --check-fencing "$fencing"
                [ "${ONE_STANDIN:-false}" = true ] || ENGINE_PIDS+=("$LAST_PID")
                ;;
            service)
                add_standin "$id" service --host "$host" --port "$port" \
                    --control-port $((port + 50))
                ;;
        esac
    done < <(example_endpoints)
    if [ "${ONE_STANDIN:-false}" = true ]; then
        STANDIN_FLAGS=$SHARED_STANDIN_FLAGS start_standin standins "${STANDIN_ARGUMENTS[@]}"
    fi
    for settings in "$RUN_DIR"/entry-*.yaml; do
        entry=$(basename "$settings" .yaml)
        start_entry "$entry" "$settings"
        ENTRY_PIDS+=("$LAST_PID")
    done
    while read -r kind id port what memory fencing; do
        wait_for "http://$host:$((port + 50))/health"
    done < <(example_endpoints)
    for settings in "$RUN_DIR"/entry-*.yaml; do
        port=$(sed -n '/^callers:/,/^peers:/s/^  port: //p' "$settings")
        wait_for "http://$host:$port/ready"
    done
}
