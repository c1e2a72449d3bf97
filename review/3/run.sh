#!/usr/bin/env bash
# Four workers of a rack fail all that they start.
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../standins/play.sh" gang-failures review/3 1
