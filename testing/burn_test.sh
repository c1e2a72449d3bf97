#!/usr/bin/env bash
# Guards against an error-budget burn report that does not add up the counts of
# all instances, or that hides or waits for instances that do not respond. Sends
# quotes, some of which exceed their target, through three daemons, and checks
# the report and the metrics. Then it kills one daemon, freezes another, and
# checks that the report names both as missing.
set -uo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=testing/processes.sh
. testing/processes.sh

in_time=6 late=3

# cli_at INSTANCE ARGUMENT...: runs the command line tool with the address of
# this instance only. Replaces the function of processes.sh, which adds --json.
cli_at() {
  "$build/flamingoloom/cli/flamingoloom" --server "${address_of[$1]}" "${@:2}"
}

# submit_quote INSTANCE RUN_MS: submits a quote and prints the response. Fails
# if the quote is late.
submit_quote() {
  cli_at "$1" --json submit --account blekhus --kind quote \
    --payload "{\"runMs\":$2}"
}

# await_quotes INSTANCE: waits until the instance finishes a quote. It belongs
# to another account, so the counts that are checked below do not include it.
await_quotes() {
  for _ in $(seq 100); do
    cli_at "$1" --json submit --account skrifstofa --kind quote \
      --payload '{"runMs":1}' 2>/dev/null | grep -q '"finished"' && return
    sleep 0.1
  done
  fail "$1 finished no quote"
}

# counts_at INSTANCE: prints the number of the quotes sent below that were in
# time and of all that completed, according to the instance's burn report.
counts_at() {
  cli_at "$1" burn >"$work/burn.txt" || fail "no burn report from $1"
  awk '$1 == "blekhus" && $2 == "quote" { print $(NF - 1), $NF }' \
    "$work/burn.txt"
}

# expect_report PATTERN: fails unless a line of the last burn report matches.
expect_report() {
  grep -qE -- "$1" "$work/burn.txt" ||
    fail "no match for \"$1\" in: $(cat "$work/burn.txt")"
}

# http_get ADDRESS PATH: prints the HTTP response with its headers.
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
  submit_quote "${instances[$((i % 3))]}" 20 >"$work/quote.txt" ||
    fail "a quote failed: $(cat "$work/quote.txt")"
done
for i in $(seq 0 $((late - 1))); do
  submit_quote "${instances[$i]}" 700 >"$work/quote.txt" 2>&1
done

# Each instance reports the same totals over all three instances.
for instance in "${instances[@]}"; do
  counts=$(counts_at "$instance")
  [ "$counts" = "$in_time $((in_time + late))" ] ||
    fail "$instance reports \"$counts\": $(cat "$work/burn.txt")"
  [ "$(grep -c '^counted by ' "$work/burn.txt")" -eq 3 ] ||
    fail "$instance does not count three instances: $(cat "$work/burn.txt")"
done
# The objective of 99% allows 1% late quotes; 3 of 9 are 33.33 times as many.
expect_report '^blekhus +quote +99% +33\.33 '
expect_report '^The history is held only in the memory'

cli_at "${instances[0]}" burn --html "$work/burn.html" >/dev/null ||
  fail "the HTML report was not written"
grep -q '<svg' "$work/burn.html" || fail "the HTML report has no plots"
grep -q '<td>33\.33</td>' "$work/burn.html" ||
  fail "the HTML report has no burn rate"

# The instance updates its metrics once per second.
sleep 1.5
http_get "${address_of[${instances[0]}]}" /metrics >"$work/metrics.txt"
for line in \
  'flamingoloom_requests_total\{account="blekhus",kind="quote",result="in_time"\} 2' \
  'flamingoloom_request_duration_seconds_bucket\{kind="quote",le="0.5"\} [1-9]'; do
  grep -qE "^$line" "$work/metrics.txt" ||
    fail "no metric matches $line: $(grep requests "$work/metrics.txt")"
done

killed=${instances[2]}
kill -KILL "${pid_of[$killed]}"
# A third of the quotes went to the killed instance, whose history was only in
# its memory.
counts=$(counts_at "${instances[0]}")
[ "$counts" = "$((in_time * 2 / 3)) $(((in_time + late) * 2 / 3))" ] ||
  fail "counts after killing $killed: \"$counts\": $(cat "$work/burn.txt")"
expect_report "^missing: $killed\.[0-9a-f]+: "
[ "$(grep -c '^counted by ' "$work/burn.txt")" -eq 2 ] ||
  fail "the report does not count two instances: $(cat "$work/burn.txt")"
# A frozen instance must not delay the report beyond its timeout.
kill -STOP "${pid_of[${instances[1]}]}"
counts=$(counts_at "${instances[0]}")
expect_report "^missing: ${instances[1]}\.[0-9a-f]+: no answer within 1 s"
cat "$work/burn.txt"
echo "all checks passed"
