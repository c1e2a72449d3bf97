#!/usr/bin/env bash
# With TROUBLE=0 there is no disruption.
export TROUBLE=${TROUBLE:-1}
folder=$(dirname "$0")
. "$folder/../cluster/play.sh" woken_leader "$folder"
