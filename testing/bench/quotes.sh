#!/usr/bin/env bash
# quotes.sh OUTPUT
# Measures quotes through one instance, with four stub backend servers per data
# centre, and quotes sent directly to a stub backend server. Writes the results
# as JSON to the file OUTPUT.
set -uo pipefail
cd "$(dirname "$0")/../.."
# shellcheck source=testing/processes.sh
. testing/processes.sh
start_platform
for entry in akureyri-1:akureyri akureyri-2:akureyri reykjavik-1:reykjavik; do
  for i in 1 2 3 4; do
    start_server "${entry%%:*}-s$i" "${entry%%:*}" "${entry##*:}" 0
  done
done
# This server is not announced to the platform, so no owner fences it.
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
