#!/usr/bin/env bash
# A worker rejects all that it is told to start.
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../standins/play.sh" pending-count review/5 1
