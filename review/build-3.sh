#!/usr/bin/env bash
# Builds the stand-ins and callers that the scripts of review/11 and later start. It needs the compiler
# and its standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for name in rolling upload; do
    rustc --edition 2024 -O -o "target/review-3/$name" "review/lib-3/$name.rs"
done
