#!/usr/bin/env bash
# Guards against requests that are cut when instances are stopped one after the
# other and replaced: each caller gets a complete answer, or the refusal
# "leaving" before its request was accepted (P8).
set -uo pipefail
cd "$(dirname "$0")/../.." || exit
# shellcheck source=testing/processes.sh
. testing/processes.sh

# send_requests CALLER: sends quotes, renders and invoices in turn to each
# instance named in $work/addresses, and writes a line for each answer: "ok"
# with the kind, the address and the times of sending and answer in
# milliseconds, "leaving", "no-connection", or "cut" with the details.
send_requests() {
  local i=0 key kind run address body status begin
  while [ ! -e "$work/stop" ]; do
    i=$((i + 1))
    key=$1-$i
    case $((i % 3)) in
      0) kind=quote run=50 ;;
      1) kind=invoice-batch run=1500 ;;
      2) kind=proof-render run=1500 ;;
    esac
    address=$(shuf -n 1 "$work/addresses")
    body=$work/body-$1
    rm -f "$body"
    begin=$(now_ms)
    status=$(curl -s --max-time 30 -o "$body" -w '%{http_code}:%{exitcode}' \
      -H "Idempotency-Key: $key" -H 'Content-Type: application/json' \
      -d "{\"account\":\"blekhus\",\"kind\":\"$kind\",
           \"payload\":\"{\\\"runMs\\\":$run}\",\"waitMs\":15000}" \
      "http://$address/v1/requests")
    case $status in
      200:0)
        if jq -e --arg answer "blekhus/$key" \
          '.state == "finished" and .answer == $answer' "$body" >/dev/null; then
          echo "ok $kind $address $begin $(now_ms)"
        else
          echo "cut $kind $address $key: $status $(cat "$body")"
        fi
        ;;
      000:7)
        # The process has ended: nothing was accepted.
        echo "no-connection"
        ;;
      503:0)
        if jq -e '.error.code == "leaving"' "$body" >/dev/null; then
          echo "leaving"
        else
          echo "cut $kind $address $key: $status $(cat "$body")"
        fi
        ;;
      *) echo "cut $kind $address $key: $status $(cat "$body" 2>&1)" ;;
    esac
  done
}

# Names the instances that callers may use.
publish() {
  for instance in "${instances[@]}"; do
    echo "${address_of[$instance]}"
  done >"$work/addresses.new"
  mv "$work/addresses.new" "$work/addresses"
}

stops=()
start_ready_deployment 1
publish
for caller in $(seq 8); do
  start "caller-$caller" send_requests "$caller"
done
sleep 1
for stopped in akureyri-1-i1 akureyri-2-i1 reykjavik-1-i1; do
  centre=${stopped%-i1}
  start_instance "$centre-i2" "$centre" "${centre%-*}"
  await_true 10 "$centre-i2 answers no quote" answers_quote "$centre-i2"
  begin=$(now_ms)
  stop_instance "$stopped"
  code=$?
  stops+=("${address_of[$stopped]} $begin")
  echo "$stopped ended after $(($(now_ms) - begin)) ms with exit code $code"
  [ $code -eq 0 ] || fail "$stopped: exit code $code: $(cat "$work/$stopped.log")"
  mapfile -t instances < <(printf '%s\n' "${instances[@]}" | grep -vx "$stopped")
  publish
done
sleep 1
touch "$work/stop"
for caller in $(seq 8); do
  wait "${pid_of[caller-$caller]}"
done
sed -E 's/^(cut|ok [^ ]*).*/\1/' "$work"/caller-*.out | sort | uniq -c
cut=$(cat "$work"/caller-*.out | grep '^cut')
[ -z "$cut" ] || fail "requests were cut:
$cut"
# Without a request in progress at the stop the test shows nothing.
for stop in "${stops[@]}"; do
  cat "$work"/caller-*.out | awk -v address="${stop% *}" -v at="${stop#* }" \
    '$1 == "ok" && $3 == address && $4 < at && $5 > at { n++ }
     END { print n + 0 " requests in progress at the stop of " address
           exit n == 0 }' || fail "no request was in progress at a stop"
done
twice=$(history_query -c '[.[] | select(.event == "start" and
  .kind == "invoice-batch")] | group_by(.key) | map(select(length > 1))')
[ "$twice" = "[]" ] || fail "invoice batches started twice: $twice"
for kind in quote invoice-batch proof-render; do
  grep -q "^ok $kind" "$work"/caller-*.out || fail "no $kind was answered"
done
