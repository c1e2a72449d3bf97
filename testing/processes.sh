# Functions that start the daemons and stub servers as processes on loopback,
# for the demo, the process tests and the benchmarks. To be sourced; stop_all
# then runs when the shell exits.
#
# All processes listen on free ports. The address of a stub server is read from
# its first line of output, that of a daemon from its log.

build=${BUILD_DIR:-build}
work=$(mktemp -d)
pids=()
instances=()
declare -A pid_of address_of

fail() {
  echo "error: $*" >&2
  exit 1
}

# Kills all processes started with start, also stopped ones, and removes their
# files.
stop_all() {
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null; done
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$work"
}
trap stop_all EXIT

# start NAME COMMAND...: runs the command in the background with its standard
# output in $work/NAME.out and its standard error in $work/NAME.log.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.log" &
  pids+=($!)
  pid_of[$name]=$!
}

# await_line FILE PATTERN: waits up to 10 s for a match in the file and prints
# the first one. Fails if there is none.
await_line() {
  local match
  for _ in $(seq 200); do
    match=$(grep -oE -m 1 "$2" "$1" 2>/dev/null) && {
      echo "$match"
      return
    }
    sleep 0.05
  done
  fail "no match for $2 in $1 within 10 s: $(tail -n 5 "$1")"
}

start_platform() {
  start platform "$build/testing/standins/platform_stand_in" \
    --list-lag-ms "${LIST_LAG_MS:-500}"
  platform=$(await_line "$work/platform.out" '127[0-9.]+:[0-9]+')
}

# start_server ID DATA_CENTRE REGION RACK [OPTION...]: starts a stub backend
# server; the options are passed on to it.
start_server() {
  local id=$1 data_centre=$2 region=$3 rack=$4
  shift 4
  start "$id" "$build/testing/standins/backend_stand_in" --id "$id" \
    --platform "$platform" --data-centre "$data_centre" --region "$region" \
    --rack "$rack" --history-file "$work/$id.history" "$@"
  address_of[$id]=$(await_line "$work/$id.out" '127[0-9.]+:[0-9]+')
}

# start_instance ID DATA_CENTRE REGION: starts an instance. The variable
# extra_settings may hold more members of its settings, such as
# ", \"keys\": {...}".
start_instance() {
  cat >"$work/$1.json" <<SETTINGS
{
  "instance": {"id": "$1", "dataCentre": "$2", "region": "$3"},
  "listen": {"httpAddress": "127.0.0.1:0", "peerAddress": "127.0.0.1:0"},
  "platform": {"address": "$platform"}${extra_settings:-}
}
SETTINGS
  start "$1" "$build/flamingoloom/daemon/flamingoloomd" "$work/$1.json"
  address_of[$1]=$(await_line "$work/$1.log" 'http=[0-9.:]+' | cut -d= -f2)
  instances+=("$1")
}

# stop_instance ID: shuts the instance down gracefully and returns its exit
# code. Must not be called in a subshell, which cannot wait for the process.
stop_instance() {
  kill -TERM "${pid_of[$1]}"
  wait "${pid_of[$1]}"
}

# cli ARGUMENT...: runs the command line tool with the addresses of all
# instances.
cli() {
  local servers=()
  for instance in "${instances[@]}"; do
    servers+=(--server "${address_of[$instance]}")
  done
  "$build/flamingoloom/cli/flamingoloom" "${servers[@]}" "$@"
}

# The answers to the questionnaire, and its data centres as DATA_CENTRE:REGION.
answers=examples/demo.answers.json
data_centres=(akureyri-1:akureyri akureyri-2:akureyri reykjavik-1:reykjavik)
# The size of each data centre.
racks_per_data_centre=1
servers_per_rack=4

