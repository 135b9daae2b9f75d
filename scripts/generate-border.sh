#!/usr/bin/env bash
# Regenerates the message types of gentian-wire from their JSON Schemas; with --check, only compares them.
# Needs cargo-typify (`cargo install cargo-typify`); a normal build does not.
set -euo pipefail
cd "$(dirname "$0")/../crates/gentian-wire"
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
for schema in schemas/*.json; do
  name=$(basename "$schema" .json)
  cargo typify --no-builder --output "$out/$name.rs" "$schema"
done
if [ "${1:-}" = --check ]; then
  diff -r "$out" src/generated --exclude mod.rs
else
  cp "$out"/*.rs src/generated/
fi
