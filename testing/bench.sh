#!/usr/bin/env bash
# Runs all benchmarks with fixed seeds, prints their tables and writes their
# results to bench.json in the build folder. Prints the names of benchmarks that
# failed or timed out at the end; the file has no results of these.
set -uo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
parts=$build/bench
mkdir -p "$parts"
rm -f "$parts"/*.json
failed=()
# Total time limit; the time limits of the benchmarks add up to more.
deadline=$((SECONDS + 180))

# limit SECONDS: prints the smaller of SECONDS and the remaining time, and at
# least 1.
limit() {
  local remaining=$((deadline - SECONDS))
  echo $((remaining < 1 ? 1 : remaining < $1 ? remaining : $1))
}

# run NAME SECONDS COMMAND...: runs a benchmark with a time limit and records
# its name in $failed if it fails.
run() {
  local name=$1 seconds=$2
  shift 2
  echo "== $name"
  timeout "$(limit "$seconds")" "$@" || failed+=("$name")
}

# Measures the CPU time and memory of an idle instance with 12, 48 and 96
# servers.
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

# Measures the placement of tasks on servers.
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

# Combine the results into one JSON object with a member for each benchmark.
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
