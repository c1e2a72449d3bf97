#!/usr/bin/env bash
# Starts one instance with four backend stand-ins per data centre and measures
# quotes through it and directly. quotes.sh OUTPUT
set -uo pipefail
cd "$(dirname "$0")/../.."
# shellcheck source=testing/processes.sh
. testing/processes.sh
start_platform
for place in akureyri-1:akureyri akureyri-2:akureyri reykjavik-1:reykjavik; do
  for i in 1 2 3 4; do
    start_server "${place%%:*}-s$i" "${place%%:*}" "${place##*:}" 0
  done
done
# Not listed, so no fence of an owner applies to it.
start direct "$build/testing/standins/backend_stand_in" --id direct
direct=$(await_line "$work/direct.out" '127[0-9.]+:[0-9]+')
start_instance akureyri-1-i1 akureyri-1 akureyri
configure_deployment >/dev/null 2>&1
for _ in $(seq 100); do
  cli --json submit --account blekhus --kind quote --payload '{"runMs":0}' \
    2>/dev/null | grep -q '"finished"' && break
  sleep 0.1
done
"$build/testing/bench/quote_benchmark" --server "$direct" \
  --instance "${address_of[akureyri-1-i1]}" --json "$1"
