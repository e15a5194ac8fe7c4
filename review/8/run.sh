#!/usr/bin/env bash
# Runs the case; 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 does the same without the disruption.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE=${TROUBLE:-1}
for needed in target/bilberrygrade.jar target/entry.aot target/jre/bin/java target/review-2/TwoCut.class; do
    if [ ! -e "$needed" ]; then
        echo "$needed is missing; run bin/build-platform and review/build-2.sh first" >&2
        exit 2
    fi
done
exec target/jre/bin/java -Xmx1g -Droot="$PWD" -cp target/review-2 TwoCut review/8
