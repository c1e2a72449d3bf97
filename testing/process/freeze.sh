#!/usr/bin/env bash
# Guards against a take-out that is acknowledged while a frozen owner may still
# start work: the owner is stopped past its lease, the take-out goes through
# another instance, and the owner wakes up afterwards (P3).
set -uo pipefail
cd "$(dirname "$0")/../.." || exit
# shellcheck source=testing/processes.sh
. testing/processes.sh

centre=akureyri-1
late_ms=3000

# Sends quotes and recorded invoices one after the other until the file
# $work/stop exists.
send_requests() {
  local i=0
  while [ ! -e "$work/stop" ]; do
    i=$((i + 1))
    at "$1" submit --account blekhus --kind quote --payload '{"runMs":5}' \
      >/dev/null 2>&1
    at "$1" submit --account blekhus --kind invoice-batch --wait '1 s' \
      --idempotency-key "$1-$i" --payload '{"runMs":20}' >/dev/null 2>&1
  done
}

is_out() {
  at "$1" data-centre status | jq -e --arg centre "$centre" \
    '.[] | select(.dataCentre == $centre) | .state == "out" and .acknowledged' \
    >/dev/null
}

start_ready_deployment 2
owner=$(owner_of $centre reykjavik-1-i1)
[ -n "$owner" ] || fail "$centre has no owner"
others=()
for instance in "${instances[@]}"; do
  [ "$instance" = "$owner" ] || others+=("$instance")
done
start caller-owner send_requests "$owner"
start caller-1 send_requests "${others[0]}"
start caller-2 send_requests "${others[1]}"
sleep 2
kill -STOP "${pid_of[$owner]}"
stopped=$(now_ms)
sleep 1

at "${others[2]}" data-centre out $centre --operator test --wait '15 s' \
  >"$work/out.json" 2>"$work/out.log" ||
  fail "the take-out was not acknowledged: $(cat "$work"/out.{json,log})"
acknowledged=$(now_ms)
jq -e '.state == "out" and .acknowledged' "$work/out.json" >/dev/null ||
  fail "exit code 0 without acknowledgement: $(cat "$work/out.json")"
echo "acknowledged $((acknowledged - stopped)) ms after the owner stopped"

# The owner stays stopped for 8 s in all, twice its lease.
left=$((8000 - (acknowledged - stopped)))
[ $left -le 0 ] || sleep "$(printf '%d.%03d' $((left / 1000)) $((left % 1000)))"
kill -CONT "${pid_of[$owner]}"
woken=$(now_ms)
sleep 6
touch "$work/stop"
wait "${pid_of[caller-1]}" "${pid_of[caller-2]}" "${pid_of[caller-owner]}"

late=$(history_query -c --arg centre "$centre" \
  --argjson limit $((acknowledged + late_ms)) '[.[] | select(
    .event == "start" and .tMs > $limit and
    (.server | startswith($centre + "-s")))]')
[ "$late" = "[]" ] ||
  fail "tasks started in $centre later than $late_ms ms after the take-out
    was acknowledged at $acknowledged, owner woken at $woken: $late"
after=$(history_query --arg centre "$centre" --argjson limit "$acknowledged" \
  '[.[] | select(.event == "start" and .tMs > $limit and
    (.server | startswith($centre + "-s")))] | length')
before=$(history_query --arg centre "$centre" '[.[] | select(.event == "start"
  and (.server | startswith($centre + "-s")))] | length')
elsewhere=$(history_query --arg centre "$centre" --argjson limit "$woken" \
  '[.[] | select(.event == "start" and .tMs > $limit and
    (.server | startswith($centre + "-s") | not))] | length')
[ "$before" -gt 0 ] || fail "no task ever started in $centre"
[ "$elsewhere" -gt 0 ] || fail "no task started elsewhere after the wake-up"
is_out "$owner" || fail "$owner does not show $centre as out after it woke up"
echo "starts in $centre: $before, of these $after after the acknowledgement"
echo "starts elsewhere after the owner woke up: $elsewhere"
