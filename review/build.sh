#!/usr/bin/env bash
# Builds the stand-ins and plays of all cases, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
jdk=$(bin/find-jdk)
rm -rf target/review
mkdir -p target/review
"$jdk/bin/javac" -d target/review review/src/*.java
