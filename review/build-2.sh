#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the daemon: small stand-ins of the
# platform's store, of servers and of clients. They need a JDK only; the result stands under target/.
set -euo pipefail
cd "$(dirname "$0")/.."
JAVA_HOME=$(bin/find-jdk)
rm -rf target/review-2
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" -Xlint:all -Werror -d target/review-2 review/harness-2/*.java
