#!/usr/bin/env bash
# daemon.sh FORM: guards against callers of flamingoloomd that decide how much
# memory it uses, or how many descriptors, or that end it. FORM is one of
# raw_crowd's, of which unfinished_messages goes to the port for other
# instances, or recorded_requests. Checks no time.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit
# shellcheck source=testing/processes.sh
. testing/processes.sh

form=$1
connections=200
# Half of a machine of 256 MB.
max_memory_mb=128
max_descriptors=300

start_deployment 1
configure_deployment
await_ready
instance=${instances[0]}
pid=${pid_of[$instance]}
# Hands in requests that run for a minute, each on record under its own key and
# with a payload of 60 KB, from eight connections.
hand_in_recorded_requests() {
  local callers=8 requests=300 curls=() padding
  padding=$(head -c 60000 /dev/zero | tr '\0' x)
  jq -cn --arg payload "{\"runMs\":60000,\"padding\":\"$padding\"}" \
    '{account: "blekhus", kind: "invoice-batch", payload: $payload,
      waitMs: 0}' >"$work/body"
  for caller in $(seq "$callers"); do
    for request in $(seq "$requests"); do
      printf 'url = "http://%s/v1/requests"\nrequest = POST\n' \
        "${address_of[$instance]}"
      printf 'header = "Content-Type: application/json"\n'
      printf 'header = "Idempotency-Key: %d-%d"\n' "$caller" "$request"
      printf 'data = "@%s"\noutput = /dev/null\nsilent\nnext\n' "$work/body"
    done | sed '$d' >"$work/caller-$caller"
    timeout 60 curl -K "$work/caller-$caller" &
    curls+=($!)
  done
  wait "${curls[@]}"
}

port=${address_of[$instance]##*:}
if [ "$form" = unfinished_messages ]; then
  port=$(grep -oE -m 1 'peer=[0-9.:]+' "$work/$instance.log")
  port=${port##*:}
fi
if [ "$form" = recorded_requests ]; then
  hand_in_recorded_requests
else
  "$build/testing/hostile_callers/raw_crowd" "$port" "$connections" "$form" ||
    fail "the crowd ended with $?"
fi
descriptors=$(find "/proc/$pid/fd" -mindepth 1 2>/dev/null | wc -l)
await_true 40 "no ordinary request was answered" answers_quote "$instance"
kill -0 "$pid" || fail "the process has ended"
memory_mb=$(($(awk '/VmHWM/ {print $2}' "/proc/$pid/status") / 1024))
echo "peak memory $memory_mb MB, $descriptors descriptors"
[ "$memory_mb" -le "$max_memory_mb" ] || fail "peak memory above $max_memory_mb MB"
[ "$descriptors" -le "$max_descriptors" ] ||
  fail "more than $max_descriptors descriptors"
