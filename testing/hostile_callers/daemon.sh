#!/usr/bin/env bash
# daemon.sh FORM: guards against callers of flamingoloomd that decide how much
# memory it uses, or how many descriptors, or that end it. FORM is one of
# raw_crowd's; unfinished_messages goes to the port for other instances. Checks
# no time.
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
port=${address_of[$instance]##*:}
if [ "$form" = unfinished_messages ]; then
  port=$(grep -oE -m 1 'peer=[0-9.:]+' "$work/$instance.log")
  port=${port##*:}
fi
"$build/testing/hostile_callers/raw_crowd" "$port" "$connections" "$form" ||
  fail "the crowd ended with $?"
descriptors=$(find "/proc/$pid/fd" -mindepth 1 2>/dev/null | wc -l)
await_true 40 "no ordinary request was answered" answers_quote "$instance"
kill -0 "$pid" || fail "the process has ended"
memory_mb=$(($(awk '/VmHWM/ {print $2}' "/proc/$pid/status") / 1024))
echo "peak memory $memory_mb MB, $descriptors descriptors"
[ "$memory_mb" -le "$max_memory_mb" ] || fail "peak memory above $max_memory_mb MB"
[ "$descriptors" -le "$max_descriptors" ] ||
  fail "more than $max_descriptors descriptors"
