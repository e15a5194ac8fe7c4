#!/usr/bin/env bash
# Plays case 4; TROUBLE=0 plays it without the disruption. Exits with 1 if the rule was broken.
set -u
cd "$(dirname "$0")/../.."
export TROUBLE=${TROUBLE:-1}
jdk=$(bin/find-jdk) || exit 2
exec "$jdk/bin/java" -cp target/review ManyParts review/4
