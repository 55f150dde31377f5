#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/review-3, without a network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for program in restored_store unread_answers; do
    rustc --edition 2024 -O -A dead_code -o "target/review-3/$program" "review/standins-3/$program.rs"
done
