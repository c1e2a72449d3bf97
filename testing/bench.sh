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
# The limits of all parts add up to more than this.
deadline=$((SECONDS + 180))

# limit SECONDS: prints the smaller of SECONDS and the time that is left.
limit() {
  local left=$((deadline - SECONDS))
  echo $((left < 1 ? 1 : left < $1 ? left : $1))
}

# run NAME SECONDS COMMAND...
run() {
  local name=$1 seconds=$2
  shift 2
  echo "== $name"
  timeout "$(limit "$seconds")" "$@" || failed+=("$name")
}

# Processor time and memory of an idle instance with 12, 48 and 96 servers.
idle() {
  local separator='[' servers line
  for servers in 12 48 96; do
    line=$(timeout "$(limit 20)" testing/bench/idle_cost.sh "$servers") || return 1
    echo "$line"
    printf '%s%s' "$separator" "$line" >>"$parts/idle.json"
    separator=','
  done
  echo ']' >>"$parts/idle.json"
}

placement() {
  timeout "$(limit 20)" "$build/flamingoloom/placement/placement_benchmark" --json \
    >"$parts/placement.json" && cat "$parts/placement.json"
}

run decisions 75 "$build/testing/bench/decision_benchmark" \
  --json "$parts/decisions.json"
run routing 20 "$build/testing/bench/routing_benchmark" \
  --json "$parts/routing.json"
echo "== placement"
placement || failed+=(placement)
run capacity 15 "$build/testing/bench/capacity_benchmark" \
  --json "$parts/capacity.json"
run quotes 20 testing/bench/quotes.sh "$parts/quotes.json"
echo "== idle instance"
idle || {
  failed+=(idle)
  rm -f "$parts/idle.json"
}

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
