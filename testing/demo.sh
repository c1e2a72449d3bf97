#!/usr/bin/env bash
# Runs the whole system as processes on loopback and shows what happens to a
# quote, a gang, an invoice batch sent twice, and a data centre that is taken
# out and brought back. Fails when anything is not as it should be.
set -uo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=testing/processes.sh
. testing/processes.sh

# step TEXT COMMAND...: runs the command and prints its time and output.
step() {
  local text=$1 begin output code
  shift
  begin=$(date +%s%N)
  output=$("$@" 2>&1)
  code=$?
  printf '%-34s %6d ms\n' "$text" $((($(date +%s%N) - begin) / 1000000))
  [ $code -eq 0 ] || fail "$text: exit code $code: $output"
  last=${output// /}
}

expect() {
  [[ $last == *"$1"* ]] || fail "expected \"$1\" in: $last"
}

submit() {
  cli --json submit --account blekhus "$@"
}

start_deployment
step "configuration in force" configure_deployment
# Owners have to take their leases before the first request.
for _ in $(seq 100); do
  [ "$(cli --json instances | grep -o '"owns":\["' | wc -l)" -ge 1 ] && break
  sleep 0.1
done
sleep 3
step "price quote" submit --kind quote --payload '{"runMs":20}'
expect '"finished"'
step "proof render (gang of 2)" submit --kind proof-render \
  --idempotency-key render-1 --payload '{"runMs":1500}'
expect '"finished"'
step "invoice batch" submit --kind invoice-batch \
  --idempotency-key invoice-1 --payload '{"runMs":500}'
expect '"finished"'
step "the same invoice batch again" submit --kind invoice-batch \
  --idempotency-key invoice-1 --payload '{"runMs":500}'
expect '"finished"'
runs=$(history_count '"event":"start".*"key":"invoice-1"')
[ "$runs" -eq 1 ] || fail "the invoice batch ran $runs times"
step "akureyri-1 out" cli data-centre out akureyri-1 --operator demo
step "quote while it is out" submit --kind quote --payload '{"runMs":20}'
expect '"finished"'
[[ $last != *'"dataCentre":"akureyri-1"'* ]] ||
  fail "work was started in a data centre that is out"
step "akureyri-1 back" cli data-centre in akureyri-1 --operator demo
step "quote after it is back" submit --kind quote --payload '{"runMs":20}'
expect '"finished"'
for instance in "${instances[@]}"; do
  begin=$(date +%s%N)
  stop_instance "$instance" || fail "$instance ended with exit code $?"
  printf '%-34s %6d ms  exit code 0\n' "planned stop of $instance" \
    $((($(date +%s%N) - begin) / 1000000))
done
echo "all as expected"
