#!/usr/bin/env bash
# cli_view.sh WORD...
# Guards against a subcommand of the command line tool that no instance serves:
# the one that the arguments name prints JSON with --json and text without.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit
# shellcheck source=testing/processes.sh
. testing/processes.sh

start_ready_deployment 1
cli "$@" || fail "$*: exit code $?"
cli --json "$@" >"$work/view.json" || fail "--json $*: exit code $?"
jq -e . "$work/view.json" >/dev/null || fail "no JSON from --json $*"
