#!/usr/bin/env bash
# Runs three daemons as processes on loopback, sends quotes of which some are
# late through all of them, and checks the burn report and the metrics. Then it
# kills one daemon, freezes another, and checks that the report names both as
# missing.
set -uo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=testing/processes.sh
. testing/processes.sh

in_time=6 late=3

# at INSTANCE ARGUMENT...: the command line tool with one instance only.
at() {
  "$build/flamingoloom/cli/flamingoloom" --server "${address_of[$1]}" "${@:2}"
}

# quote INSTANCE RUN_MS: prints the answer; a late quote makes it fail.
quote() {
  at "$1" --json submit --account blekhus --kind quote \
    --payload "{\"runMs\":$2}"
}

# await_quotes INSTANCE: until a quote of another account is answered there.
await_quotes() {
  for _ in $(seq 100); do
    at "$1" --json submit --account skrifstofa --kind quote \
      --payload '{"runMs":1}' 2>/dev/null | grep -q '"finished"' && return
    sleep 0.1
  done
  fail "$1 answers no quotes"
}

# counts_at INSTANCE: the counts of the quotes sent below, as "in-time ended".
counts_at() {
  at "$1" burn >"$work/burn.txt" || fail "burn failed at $1"
  awk '$1 == "blekhus" && $2 == "quote" { print $(NF - 1), $NF }' \
    "$work/burn.txt"
}

expect_report() {
  grep -qE -- "$1" "$work/burn.txt" ||
    fail "expected \"$1\" in: $(cat "$work/burn.txt")"
}

# http_get ADDRESS PATH: prints the response.
http_get() {
  exec 3<>"/dev/tcp/${1%:*}/${1##*:}" || fail "cannot connect to $1"
  printf 'GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n' "$2" "$1" >&3
  timeout 5 cat <&3
  exec 3>&-
}

start_deployment 1
configure_deployment
for instance in "${instances[@]}"; do await_quotes "$instance"; done

for i in $(seq 0 $((in_time - 1))); do
  quote "${instances[$((i % 3))]}" 20 >"$work/quote.txt" ||
    fail "a quote failed: $(cat "$work/quote.txt")"
done
for i in $(seq 0 $((late - 1))); do
  quote "${instances[$i]}" 700 >"$work/quote.txt" 2>&1
done

# Every instance gives the same report, over the counts of all three.
for instance in "${instances[@]}"; do
  counts=$(counts_at "$instance")
  [ "$counts" = "$in_time $((in_time + late))" ] ||
    fail "$instance reports \"$counts\": $(cat "$work/burn.txt")"
  [ "$(grep -c '^counted by ' "$work/burn.txt")" -eq 3 ] ||
    fail "$instance does not name three instances: $(cat "$work/burn.txt")"
done
# 3 bad of 9 against 1% allowed.
expect_report '^blekhus +quote +99% +33\.33 '
expect_report '^The history is held only in the memory'

at "${instances[0]}" burn --html "$work/burn.html" >/dev/null ||
  fail "the page was not written"
grep -q '<svg' "$work/burn.html" || fail "the page has no plots"
grep -q '<td>33\.33</td>' "$work/burn.html" || fail "the page has no rates"

# The metrics are refreshed once a second.
sleep 1.5
http_get "${address_of[${instances[0]}]}" /metrics >"$work/metrics.txt"
for line in \
  'flamingoloom_requests_total\{account="blekhus",kind="quote",result="in_time"\} 2' \
  'flamingoloom_request_duration_seconds_bucket\{kind="quote",le="0.5"\} [1-9]'; do
  grep -qE "^$line" "$work/metrics.txt" ||
    fail "no metric like $line: $(grep requests "$work/metrics.txt")"
done

victim=${instances[2]}
kill -KILL "${pid_of[$victim]}"
# A third of the quotes went to the killed instance, and its history is lost.
counts=$(counts_at "${instances[0]}")
[ "$counts" = "$((in_time * 2 / 3)) $(((in_time + late) * 2 / 3))" ] ||
  fail "after the kill: \"$counts\": $(cat "$work/burn.txt")"
expect_report "^missing: $victim\.[0-9a-f]+: "
[ "$(grep -c '^counted by ' "$work/burn.txt")" -eq 2 ] ||
  fail "the killed instance is named as counting: $(cat "$work/burn.txt")"
# An instance that is frozen must not hold the report up.
kill -STOP "${pid_of[${instances[1]}]}"
counts=$(counts_at "${instances[0]}")
expect_report "^missing: ${instances[1]}\.[0-9a-f]+: no answer within 1 s"
cat "$work/burn.txt"
echo "all as expected"
