# Runs the case program $1 for the case folder $2: record.txt goes there, the
# settings and logs of the processes into a temporary folder. Sourced by the
# run.sh of a case.
set -u
here=$(cd "$2" && pwd)
cd "$here/../.." || exit 2
program=target/platform/flamingoloom-platformd
if [[ ! -x $program || ! -x target/review-2/$1 ]]; then
  echo "build the deploy file and review/build-2.sh first" >&2
  exit 2
fi
folder=$(mktemp -d) || exit 2
# Every process that the program starts ends with it.
timeout -s KILL 115 "target/review-2/$1" "$folder" "$program"
result=$?
cp "$folder/record.txt" "$here/record.txt" || result=2
rm -rf "$folder"
case $result in
  0 | 1) exit $result ;;
  *) exit 2 ;;
esac
