#!/usr/bin/env bash
# Guards against subcommands that exit with another code than the documented
# one, such as success after invalid use, that fail without a message, or that
# print no JSON with --json.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit
# shellcheck source=testing/processes.sh
. testing/processes.sh

failures=0

# check CODE ARGUMENT...: runs the command line tool with and without --json.
# Counts a failure if it does not exit with this code, prints no JSON on success
# with --json, or prints no message on an error.
check() {
  local code=$1 json actual
  shift
  for json in "" --json; do
    # shellcheck disable=SC2086
    timeout 20 "$build/flamingoloom/cli/flamingoloom" \
      --server "$server" $json "$@" >"$work/out.txt" 2>"$work/err.txt"
    actual=$?
    if [ $actual -ne "$code" ]; then
      echo "exit code $actual, expected $code: $json $*:" \
        "$(cat "$work/err.txt")"
      failures=$((failures + 1))
    elif [ -n "$json" ] && [ "$code" -eq 0 ] &&
      ! jq -e . "$work/out.txt" >/dev/null 2>&1; then
      echo "no JSON output from $*: $(head -c 300 "$work/out.txt")"
      failures=$((failures + 1))
    elif [ "$code" -ne 0 ] && [ ! -s "$work/err.txt" ] &&
      [ ! -s "$work/out.txt" ]; then
      echo "no error message from $*"
      failures=$((failures + 1))
    fi
  done
}

start_deployment 1
server=${address_of[${instances[0]}]}
new=$work/new.json
check 5 config show
check 0 questionnaire --answers "$answers" --save-configuration "$new"
check 5 config diff "$new"
check 3 config diff "$work/akureyri-1-i1.json"
check 3 questionnaire --answers "$work/none.json"
check 2 questionnaire --colour pink
check 3 config apply "$work/none.json" --expected-version 0
check 6 config apply "$new" --expected-version 7
configure_deployment >"$work/configure.txt" 2>&1 ||
  fail "the configuration was not applied: $(cat "$work/configure.txt")"
await_ready
version=$(cli_at "${instances[0]}" config show | jq .version)
check 0 config show
check 2 config show more
check 0 config diff "$new"
check 3 config diff "$work/none.json"
check 3 config apply "$new"
# The first call increments the version, so the second one gets a conflict.
timeout 20 "$build/flamingoloom/cli/flamingoloom" --server "$server" --json \
  config apply "$new" --expected-version "$version" >"$work/applied.json" ||
  fail "the changed configuration was not applied"
check 6 config apply "$new" --expected-version "$version"

submit=(submit --account blekhus)
check 0 "${submit[@]}" --kind quote --payload '{"runMs":5}'
check 3 "${submit[@]}" --kind tea
check 2 submit --kind quote
check 1 "${submit[@]}" --kind invoice-batch --idempotency-key failing \
  --payload '{"fail":true}'
check 10 "${submit[@]}" --kind invoice-batch --idempotency-key long \
  --payload '{"runMs":6000}' --wait '100 ms'
check 10 status blekhus long
check 5 status blekhus none
check 10 wait blekhus long --timeout '100 ms'
check 0 wait blekhus long
check 5 wait blekhus none
check 10 "${submit[@]}" --kind proof-render --idempotency-key cut \
  --payload '{"runMs":9000}' --wait '100 ms'
check 0 cancel blekhus cut
check 5 cancel blekhus none
check 1 status blekhus cut
for view in jobs servers instances capacity; do
  check 0 $view
  check 2 $view more
done
check 0 data-centre status
check 2 data-centre
check 0 data-centre out reykjavik-1 --operator test
check 6 data-centre out reykjavik-1 --operator test --expected-version 1
check 5 data-centre out nowhere --operator test
check 0 data-centre in reykjavik-1 --operator test
check 5 data-centre in nowhere --operator test
check 0 check "$work/akureyri-1-i1.json"
check 3 check "$work/none.json"
check 2 tea
server=127.0.0.1:1
check 9 instances
check 9 config show
[ $failures -eq 0 ] || fail "$failures checks failed"
