#!/usr/bin/env bash
# idle_cost.sh SERVERS [SECONDS]
# Measures the CPU time and the resident memory of one idle instance with this
# number of stub backend servers in three data centres. Prints one JSON object.
set -uo pipefail
cd "$(dirname "$0")/../.."
# shellcheck source=testing/processes.sh
. testing/processes.sh
servers=$1 seconds=${2:-8}
per_data_centre=$((servers / 3))
per_rack=$((per_data_centre < 8 ? per_data_centre : 8))
racks=$((per_data_centre / per_rack))
sed -E "s/\"racks\": [0-9]+/\"racks\": $racks/
        s/\"serversPerRack\": [0-9]+/\"serversPerRack\": $per_rack/" \
  examples/demo.answers.json >"$work/answers.json"
start_platform
# Start the servers without waiting for each address, which takes too long with
# 96 servers.
for entry in akureyri-1:akureyri akureyri-2:akureyri reykjavik-1:reykjavik; do
  for i in $(seq 0 $((per_data_centre - 1))); do
    id=${entry%%:*}-s$i
    start "$id" "$build/testing/standins/backend_stand_in" --id "$id" \
      --platform "$platform" --data-centre "${entry%%:*}" \
      --region "${entry##*:}" --rack $((i / per_rack))
  done
done
start_instance akureyri-1-i1 akureyri-1 akureyri
cli questionnaire --answers "$work/answers.json" \
  --save-configuration "$work/configuration.json" >"$work/summary.txt" 2>&1 ||
  fail "the questionnaire failed: $(cat "$work/summary.txt")"
cli config apply "$work/configuration.json" --expected-version 0 \
  >"$work/apply.txt" || fail "the configuration was rejected"
# Within this time the instance takes its leases and fences the servers, work
# that must not be measured.
sleep 5
listed=$(cli --json servers | grep -o '"id"' | wc -l)
[ "$listed" -eq "$servers" ] || fail "$listed of $servers servers are listed"
pid=${pid_of[akureyri-1-i1]}
cpu_ticks() { awk '{print $14 + $15}' "/proc/$pid/stat"; }
before=$(cpu_ticks)
sleep "$seconds"
after=$(cpu_ticks)
resident=$(awk '/VmRSS/ {print $2}' "/proc/$pid/status")
hertz=$(getconf CLK_TCK)
printf '{"servers": %d, "processorPercent": %s, "residentKiB": %d}\n' \
  "$servers" "$(awk "BEGIN {print 100 * ($after - $before) / $hertz / $seconds}")" \
  "$resident"
