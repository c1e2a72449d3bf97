#!/usr/bin/env bash
# Runs all benchmarks with fixed seeds, prints their tables and writes their
# figures to bench.json in the build folder. A benchmark that fails or takes
# too long is named at the end, and its figures are missing.
set -uo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
parts=$build/bench
mkdir -p "$parts"
rm -f "$parts"/*.json
failed=()

# run NAME SECONDS COMMAND...
run() {
  local name=$1 limit=$2
  shift 2
  echo "== $name"
  timeout "$limit" "$@" || failed+=("$name")
}

placement() {
  timeout 40 "$build/flamingoloom/placement/placement_benchmark" --json \
    >"$parts/placement.json" && cat "$parts/placement.json"
}

run decisions 80 "$build/testing/bench/decision_benchmark" \
  --json "$parts/decisions.json"
run routing 30 "$build/testing/bench/routing_benchmark" \
  --json "$parts/routing.json"
echo "== placement"
placement || failed+=(placement)

# The parts become the members of one object.
{
  separator='{'
  for part in "$parts"/*.json; do
    [ -s "$part" ] || continue
    printf '%s\n"%s": ' "$separator" "$(basename "$part" .json)"
    cat "$part"
    separator=','
  done
  echo '}'
} >"$build/bench.json"
echo "figures: $build/bench.json"
[ ${#failed[@]} -eq 0 ] || {
  echo "failed: ${failed[*]}"
  exit 1
}
