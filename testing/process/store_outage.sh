#!/usr/bin/env bash
# Guards against wrong responses while the store is down, or while it applies
# writes but drops its responses: an invoice batch that is reported as not run
# and runs later, one that runs twice, and an accepted request that never
# completes (P5, P6).
set -uo pipefail
cd "$(dirname "$0")/../.." || exit
# shellcheck source=testing/processes.sh
. testing/processes.sh

# send_quotes INSTANCE: sends quotes one after the other until the file
# $work/stop exists, and prints the time at which each was finished, in ms.
send_quotes() {
  while [ ! -e "$work/stop" ]; do
    if answers_quote "$1"; then now_ms; else sleep 0.02; fi
  done
}

# quotes_per_second FROM TO: prints the rate of finished quotes between two
# times in ms.
quotes_per_second() {
  cat "$work"/quotes-*.out | awk -v from="$1" -v to="$2" \
    '$1 >= from && $1 < to { n++ } END { printf "%.1f", n * 1000 / (to - from) }'
}

# has_completed KEY: whether the request has completed with any outcome. The
# response is written to $work/KEY.end.
has_completed() {
  cli_at reykjavik-1-i1 wait blekhus "$1" --timeout '1 s' \
    >"$work/$1.end" 2>/dev/null
  case $? in
    0 | 1 | 8) jq -e '.state != "pending"' "$work/$1.end" >/dev/null ;;
    *) return 1 ;;
  esac
}

# check_invoice KEY: fails if the invoice batch started more than once, or if it
# started although the response said that it did not run.
check_invoice() {
  local starts
  starts=$(history_count '"event":"start".*"key":"'"$1"'"')
  [ "$starts" -le 1 ] || fail "$1 started $starts times"
  if jq -e '.state == "refused" or .ran == "no"' "$work/$1.out" \
    >/dev/null 2>&1; then
    [ "$starts" -eq 0 ] ||
      fail "$1 was reported as not run but ran: $(cat "$work/$1.out")"
  fi
}

start_ready_deployment 1
for instance in "${instances[@]}"; do
  start "quotes-$instance" send_quotes "$instance"
done
submit_to render-1 akureyri-1-i1 --kind proof-render \
  --idempotency-key render-1 --payload '{"runMs":6000}' --wait '30 s'
await_true 8 "the render did not start" has_started render-1 2
sleep 2

begin=$(now_ms)
set_store_fault down
for i in 1 2 3; do
  submit_to "down-$i" akureyri-2-i1 --kind invoice-batch --wait '2 s' \
    --idempotency-key "down-$i" --payload '{"runMs":100}'
done
sleep 10
end=$(now_ms)
set_store_fault up
sleep 5
after=$(now_ms)
touch "$work/stop"
before=$(quotes_per_second $((begin - 2000)) "$begin")
first=$(quotes_per_second "$begin" $((begin + 3000)))
during=$(quotes_per_second "$begin" "$end")
echo "quotes per second: $before before, $during during the outage (of this" \
  "$first in the first 3 s), $(quotes_per_second $((end + 3000)) "$after")" \
  "from 3 s after it"
wait "${pid_of[render-1]}" ||
  fail "render: exit code $?: $(cat "$work"/render-1.{out,log})"
expect_finished "$work/render-1.out" render-1
for i in 1 2 3; do
  wait "${pid_of[down-$i]}"
  # The caller retries with the same key, as the response asks it to.
  cli_at akureyri-1-i1 submit --account blekhus --kind invoice-batch \
    --idempotency-key "down-$i" --payload '{"runMs":100}' --wait '8 s' \
    >"$work/down-$i.again" 2>&1 ||
    fail "retry of down-$i: $(cat "$work/down-$i.again")"
  check_invoice "down-$i"
done

set_store_fault losesAnswers
for i in $(seq 6); do
  submit_to "lost-$i" "${instances[$((i % 3))]}" --kind invoice-batch \
    --idempotency-key "lost-$i" --payload '{"runMs":100}' --wait '2 s'
  sleep 1
done
sleep 4
set_store_fault up
for i in $(seq 6); do
  wait "${pid_of[lost-$i]}"
  echo "lost-$i: first response $(jq -r '.state // "none"' "$work/lost-$i.out")"
  # A request whose row was never written is unknown to the other instances, so
  # only a request that started or is pending must complete.
  if [ "$(history_count '"key":"'"lost-$i"'"')" -gt 0 ] ||
    jq -e '.state == "pending"' "$work/lost-$i.out" >/dev/null; then
    await_true 8 "lost-$i did not complete" has_completed "lost-$i"
  fi
  check_invoice "lost-$i"
done
