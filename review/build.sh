#!/usr/bin/env bash
# Builds the stand-ins of the cases; they use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/main.rs; do
    case_number=$(basename "$(dirname "$source")")
    rustc --edition 2024 -O -A dead_code -o "target/review/case$case_number" "$source"
done
