#!/usr/bin/env bash
# Runs the whole system as processes on loopback. Shows a quote, a gang, an
# invoice batch that is submitted twice, and a data centre that is taken out of
# service and returned to it. Fails if any step has another result than
# expected.
set -uo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=testing/processes.sh
. testing/processes.sh

# step TEXT COMMAND...: runs the command, prints its duration and keeps its
# output in $last_output. Fails if the command fails.
step() {
  local text=$1 begin output code
  shift
  begin=$(date +%s%N)
  output=$("$@" 2>&1)
  code=$?
  printf '%-34s %6d ms\n' "$text" $((($(date +%s%N) - begin) / 1000000))
  [ $code -eq 0 ] || fail "$text: exit code $code: $output"
  last_output=${output// /}
}

# expect_output TEXT: fails unless the output of the last step contains the
# text.
expect_output() {
  [[ $last_output == *"$1"* ]] || fail "expected \"$1\" in: $last_output"
}

submit() {
  cli --json submit --account blekhus "$@"
}

start_deployment
step "apply the configuration" configure_deployment
# Wait until instances own data centres before the first request.
for _ in $(seq 100); do
  [ "$(cli --json instances | grep -o '"owns":\["' | wc -l)" -ge 1 ] && break
  sleep 0.1
done
sleep 3
step "price quote" submit --kind quote --payload '{"runMs":20}'
expect_output '"finished"'
step "proof render (gang of 2)" submit --kind proof-render \
  --idempotency-key render-1 --payload '{"runMs":1500}'
expect_output '"finished"'
step "invoice batch" submit --kind invoice-batch \
  --idempotency-key invoice-1 --payload '{"runMs":500}'
expect_output '"finished"'
step "same invoice batch again" submit --kind invoice-batch \
  --idempotency-key invoice-1 --payload '{"runMs":500}'
expect_output '"finished"'
starts=$(history_count '"event":"start".*"key":"invoice-1"')
[ "$starts" -eq 1 ] || fail "the invoice batch started $starts times"
step "take akureyri-1 out of service" \
  cli data-centre out akureyri-1 --operator demo
step "quote while it is out of service" submit --kind quote \
  --payload '{"runMs":20}'
expect_output '"finished"'
[[ $last_output != *'"dataCentre":"akureyri-1"'* ]] ||
  fail "a task started in a data centre that is out of service"
step "return akureyri-1 to service" \
  cli data-centre in akureyri-1 --operator demo
step "quote after its return" submit --kind quote --payload '{"runMs":20}'
expect_output '"finished"'
for instance in "${instances[@]}"; do
  begin=$(date +%s%N)
  stop_instance "$instance" || fail "$instance exited with code $?"
  printf '%-34s %6d ms  exit code 0\n' "graceful stop of $instance" \
    $((($(date +%s%N) - begin) / 1000000))
done
echo "all checks passed"
