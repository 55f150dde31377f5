#!/bin/bash
# Builds the stand-ins of the scripts. They use the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -A dead_code -o target/review/standins review/standins/main.rs
