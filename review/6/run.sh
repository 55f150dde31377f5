#!/bin/sh
# Starts the case from the project's root. The files of the nodes go to a temporary folder.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/review-2 ] || exit 2
WORK=$(mktemp -d) || exit 2
export WORK
# TROUBLE=0 leaves the disruption out.
export TROUBLE="${TROUBLE:-1}"
trap 'rm -rf "$WORK"' EXIT
target/review-2/review-2 one review/6
