#!/usr/bin/env bash
# Guards against invalid input from callers, operators, peers and settings files
# that crashes a daemon, is rejected without naming the invalid field, or causes
# a log line that contains a secret key.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit
# shellcheck source=testing/processes.sh
. testing/processes.sh

caller_key=caller-key-4f1c
operator_key=operator-key-9a2e
wrong_key=wrong-key-77d0

digest() {
  printf '%s' "$1" | sha256sum | cut -d' ' -f1
}

# expect_error STATUS CODE FIELD PATH [CURL OPTION...]: sends an HTTP request to
# the first instance. Fails unless the response has this status, error code and
# field, and names the step and the peer.
expect_error() {
  local status=$1 code=$2 field=$3 path=$4 actual
  shift 4
  actual=$(curl -s --max-time 10 -o "$work/body" -w '%{http_code}' "$@" \
    "http://${address_of[${instances[0]}]}$path")
  echo "$path $field: $actual $(cat "$work/body")"
  [ "$actual" = "$status" ] ||
    fail "$path: expected status $status, got $actual"
  jq -e --arg code "$code" --arg field "$field" '.error | .code == $code and
    .field == $field and .step != "" and .peer != "" and .message != ""' \
    "$work/body" >/dev/null || fail "$path: expected code $code, field $field"
}

# expect_submission_rejected STATUS CODE FIELD BODY [CURL OPTION...]: as
# expect_error, for the submission of a request with this body.
expect_submission_rejected() {
  local status=$1 code=$2 field=$3 body=$4
  shift 4
  expect_error "$status" "$code" "$field" /v1/requests -X POST \
    -H 'Content-Type: application/json' -d "$body" "$@"
}

# submission ACCOUNT KIND [PAYLOAD]: prints the JSON body of a submission.
submission() {
  jq -cn --arg account "$1" --arg kind "$2" --arg payload "${3:-}" \
    '{account: $account, kind: $kind, payload: $payload, waitMs: 5000}'
}

# expect_exit CODE PATTERN COMMAND...: runs the command. Fails unless it exits
# with this code and a line of its output matches.
expect_exit() {
  local code=$1 pattern=$2 actual
  shift 2
  timeout 15 "$@" >"$work/output" 2>&1
  actual=$?
  [ $actual -eq "$code" ] ||
    fail "exit code $actual, expected $code: $*: $(cat "$work/output")"
  grep -qE "$pattern" "$work/output" ||
    fail "no match for \"$pattern\" in the output of $*: $(cat "$work/output")"
}

# expect_settings_rejected FIELD JQ_FILTER: makes settings invalid with the
# filter. Fails unless the daemon and the command line tool both reject them and
# name the field.
expect_settings_rejected() {
  jq "$2" "$work/${instances[0]}.json" >"$work/bad.json"
  expect_exit 2 "$1" "$build/flamingoloom/daemon/flamingoloomd" "$work/bad.json"
  expect_exit 3 "$1" "$build/flamingoloom/cli/flamingoloom" check \
    "$work/bad.json"
}

extra_settings=",
  \"keys\": {\"operatorKeySha256\": \"$(digest $operator_key)\"}"
answers=$work/answers.json
jq --arg digest "$(digest $caller_key)" \
  '(.accounts[] | select(.name == "blekhus")).keySha256 = $digest' \
  examples/demo.answers.json >"$answers"
start_deployment 1
export FLAMINGOLOOM_KEY=$operator_key
configure_deployment >"$work/configure.txt" 2>&1 ||
  fail "the configuration was not applied: $(cat "$work/configure.txt")"
FLAMINGOLOOM_KEY=$caller_key
await_true 15 "no quote was finished" answers_quote "${instances[0]}"

echo "--- HTTP"
key=(-H "Authorization: Bearer $caller_key")
expect_submission_rejected 400 invalid body 'no JSON' "${key[@]}"
expect_submission_rejected 400 invalid body '["list"]' "${key[@]}"
expect_submission_rejected 400 invalid kind '{"account":"blekhus"}' "${key[@]}"
expect_submission_rejected 400 invalid /kind \
  "$(submission blekhus tea)" "${key[@]}"
expect_submission_rejected 400 invalid /account \
  "$(submission nobody quote)" "${key[@]}"
expect_submission_rejected 400 invalid Idempotency-Key \
  "$(submission blekhus invoice-batch)" "${key[@]}"
expect_submission_rejected 400 invalid Idempotency-Key \
  "$(submission blekhus invoice-batch)" "${key[@]}" \
  -H 'Idempotency-Key: two words'
curl -s --max-time 10 "${key[@]}" -H 'Idempotency-Key: once' \
  -H 'Content-Type: application/json' \
  -d "$(submission blekhus invoice-batch '{"runMs":50}')" -o "$work/first" \
  "http://${address_of[${instances[0]}]}/v1/requests" ||
  fail "no response to the invoice batch"
