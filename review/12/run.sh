#!/bin/sh
# Runs the case; review/build-3.sh builds its program. The program reads TROUBLE: 0, kill, copy or leader (REPORT-3.md).
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/restored_store
if ! [ -x "$program" ] || ! [ -x target/release/verbenahead ]; then
    echo "build the deploy file's program and run review/build-3.sh first" >&2
    exit 2
fi
exec "$program" "$PWD" "$PWD/review/12"
