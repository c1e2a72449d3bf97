# Functions that start the system as processes on loopback, for the demo, the
# process tests and the benchmark. Source this file; call stop_all at the end.
#
# All processes take free ports; a process's address is read from its first
# line of output.

build=${BUILD_DIR:-build}
work=$(mktemp -d)
pids=()
instances=()
declare -A pid_of address_of

fail() {
  echo "error: $*" >&2
  exit 1
}

# Ends all processes that were started here and removes their files.
stop_all() {
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null; done
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$work"
}
trap stop_all EXIT

# start NAME COMMAND...: runs the command in the background with its output in
# $work/NAME.out and its log in $work/NAME.log.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.log" &
  pids+=($!)
  pid_of[$name]=$!
}

# await_line FILE PATTERN: prints the first match, at the latest after 10 s.
await_line() {
  local match
  for _ in $(seq 200); do
    match=$(grep -oE -m 1 "$2" "$1" 2>/dev/null) && {
      echo "$match"
      return
    }
    sleep 0.05
  done
  fail "no line like $2 in $1: $(tail -n 5 "$1")"
}

start_platform() {
  start platform "$build/testing/standins/platform_stand_in" \
    --list-lag-ms "${LIST_LAG_MS:-500}"
  platform=$(await_line "$work/platform.out" '127[0-9.]+:[0-9]+')
}

# start_server ID DATA_CENTRE REGION RACK [OPTION...]
start_server() {
  local id=$1 centre=$2 region=$3 rack=$4
  shift 4
  start "$id" "$build/testing/standins/backend_stand_in" --id "$id" \
    --platform "$platform" --data-centre "$centre" --region "$region" \
    --rack "$rack" --history-file "$work/$id.history" "$@"
  address_of[$id]=$(await_line "$work/$id.out" '127[0-9.]+:[0-9]+')
}

# start_instance ID DATA_CENTRE REGION
start_instance() {
  cat >"$work/$1.json" <<SETTINGS
{
  "instance": {"id": "$1", "dataCentre": "$2", "region": "$3"},
  "listen": {"httpAddress": "127.0.0.1:0", "peerAddress": "127.0.0.1:0"},
  "platform": {"address": "$platform"}
}
SETTINGS
  start "$1" "$build/flamingoloom/daemon/flamingoloomd" "$work/$1.json"
  address_of[$1]=$(await_line "$work/$1.log" 'http=[0-9.:]+' | cut -d= -f2)
  instances+=("$1")
}

# stop_instance ID: planned stop; returns the exit code. Not to be called in a
# subshell, which cannot wait for the process.
stop_instance() {
  kill -TERM "${pid_of[$1]}"
  wait "${pid_of[$1]}"
}

# cli ARGUMENT...: the command line tool, with all instances to choose from.
cli() {
  local servers=()
  for instance in "${instances[@]}"; do
    servers+=(--server "${address_of[$instance]}")
  done
  "$build/flamingoloom/cli/flamingoloom" "${servers[@]}" "$@"
}

# Starts the deployment of examples/demo.answers.json: three data centres with
# four backend servers each and one instance, or as many as the argument says.
start_deployment() {
  local count=${1:-1} rest=${*:2}
  start_platform
  for place in akureyri-1:akureyri akureyri-2:akureyri reykjavik-1:reykjavik; do
    local centre=${place%%:*} region=${place##*:}
    for i in 1 2 3 4; do
      # shellcheck disable=SC2086
      start_server "$centre-s$i" "$centre" "$region" 0 $rest
    done
    for i in $(seq "$count"); do
      start_instance "$centre-i$i" "$centre" "$region"
    done
  done
}

# Generates the configuration from the answers and puts it in force.
configure_deployment() {
  cli questionnaire --answers examples/demo.answers.json \
    --save-configuration "$work/configuration.json" >"$work/summary.txt" ||
    fail "the questionnaire failed: $(cat "$work/summary.txt")"
  cli config apply "$work/configuration.json" --expected-version 0 ||
    fail "the configuration was not accepted"
}

# Lines of the histories of all servers that match PATTERN.
history_count() {
  cat "$work"/*.history 2>/dev/null | grep -cE "$1" || true
}