expect_finished "$work/first" once
expect_submission_rejected 409 conflict Idempotency-Key \
  "$(submission blekhus invoice-batch '{"runMs":51}')" "${key[@]}" \
  -H 'Idempotency-Key: once'
head -c 2000000 /dev/zero | tr '\0' x >"$work/large"
expect_error 413 invalid body /v1/requests -X POST "${key[@]}" \
  -H 'Content-Type: application/json' --data-binary "@$work/large"
expect_error 404 not_found path /v1/nothing
expect_error 405 invalid method /v1/requests -X PUT -d '{}'
expect_error 404 not_found key /v1/requests/blekhus/never "${key[@]}"
expect_submission_rejected 401 denied Authorization \
  "$(submission blekhus quote)"
expect_submission_rejected 401 denied Authorization \
  "$(submission blekhus quote)" \
  -H "Authorization: Bearer $wrong_key"
expect_submission_rejected 401 denied Authorization \
  "$(submission blekhus quote)" \
  -H "Authorization: Basic $wrong_key"
for path in datacentres config instances servers jobs capacity; do
  expect_error 401 denied Authorization /v1/$path \
    -H "Authorization: Bearer $wrong_key"
  # The key of a caller does not authorise operator requests.
  expect_error 401 denied Authorization /v1/$path "${key[@]}"
  jq -e '.error.peer == "operator"' "$work/body" >/dev/null ||
    fail "the error does not name the operator as the peer: $(cat "$work/body")"
done

echo "--- command line"
flamingoloom=("$build/flamingoloom/cli/flamingoloom"
  --server "${address_of[${instances[0]}]}")
submit=("${flamingoloom[@]}" submit --account blekhus)
expect_exit 3 '/kind' "${submit[@]}" --kind tea
expect_exit 3 '/account' "${flamingoloom[@]}" submit --account nobody \
  --kind quote
expect_exit 6 'Idempotency-Key' "${submit[@]}" --kind invoice-batch \
  --payload '{"runMs":52}' --idempotency-key once
expect_exit 3 'Idempotency-Key' "${submit[@]}" --kind invoice-batch \
  --idempotency-key 'two words'
expect_exit 3 'body' "${submit[@]}" --kind quote --payload-file "$work/large"
expect_exit 4 'Authorization' "${flamingoloom[@]}" instances
FLAMINGOLOOM_KEY=$wrong_key
expect_exit 4 'Authorization' "${submit[@]}" --kind quote
expect_exit 4 'Authorization' "${flamingoloom[@]}" config show
expect_exit 4 'Authorization' "${flamingoloom[@]}" data-centre out akureyri-1 \
  --operator test --expected-version 0

echo "--- settings"
expect_settings_rejected 'colour' '.colour = "pink"'
expect_settings_rejected '/instance.*colour' '.instance.colour = "pink"'
expect_settings_rejected '/instance/id' '.instance.id = "two words"'
expect_settings_rejected '/listen/httpAddress' '.listen.httpAddress = "here"'
expect_settings_rejected '/limits/httpThreads' '.limits.httpThreads = 0'
expect_settings_rejected '/keys/operatorKeySha256' \
  '.keys.operatorKeySha256 = "short"'
expect_settings_rejected 'platform' 'del(.platform)'
echo 'no JSON' >"$work/bad.json"
expect_exit 2 'bad.json|JSON' "$build/flamingoloom/daemon/flamingoloomd" \
  "$work/bad.json"

echo "--- peer port"
for instance in "${instances[@]}"; do
  peer=$(await_line "$work/$instance.log" 'peer=[0-9.:]+' | cut -d= -f2)
  for bytes in 1 8 4096 65536; do
    for source in /dev/urandom /dev/zero; do
      # The subshell contains the SIGPIPE that follows if the daemon closes the
      # connection before everything is written.
      (head -c $bytes $source >"/dev/tcp/${peer%:*}/${peer#*:}") 2>/dev/null
    done
  done
  (printf 'GET / HTTP/1.1\r\n\r\n' >"/dev/tcp/${peer%:*}/${peer#*:}") \
    2>/dev/null
done
sleep 1

FLAMINGOLOOM_KEY=$caller_key
for instance in "${instances[@]}"; do
  kill -0 "${pid_of[$instance]}" 2>/dev/null || fail "$instance has exited"
  await_true 5 "$instance no longer finishes quotes" answers_quote "$instance"
  cli_at "$instance" submit --account blekhus --kind invoice-batch \
    --idempotency-key "last-$instance" --payload '{"runMs":20}' \
    >"$work/last.out" 2>&1 || fail "$instance: $(cat "$work/last.out")"
done
for instance in "${instances[@]}"; do
  stop_instance "$instance" || fail "$instance exited with code $?"
done
for secret in "$caller_key" "$operator_key" "$wrong_key"; do
  if grep -lF "$secret" "$work"/*.log "$work"/*.out; then
    fail "a secret key is in a log"
  fi
done
