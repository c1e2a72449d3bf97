#!/usr/bin/env bash
# Plays a case: play.sh CASE FOLDER COPIES. The copies are deployments of their
# own that play at the same time. Writes FOLDER/record.txt. Exits with 1 if the
# rule was broken in one of them, 0 if it held, 2 if the case could not run.
set -uo pipefail
case=$1 folder=$2 copies=$3
cd "$(dirname "$0")/../.."
world=target/review/review-world
# The command of the role in deploy/system.toml.
program=target/platform/flamingoloom-platformd
if [ ! -x "$world" ] || [ ! -x "$program" ]; then
  echo "build the deploy file and review/build.sh first"
  exit 2
fi
temporary=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do
    kill "$pid" 2>/dev/null
  done
  rm -rf "$temporary"
}
trap cleanup EXIT
for ((i = 1; i <= copies; i++)); do
  mkdir "$temporary/$i"
  "$world" "$case" "${TROUBLE:-1}" "$temporary/$i/record.txt" \
    "$temporary/$i" "$program" &
  pids+=($!)
done
broken=0 failed=0
for pid in "${pids[@]}"; do
  wait "$pid"
  status=$?
  if [ $status -eq 1 ]; then
    broken=1
  elif [ $status -ne 0 ]; then
    failed=1
  fi
done
: >"$folder/record.txt"
for ((i = 1; i <= copies; i++)); do
  [ "$copies" -eq 1 ] || echo "== deployment $i" >>"$folder/record.txt"
  cat "$temporary/$i/record.txt" >>"$folder/record.txt"
done
if [ $broken -eq 1 ]; then
  exit 1
elif [ $failed -eq 1 ]; then
  exit 2
fi
exit 0
