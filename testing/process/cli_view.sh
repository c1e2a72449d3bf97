#!/usr/bin/env bash
# cli_view.sh WORD...
# Guards against a subcommand of the command line tool whose HTTP path the
# instances do not serve. Runs the subcommand given by the arguments and checks
# that it succeeds, and that it prints JSON with --json.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit
# shellcheck source=testing/processes.sh
. testing/processes.sh

start_ready_deployment 1
cli "$@" || fail "$*: exit code $?"
cli --json "$@" >"$work/view.json" || fail "--json $*: exit code $?"
jq -e . "$work/view.json" >/dev/null || fail "no JSON output from --json $*"
