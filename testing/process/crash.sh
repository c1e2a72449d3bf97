#!/usr/bin/env bash
# Guards against a gang that is lost or finishes with only some of its tasks,
# and against an invoice batch that runs twice. The owner of their data centre
# is killed while they run, and the caller submits the same idempotency keys to
# another instance (P2, P4, P6).
set -uo pipefail
cd "$(dirname "$0")/../.." || exit
# shellcheck source=testing/processes.sh
. testing/processes.sh

start_ready_deployment 2
submit_to render akureyri-1-i1 --kind proof-render \
  --idempotency-key render-1 --payload '{"runMs":8000}' --wait '30 s'
submit_to invoice akureyri-1-i1 --kind invoice-batch \
  --idempotency-key invoice-1 --payload '{"runMs":8000}' --wait '30 s'
await_true 8 "the render did not start" has_started render-1 2
await_true 8 "the invoice batch did not start" has_started invoice-1

mapfile -t used_data_centres < <(history_query -r '[.[] |
  select(.key == "render-1" or .key == "invoice-1") | .server |
  sub("-s[0-9]+$"; "")] | unique | .[]')
killed=()
for data_centre in "${used_data_centres[@]}"; do
  owner=$(owner_of "$data_centre" reykjavik-1-i2)
  [ -n "$owner" ] || fail "$data_centre has no owner"
  [[ " ${killed[*]} " == *" $owner "* ]] || killed+=("$owner")
done
for owner in "${killed[@]}"; do
  kill -KILL "${pid_of[$owner]}"
  wait "${pid_of[$owner]}" 2>/dev/null
done
echo "killed ${killed[*]}, owners of ${used_data_centres[*]}"

for instance in "${instances[@]}"; do
  [[ " ${killed[*]} " == *" $instance "* ]] || survivor=$instance
done
submit_to render-again "$survivor" --kind proof-render \
  --idempotency-key render-1 --payload '{"runMs":8000}' --wait '25 s'
submit_to invoice-again "$survivor" --kind invoice-batch \
  --idempotency-key invoice-1 --payload '{"runMs":8000}' --wait '25 s'
wait "${pid_of[render-again]}" ||
  fail "render at $survivor: exit code $?: $(cat "$work"/render-again.*)"
wait "${pid_of[invoice-again]}" ||
  fail "invoice at $survivor: exit code $?: $(cat "$work"/invoice-again.*)"
expect_finished "$work/render-again.out" render-1
expect_finished "$work/invoice-again.out" invoice-1

starts=$(history_count '"event":"start".*"key":"invoice-1"')
[ "$starts" -eq 1 ] || fail "the invoice batch started $starts times"
# A task that ran for its full run time belongs to a finished attempt, so both
# tasks of this attempt must have done so. The ids of the tasks of one attempt
# differ only after the last separator.
partial=$(history_query -c '[.[] | select(.key == "render-1")]
  | group_by(.attempt | sub("[^0-9a-zA-Z][0-9]+$"; ""))
  | map({attempt: .[0].attempt,
         starts: map(select(.event == "start")) | length,
         whole: group_by(.attempt) | map(select(length == 2 and
           (map(.tMs) | max - min) >= 7900)) | length})
  | map(select(.whole > 0 and (.starts != 2 or .whole != 2)))')
[ "$partial" = "[]" ] ||
  fail "a render finished with only some of its tasks: $partial"
echo "render: $(history_count '"event":"start".*"key":"render-1"') task starts"
echo "invoice batch: $starts start"
