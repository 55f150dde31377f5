#!/bin/sh
# Builds the stand-ins that the scripts in review/6 to review/10 start. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/review-2 review/standins-2/main.rs
