# Starts and ends the processes of a demo, measurement or failure run. Sourced by bash scripts
# that have set ROOT. Every process is ended by its id when the script ends.

RUN_DIR=""
PIDS=()

readonly DEFAULT_STANDIN_FLAGS="-Xmx192m -XX:+UseSerialGC -XX:TieredStopAtLevel=1"
readonly SHARED_STANDIN_FLAGS="-Xmx2g -XX:+UseParallelGC"
readonly ENTRY_FLAGS="-Xmx256m -XX:+UseSerialGC"
readonly DAEMON_JAR="$ROOT/target/bilberrygrade-daemon/bilberrygrade-daemon-0.1.0-all.jar"
readonly STANDINS_JAR="$ROOT/target/bilberrygrade-standins/bilberrygrade-standins-0.1.0-all.jar"

# Sets JAVA and JVM_FLAGS for the JDK that was found.
find_java() {
    JAVA=$("$ROOT/bin/find-jdk")/bin/java
    JVM_FLAGS=""
    if "$JAVA" --sun-misc-unsafe-memory-access=allow -version >/dev/null 2>&1; then
        JVM_FLAGS="--sun-misc-unsafe-memory-access=allow"
    fi
}

# Ends the script unless an address is a loopback one.
require_loopback() { # host
    case $1 in
        127.*) ;;
        *) echo "--host takes a loopback address" >&2; exit 2 ;;
    esac
}

# Builds the programs unless they are newer than their sources.
build_if_needed() {
    if [ -f "$DAEMON_JAR" ] && [ -f "$STANDINS_JAR" ] &&
        [ -z "$(find "$ROOT"/pom.xml "$ROOT"/*/pom.xml "$ROOT"/*/src/main \
            -newer "$STANDINS_JAR" -type f | head -n 1)" ]; then
        return
    fi
    echo "building ..." >&2
    (cd "$ROOT" && JAVA_HOME=$(bin/find-jdk) mvn -B -ntp -q package -DskipTests \
        -Dspotless.check.skip -Dcheckstyle.skip) >&2
}

# Copies an example into a new run folder, with every address moved to one loopback host.
prepare_run() { # example host
    RUN_DIR=$(mktemp -d)
    trap stop_all EXIT
    cp -r "$ROOT/examples/$1/." "$RUN_DIR"
    head -c 32 /dev/urandom >"$RUN_DIR/peer.key"
    head -c 32 /dev/urandom | od -An -tx1 | tr -d " \n" >"$RUN_DIR/operator.key"
    find "$RUN_DIR" -name '*.yaml' -exec sed -i "s/127\.0\.0\.1:/$2:/g; s/host: 127\.0\.0\.1/host: $2/" {} +
}

# Starts a process in the background; LAST_PID is its id.
start_process() { # name command...
    local name=$1
    shift
    "$@" >"$RUN_DIR/$name.log" 2>&1 &
    LAST_PID=$!
    PIDS+=("$LAST_PID")
}

start_standin() { # name arguments...
    local name=$1
    shift
    # shellcheck disable=SC2086
    start_process "$name" "$JAVA" $JVM_FLAGS ${STANDIN_FLAGS:-$DEFAULT_STANDIN_FLAGS} -jar "$STANDINS_JAR" "$@"
}

start_entry() { # name settings
    # shellcheck disable=SC2086
    start_process "$1" "$JAVA" $JVM_FLAGS $ENTRY_FLAGS -jar "$DAEMON_JAR" entry --settings "$2"
}

# Waits until a URL answers with success, for at most 30 s.
wait_for() { # url
    local i
    for i in $(seq 300); do
        if curl -sf -o /dev/null --max-time 1 "$1"; then
            return
        fi
        sleep 0.1
    done
    echo "$1 did not answer" >&2
    tail -n 5 "$RUN_DIR"/*.log >&2
    return 1
}

stop_all() {
    local pid
    for pid in "${PIDS[@]}"; do
        kill -9 "$pid" 2>/dev/null || true
    done
    for pid in "${PIDS[@]}"; do
        wait "$pid" 2>/dev/null || true
    done
    rm -rf "$RUN_DIR"
}
