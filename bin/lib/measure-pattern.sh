#!/usr/bin/env bash
# Plays load patterns against placement policies on virtual time and prints a table; --help names the
# options.
set -euo pipefail
ROOT=$(cd "$(dirname "$0")/../.." && pwd)
. "$ROOT/bin/lib/processes.sh"
find_java
build_if_needed
exec "$JAVA" -cp "$STANDINS_JAR" io.bilberrygrade.standins.load.pattern.PatternMain "$@"
