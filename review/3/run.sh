#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
program=target/review/release/review-case
if [ ! -x "$program" ] || [ ! -x target/release/chicoryloom-gateway ]; then
    echo "build the gateway and run review/build.sh first"
    exit 2
fi
exec "$program" stop-late "$here"
