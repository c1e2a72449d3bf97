#!/usr/bin/env bash
# Plays SITE as real processes: play.sh SITE SEED [SECONDS [INSTANCES [SERVERS
# [TROUBLES [LOAD]]]]]. The settings of the instances are those that the users'
# bench shows for SITE; BENCH is its path. With "quota" among TROUBLES the
# instances keep to their processor shares. FOLDER, PROGRAM and BUILD_DIR may be
# set.
set -euo pipefail
site=$1 seed=$2 seconds=${3:-30} instances=${4:-41} servers=${5:-350}
troubles=${6:-grey,config} load=${7:-1}
folder=${FOLDER:-$(mktemp -d)}
mkdir -p "$folder"
"$BENCH" wire "$site" |
  sed -n '/^== settings on a/,/^}/p' | sed 1d >"$folder/settings.json"
cd "$(dirname "$0")/../.."
program=${PROGRAM:-target/platform/flamingoloom-platformd}
exec "${BUILD_DIR:-build}/testing/real_cluster/real_cluster" \
  "$folder/settings.json" "$program" "$folder" "$seed" "$seconds" \
  "$instances" "$servers" "$troubles" "$load"
