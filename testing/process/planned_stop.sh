#!/usr/bin/env bash
# planned_stop.sh [QUOTE_RUN_TIME_MS]: without the argument, no quotes are sent.
# Guards against requests that fail when instances are shut down and replaced
# one after the other. Each caller must get a complete response, or the
# rejection "leaving" before its request was accepted (P8).
set -uo pipefail
cd "$(dirname "$0")/../.." || exit
# shellcheck source=testing/processes.sh
. testing/processes.sh

quote_ms=${1:-}
kinds=(invoice-batch proof-render ${quote_ms:+quote})

# send_requests CALLER: sends requests of all kinds in turn, each to a random
# address in $work/addresses. Prints a line for each response: "ok" with the
# kind, the address and the times of the request and the response in
# milliseconds, "leaving", "no-connection", or "failed" with the details.
send_requests() {
  local i=0 key kind run_ms address body status begin
  while [ ! -e "$work/stop" ]; do
    i=$((i + 1))
    key=$1-$i
    kind=${kinds[$((i % ${#kinds[@]}))]}
    run_ms=1500
    [ "$kind" != quote ] || run_ms=$quote_ms
    address=$(shuf -n 1 "$work/addresses")
    body=$work/body-$1
    rm -f "$body"
    begin=$(now_ms)
    status=$(curl -s --max-time 30 -o "$body" -w '%{http_code}:%{exitcode}' \
      -H "Idempotency-Key: $key" -H 'Content-Type: application/json' \
      -d "{\"account\":\"blekhus\",\"kind\":\"$kind\",
           \"payload\":\"{\\\"runMs\\\":$run_ms}\",\"waitMs\":15000}" \
      "http://$address/v1/requests")
    case $status in
      200:0)
        if jq -e --arg answer "blekhus/$key" \
          '.state == "finished" and .answer == $answer' "$body" >/dev/null; then
          echo "ok $kind $address $begin $(now_ms)"
        else
          echo "failed $kind $address $key $begin $(now_ms): $status" \
            "$(cat "$body")"
        fi
        ;;
      000:7)
        # The process has exited, so it did not accept the request.
        echo "no-connection"
        ;;
      503:0)
        if jq -e '.error.code == "leaving"' "$body" >/dev/null; then
          echo "leaving"
        else
          echo "failed $kind $address $key $begin $(now_ms): $status" \
            "$(cat "$body")"
        fi
        ;;
      *)
        echo "failed $kind $address $key $begin $(now_ms): $status" \
          "$(cat "$body" 2>&1)"
        ;;
    esac
  done
}

# Writes the addresses of all instances to $work/addresses. The file is replaced
# atomically, because callers read it.
publish_addresses() {
  for instance in "${instances[@]}"; do
    echo "${address_of[$instance]}"
  done >"$work/addresses.new"
  mv "$work/addresses.new" "$work/addresses"
}

stops=()
start_ready_deployment 1
publish_addresses
for caller in $(seq 8); do
  start "caller-$caller" send_requests "$caller"
done
sleep 1
for stopped in akureyri-1-i1 akureyri-2-i1 reykjavik-1-i1; do
  data_centre=${stopped%-i1}
  start_instance "$data_centre-i2" "$data_centre" "${data_centre%-*}"
  await_true 10 "$data_centre-i2 finished no quote" \
    answers_quote "$data_centre-i2"
  # At least one request is in progress when the instance is stopped.
  submit_to "last-$stopped" "$stopped" --kind invoice-batch --wait '15 s' \
    --idempotency-key "last-$stopped" --payload '{"runMs":1500}'
  await_true 10 "last-$stopped did not start" has_started "last-$stopped"
  begin=$(now_ms)
  stop_instance "$stopped"
  code=$?
  stops+=("${address_of[$stopped]} $begin")
  echo "$stopped exited after $(($(now_ms) - begin)) ms with code $code"
  wait "${pid_of[last-$stopped]}" ||
    fail "failed at the stop of $stopped: $(cat "$work/last-$stopped".{out,log})"
  expect_finished "$work/last-$stopped.out" "last-$stopped"
  [ $code -eq 0 ] || fail "$stopped: exit code $code: $(cat "$work/$stopped.log")"
  mapfile -t instances < <(printf '%s\n' "${instances[@]}" | grep -vx "$stopped")
  publish_addresses
done
sleep 1
touch "$work/stop"
for caller in $(seq 8); do
  wait "${pid_of[caller-$caller]}"
done
sed -E 's/^(failed|ok [^ ]*).*/\1/' "$work"/caller-*.out | sort | uniq -c
failures=$(cat "$work"/caller-*.out | grep '^failed')
if [ -n "$failures" ]; then
  printf 'stopped (address, time in ms): %s\n' "${stops[@]}"
  grep -hE 'event="?(lease|leaving|left|started)' "$work"/*-i[12].log
fi
[ -z "$failures" ] || fail "requests failed:
$failures"
twice=$(history_query -c '[.[] | select(.event == "start" and
  .kind == "invoice-batch")] | group_by(.key) | map(select(length > 1))')
[ "$twice" = "[]" ] || fail "invoice batches started twice: $twice"
for kind in "${kinds[@]}"; do
  grep -q "^ok $kind" "$work"/caller-*.out || fail "no $kind was finished"
done