# start_deployment [INSTANCES [OPTION...]]: starts the deployment of $answers:
# all data centres, each with its stub backend servers and this many instances
# (default 1). The options are passed on to the backend servers.
start_deployment() {
  local count=${1:-1} rest=${*:2}
  start_platform
  for entry in "${data_centres[@]}"; do
    local data_centre=${entry%%:*} region=${entry##*:}
    for i in $(seq $((racks_per_data_centre * servers_per_rack))); do
      # shellcheck disable=SC2086
      start_server "$data_centre-s$i" "$data_centre" "$region" \
        $(((i - 1) / servers_per_rack)) $rest
    done
    for i in $(seq "$count"); do
      start_instance "$data_centre-i$i" "$data_centre" "$region"
    done
  done
}

# Generates the configuration from the answers and applies it.
configure_deployment() {
  cli questionnaire --answers "$answers" \
    --save-configuration "$work/configuration.json" >"$work/summary.txt" ||
    fail "the questionnaire failed: $(cat "$work/summary.txt")"
  cli config apply "$work/configuration.json" --expected-version 0 ||
    fail "the configuration was rejected"
}

# history_count PATTERN: prints the number of lines in the histories of all
# backend servers that match.
history_count() {
  cat "$work"/*.history 2>/dev/null | grep -cE "$1" || true
}

# cli_at INSTANCE ARGUMENT...: runs the command line tool with --json and the
# address of this instance only.
cli_at() {
  local instance=$1
  shift
  "$build/flamingoloom/cli/flamingoloom" \
    --server "${address_of[$instance]}" --json "$@"
}

# owner_of DATA_CENTRE INSTANCE: prints the id of the instance that owns the
# data centre, as in its settings, according to the instance that is queried.
# Prints nothing if that one knows of no owner.
owner_of() {
  cli_at "$2" instances | jq -r --arg data_centre "$1" \
    '.instances[] | select(.owns | index($data_centre)) | .id' |
    sed -E 's/\.[0-9a-f]{8}$//'
}

# await_true SECONDS TEXT COMMAND...: repeats the command until it succeeds.
# Fails with the text on a timeout.
await_true() {
  local end=$((SECONDS + $1)) text=$2
  shift 2
  until "$@"; do
    [ $SECONDS -lt "$end" ] || fail "$text"
    sleep 0.1
  done
}

# is_owned DATA_CENTRE INSTANCE: whether the instance knows an owner of the data
# centre.
is_owned() {
  [ -n "$(owner_of "$1" "$2")" ]
}

# The account and kind of the requests that test whether an instance is ready.
# They must be unrecorded or safe to run twice.
probe_request=(--account blekhus --kind quote)

# answers_quote INSTANCE: whether the instance finishes such a request.
answers_quote() {
  cli_at "$1" submit "${probe_request[@]}" --payload '{"runMs":1}' \
    >/dev/null 2>&1
}

# Waits until each data centre has an owner and each instance finishes a request
# of the kind in probe_request.
await_ready() {
  local entry instance
  for entry in "${data_centres[@]}"; do
    await_true 15 "${entry%%:*} has no owner" \
      is_owned "${entry%%:*}" "${instances[0]}"
  done
  for instance in "${instances[@]}"; do
    await_true 15 "$instance finished no request" answers_quote "$instance"
  done
}

# start_ready_deployment INSTANCES: starts the deployment with this many
# instances per data centre, applies the configuration and waits until all
# instances are ready.
start_ready_deployment() {
  start_deployment "$1"
  configure_deployment >"$work/configure.txt" 2>&1 ||
    fail "the configuration was not applied: $(cat "$work/configure.txt")"
  await_ready
}

# submit_to NAME INSTANCE ARGUMENT...: submits a request of the client account
# blekhus to the instance in the background. The response is written to
# $work/NAME.out.
submit_to() {
  local name=$1 instance=$2
  shift 2
  start "$name" cli_at "$instance" submit --account blekhus "$@"
}

# history_query [OPTION...] FILTER: applies the jq filter to the events in the
# histories of all backend servers, as one array in which each event also has
# the id of its server. The options are passed on to jq.
history_query() {
  local file
  for file in "$work"/*.history; do
    jq -c --arg server "$(basename "$file" .history)" '. + {server: $server}' \
      "$file"
  done | jq -s "$@"
}

# has_started KEY [COUNT]: whether at least this many tasks of the request have
# started (default 1).
has_started() {
  [ "$(history_count '"event":"start".*"key":"'"$1"'"')" -ge "${2:-1}" ]
}

# expect_finished FILE KEY: fails unless the file holds the response to the
# finished request with this key, and not that to another request.
expect_finished() {
  jq -e --arg answer "blekhus/$2" \
    '.state == "finished" and (.answer | rtrimstr(".") == $answer)' \
    "$1" >/dev/null || fail "not the response of finished $2: $(cat "$1")"
}

# set_store_fault FAULT: injects a fault into the platform's store; "up" ends
# it.
set_store_fault() {
  curl -sf --max-time 5 -X POST "http://$platform/fault" \
    -d "{\"store\":\"$1\"}" >/dev/null ||
    fail "cannot inject the store fault $1"
}

now_ms() {
  echo $(($(date +%s%N) / 1000000))
}
