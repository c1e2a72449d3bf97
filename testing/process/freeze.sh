#!/usr/bin/env bash
# Guards against acknowledging that a data centre is out of service while its
# previous owner may still start tasks there. The owner is frozen (SIGSTOP)
# until its lease has expired, the data centre is taken out of service through
# another instance, and then the owner resumes (P3).
set -uo pipefail
cd "$(dirname "$0")/../.." || exit
# shellcheck source=testing/processes.sh
. testing/processes.sh

data_centre=akureyri-1
grace_ms=3000

# send_requests INSTANCE: sends unrecorded quotes and recorded invoice batches
# in turn until the file $work/stop exists.
send_requests() {
  local i=0
  while [ ! -e "$work/stop" ]; do
    i=$((i + 1))
    cli_at "$1" submit --account blekhus --kind quote --payload '{"runMs":5}' \
      >/dev/null 2>&1
    cli_at "$1" submit --account blekhus --kind invoice-batch --wait '1 s' \
      --idempotency-key "$1-$i" --payload '{"runMs":20}' >/dev/null 2>&1
  done
}

# is_out_of_service INSTANCE: whether the instance reports the data centre as
# out of service, and as acknowledged.
is_out_of_service() {
  cli_at "$1" data-centre status | jq -e --arg data_centre "$data_centre" \
    '.[] | select(.dataCentre == $data_centre) |
      .state == "out" and .acknowledged' \
    >/dev/null
}

start_ready_deployment 2
owner=$(owner_of $data_centre reykjavik-1-i1)
[ -n "$owner" ] || fail "$data_centre has no owner"
others=()
for instance in "${instances[@]}"; do
  [ "$instance" = "$owner" ] || others+=("$instance")
done
start caller-owner send_requests "$owner"
start caller-1 send_requests "${others[0]}"
start caller-2 send_requests "${others[1]}"
sleep 2
kill -STOP "${pid_of[$owner]}"
frozen_at=$(now_ms)
sleep 1

cli_at "${others[2]}" data-centre out $data_centre --operator test \
  --wait '15 s' >"$work/out.json" 2>"$work/out.log" ||
  fail "out of service not acknowledged: $(cat "$work"/out.{json,log})"
acknowledged_at=$(now_ms)
jq -e '.state == "out" and .acknowledged' "$work/out.json" >/dev/null ||
  fail "exit code 0 without acknowledgement: $(cat "$work/out.json")"
echo "acknowledged $((acknowledged_at - frozen_at)) ms after freezing the owner"

# The owner is frozen for 8 s in total, twice the duration of its lease.
remaining_ms=$((8000 - (acknowledged_at - frozen_at)))
[ $remaining_ms -le 0 ] || sleep "$(printf '%d.%03d' $((remaining_ms / 1000)) \
  $((remaining_ms % 1000)))"
kill -CONT "${pid_of[$owner]}"
resumed_at=$(now_ms)
sleep 6
touch "$work/stop"
wait "${pid_of[caller-1]}" "${pid_of[caller-2]}" "${pid_of[caller-owner]}"

late=$(history_query -c --arg data_centre "$data_centre" \
  --argjson limit $((acknowledged_at + grace_ms)) '[.[] | select(
    .event == "start" and .tMs > $limit and
    (.server | startswith($data_centre + "-s")))]')
[ "$late" = "[]" ] ||
  fail "tasks started in $data_centre later than $grace_ms ms after taking it
    out of service was acknowledged at $acknowledged_at,
    owner resumed at $resumed_at: $late"
after=$(history_query --arg data_centre "$data_centre" \
  --argjson limit "$acknowledged_at" \
  '[.[] | select(.event == "start" and .tMs > $limit and
    (.server | startswith($data_centre + "-s")))] | length')
before=$(history_query --arg data_centre "$data_centre" \
  '[.[] | select(.event == "start"
  and (.server | startswith($data_centre + "-s")))] | length')
elsewhere=$(history_query --arg data_centre "$data_centre" \
  --argjson limit "$resumed_at" \
  '[.[] | select(.event == "start" and .tMs > $limit and
    (.server | startswith($data_centre + "-s") | not))] | length')
[ "$before" -gt 0 ] || fail "no task ever started in $data_centre"
[ "$elsewhere" -gt 0 ] ||
  fail "no task started elsewhere after the owner resumed"
is_out_of_service "$owner" ||
  fail "$owner does not report $data_centre as out after it resumed"
echo "starts in $data_centre: $before, $after of them after the acknowledgement"
echo "starts elsewhere after the owner resumed: $elsewhere"
