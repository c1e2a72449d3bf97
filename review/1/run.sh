#!/usr/bin/env bash
# The configuration changes while the store is slow.
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../standins/play.sh" configuration review/1 10
